#include "Commands.h"
#include "ResponseTable.h"
#include "StoredRecord.h"
#include "WaitInForce.h"
#include "burdockstream/records/RecordParser.h"

#include <algorithm>

namespace burdockstream::ctl::detail {

namespace {

using base::ErrorKind;
using base::makeError;

// The parameters of a call that writes or retires a record.
struct RecordWrite {
  std::string Method;
  std::string Service;
  std::string Body; // empty: the record is retired
  std::optional<base::Revision> IfRevision;
};

// The result of such a call.
struct WriteResult {
  base::Revision Revision = 0;
  bool Changed = false;
  std::string ConflictingServices; // others with the same address
};

// Returns the output for a write that was rejected because the record had
// changed since it was read. Prints both versions, so that the operator can
// merge them.
Output conflictOutput(const Hooks &Hooks, const RecordWrite &Request,
                      const base::Error &Error) {
  Output Result = errorOutput(Error);
  if (!Request.Body.empty())
    Result.Err +=
        "your version:\n" + prettyPrintRecord(Request.Body, Request.Service);
  const auto Stored = fetchRecord(Hooks, Request.Service);
  if (Stored.has_error())
    Result.Err += "stored version: " + Stored.error().Message + "\n";
  else
    Result.Err += "stored version, revision " +
                  std::to_string(Stored.value().Config.StoreRevision) + ":\n" +
                  prettyPrintRecord(Stored.value().Body, Request.Service);
  return Result;
}

base::Result<WriteResult> parseWriteResult(const Json::Value &Response) {
  if (!Response.isObject() || !Response["revision"].isInt64() ||
      !Response["changed"].isBool() || !Response["contested_with"].isArray())
    return makeError(
        ErrorKind::OutcomeUnknown,
        "the response has an unexpected format; check the record "
        "with record get, and use the same version as the balancer");
  WriteResult Result{Response["revision"].asInt64(),
                     Response["changed"].asBool(), ""};
  for (const Json::Value &Name : Response["contested_with"])
    if (Name.isString())
      Result.ConflictingServices +=
          (Result.ConflictingServices.empty() ? "" : ", ") + Name.asString();
  return Result;
}

// Waits until the record is in force and appends the columns in_force and
// balancers to the only row of Table. Adds an error to Result if it is not in
// force at every balancer.
void appendInForceColumns(const Command &Command, const Hooks &Hooks,
                          const std::string &Service, base::Revision Revision,
                          Table &Table, Output &Result) {
  const auto InForce = waitInForce(Hooks, Service, Revision, *Command.Wait);
  Table.Columns.insert(Table.Columns.end(), {"in_force", "balancers"});
  if (InForce.has_error()) {
    Table.Rows[0].insert(Table.Rows[0].end(), {Json::Value(), Json::Value()});
    Result.Code = ExitCode::NotInForce;
    Result.Err +=
        "the record is written, but the list of balancers is unavailable: " +
        InForce.error().Message + "\n";
    return;
  }
  const auto &[Balancers, Missing] = InForce.value();
  Table.Rows[0].insert(
      Table.Rows[0].end(),
      {Json::UInt64{Balancers - Missing.size()}, Json::UInt64{Balancers}});
  if (Missing.empty())
    return;
  Result.Code = ExitCode::NotInForce;
  Result.Err += "the record is written, but not yet in force at these "
                "balancers:\n";
  for (const auto &[Control, Reason] : Missing)
    Result.Err += base::toString(Control) + ": " + Reason + "\n";
}

Output writeResultOutput(const Command &Command, const Hooks &Hooks,
                         const std::string &Service,
                         const WriteResult &Written) {
  Output Result;
  Table Table{{"service", "revision", "changed"},
              {{Service, Json::Int64{Written.Revision}, Written.Changed}}};
  if (Command.Wait)
    appendInForceColumns(Command, Hooks, Service, Written.Revision, Table,
                         Result);
  if (!Written.ConflictingServices.empty()) {
    Result.Code = ExitCode::Conflict;
    Result.Err += "the record is written, but its address is also that of " +
                  Written.ConflictingServices +
                  "; only the service that claimed it first is served, see "
                  "status; change the address of one of them or retire it\n";
  }
  Result.Out = formatTable(Table, Command.Format);
  return Result;
}

Output writeRecord(const Command &Command, const Hooks &Hooks,
                   const RecordWrite &Request) {
  Json::Value Parameters;
  Parameters["service"] = Request.Service;
  if (!Request.Body.empty())
    Parameters["body"] = Request.Body;
  if (Request.IfRevision)
    Parameters["if_revision"] = Json::Int64{*Request.IfRevision};
  const auto Response = Hooks.Call(Request.Method, Parameters);
  if (Response.has_error())
    return Response.error().Kind == ErrorKind::Conflict
               ? conflictOutput(Hooks, Request, Response.error())
               : errorOutput(Response.error());
  const auto Written = parseWriteResult(Response.value());
  if (Written.has_error())
    return errorOutput(Written.error());
  return writeResultOutput(Command, Hooks, Request.Service, Written.value());
}

base::Error schemaVersion1Error(const std::string &Service) {
  return makeError(
      ErrorKind::InvalidArgument,
      "the record of " + Service +
          " has schema version 1, which does not support draining single "
          "endpoints; migrate it to schema version 2 first: record get " +
          Service +
          " > 1.json, record migrate 1.json > 2.json, record put "
          "2.json");
}

// Adds Endpoint to the list of drained endpoints, or removes it if Undo is set.
// Returns whether the list changed.
bool updateDrainedEndpoints(std::vector<base::SocketAddress> &Drained,
                            base::SocketAddress Endpoint, bool Undo) {
  if (Undo)
    return std::erase(Drained, Endpoint) > 0;
  if (std::find(Drained.begin(), Drained.end(), Endpoint) != Drained.end())
    return false;
  Drained.push_back(Endpoint);
  return true;
}

// Returns a warning if Service has no endpoint at this address, else an empty
// string. Draining a mistyped address has no effect and gives no error.
std::string unknownEndpointWarning(const Hooks &Hooks,
                                   const std::string &Service,
                                   base::SocketAddress Endpoint) {
  Json::Value Parameters;
  Parameters["service"] = Service;
  const auto Response =
      callForList(Hooks, "endpoints", Parameters, "endpoints");
  if (Response.has_error())
    return "";
  for (const Json::Value &Entry : Response.value()["endpoints"])
    if (Entry["data"] == base::toString(Endpoint))
      return "";
  return "warning: no endpoint of " + Service + " is currently at " +
         base::toString(Endpoint) + "; compare with endpoints " + Service +
         "\n";
}

// Reads the record of Service and checks that its endpoints can be drained.
base::Result<StoredRecord> fetchDrainableRecord(const Hooks &Hooks,
                                                const std::string &Service) {
  auto Stored = fetchRecord(Hooks, Service);
  if (Stored.has_error())
    return Stored.error();
  if (Stored.value().Config.Retired)
    return makeError(ErrorKind::NotFound,
                     Service + " is retired and has no endpoints to drain");
  if (Stored.value().Config.SchemaVersion == 1)
    return schemaVersion1Error(Service);
  return Stored;
}

} // namespace

Output putRecord(const Command &Command, const Hooks &Hooks) {
  const std::string &File = Command.Arguments[0];
  const auto Text = Hooks.ReadFile(File);
  if (Text.has_error())
    return errorOutput(Text.error());
  const auto Proposed = records::parseRecord(Text.value(), File);
  if (Proposed.has_error())
    return errorOutput(Proposed.error());
  return writeRecord(Command, Hooks,
                     {"record.put", Proposed.value().Service, Text.value(),
                      Command.IfRevision});
}

Output retireRecord(const Command &Command, const Hooks &Hooks) {
  return writeRecord(
      Command, Hooks,
      {"record.retire", Command.Arguments[0], "", Command.IfRevision});
}

Output drainEndpoint(const Command &Command, const Hooks &Hooks) {
  const std::string &Service = Command.Arguments[0];
  const auto Endpoint = base::parseSocketAddress(Command.Arguments[1]);
  if (Endpoint.has_error())
    return errorOutput(Endpoint.error());
  auto Stored = fetchDrainableRecord(Hooks, Service);
  if (Stored.has_error())
    return errorOutput(Stored.error());
  records::ServiceConfig &Config = Stored.value().Config;
  const base::Revision Revision = Config.StoreRevision;
  if (!updateDrainedEndpoints(Config.DrainedEndpoints, Endpoint.value(),
                              Command.Undo))
    return writeResultOutput(Command, Hooks, Service, {Revision, false, ""});
  const auto Body = records::formatRecord(Config);
  if (Body.has_error())
    return errorOutput(Body.error());
  const std::string Warning =
      Command.Undo ? ""
                   : unknownEndpointWarning(Hooks, Service, Endpoint.value());
  Output Result = writeRecord(Command, Hooks,
                              {"record.put", Service, Body.value(), Revision});
  Result.Err = Warning + Result.Err;
  return Result;
}

} // namespace burdockstream::ctl::detail
