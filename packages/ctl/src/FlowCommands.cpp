// Commands about flow services. They read the reports that the daemons serve
// over HTTP at their control addresses.
#include "Commands.h"
#include "ResponseTable.h"

#include <algorithm>
#include <set>

namespace burdockstream::ctl::detail {

namespace {

using base::ErrorKind;

constexpr const char *DaemonPath = "/v1/daemon";
constexpr const char *FlowPath = "/v1/flow";

// Returns the report of the first server whose response is that of a balancer.
base::Result<Json::Value> fetchBalancerReport(const Command &Command,
                                              const Hooks &Hooks) {
  base::Error LastError = base::makeError(
      ErrorKind::Unavailable, "no server is specified; add --server=");
  for (auto &Response : Hooks.FetchEach(Command.Servers, DaemonPath)) {
    if (Response.has_value() && Response.value().isObject() &&
        Response.value()["targets"].isArray() &&
        Response.value()["routes"].isArray())
      return Response;
    LastError = Response.has_error()
                    ? Response.error()
                    : base::makeError(ErrorKind::InvalidArgument,
                                      "the server is not a balancer of flow "
                                      "services; specify one with --server=");
  }
  return LastError;
}

// Prints the field List of the balancer's report, one row per object in it;
// other entries are skipped.
Output showReportList(const Command &Command, const Hooks &Hooks,
                      const char *List,
                      const std::vector<std::string> &Columns) {
  const auto Report = fetchBalancerReport(Command, Hooks);
  if (Report.has_error())
    return errorOutput(Report.error());
  Json::Value Entries(Json::arrayValue);
  for (const Json::Value &Entry : Report.value()[List])
    if (Entry.isObject())
      Entries.append(Entry);
  return tableOutput(makeTable(Columns, Entries), Command);
}

// Adds the address in Text; ignores a value that is not an address.
void insertAddress(const Json::Value &Text,
                   std::set<base::SocketAddress> &Out) {
  const auto Address =
      base::parseSocketAddress(Text.isString() ? Text.asString() : "");
  if (Address.has_value())
    Out.insert(Address.value());
}

// Returns the control addresses of the servers of Command and of all peers and
// agents in the reports of the balancers among them. A report lists an agent by
// its data address; its control port is that of the balancer, since all daemons
// of a deployment use the same one.
std::vector<base::SocketAddress> findDaemons(const Command &Command,
                                             const Hooks &Hooks) {
  std::set<base::SocketAddress> Daemons(Command.Servers.begin(),
                                        Command.Servers.end());
  const auto Responses = Hooks.FetchEach(Command.Servers, DaemonPath);
  for (size_t I = 0; I < Responses.size(); ++I) {
    if (Responses[I].has_error() || !Responses[I].value().isObject())
      continue;
    const Json::Value &Report = Responses[I].value();
    for (const Json::Value &Peer : Report["peers"])
      insertAddress(Peer, Daemons);
    std::set<base::SocketAddress> Agents;
    for (const Json::Value &Target : Report["targets"])
      if (Target.isObject())
        insertAddress(Target["agent"], Agents);
    for (const base::SocketAddress Agent : Agents)
      Daemons.insert({Agent.Ip, Command.Servers[I].Port});
  }
  return {Daemons.begin(), Daemons.end()};
}

struct DaemonReports {
  // The reports, each with the control address of its daemon added as
  // "control".
  Json::Value Entries = Json::arrayValue;
  std::string Warnings; // one line per daemon that did not respond
};

// Fetches the document at Path from each daemon of findDaemons().
DaemonReports fetchFromAllDaemons(const Command &Command, const Hooks &Hooks,
                                  const std::string &Path) {
  DaemonReports Result;
  const auto Daemons = findDaemons(Command, Hooks);
  const auto Responses = Hooks.FetchEach(Daemons, Path);
  for (size_t I = 0; I < Responses.size(); ++I) {
    const std::string Control = base::toString(Daemons[I]);
    if (Responses[I].has_error() || !Responses[I].value().isObject()) {
      Result.Warnings += "warning: " + Control + " did not respond\n";
      continue;
    }
    Json::Value Entry = Responses[I].value();
    Entry["control"] = Control;
    Result.Entries.append(Entry);
  }
  return Result;
}

} // namespace

Output showFlowRoutes(const Command &Command, const Hooks &Hooks) {
  return showReportList(Command, Hooks, "routes",
                        {"address", "route", "services", "class"});
}

Output showFlowTargets(const Command &Command, const Hooks &Hooks) {
  return showReportList(Command, Hooks, "targets",
                        {"agent", "service", "failure_domain", "state", "slots",
                         "waiting", "flows", "status_age_ms", "listed"});
}

Output showFlowStatus(const Command &Command, const Hooks &Hooks) {
  const DaemonReports Reports = fetchFromAllDaemons(Command, Hooks, DaemonPath);
  if (Reports.Entries.empty())
    return errorOutput(base::makeError(ErrorKind::Unavailable,
                                       "no daemon responded; check --server="));
  Output Result = tableOutput(
      makeTable({"control", "name", "role", "ready", "state", "routes_version",
                 "routes_revision", "flows", "waiting"},
                Reports.Entries),
      Command);
  Result.Err = Reports.Warnings;
  return Result;
}

Output traceFlow(const Command &Command, const Hooks &Hooks) {
  const DaemonReports Reports = fetchFromAllDaemons(
      Command, Hooks,
      std::string(FlowPath) + "?client=" + Command.Arguments[0] +
          "&service=" + Command.Arguments[1]);
  Json::Value Known(Json::arrayValue);
  for (const Json::Value &Entry : Reports.Entries)
    if (Entry["known"].isBool() && Entry["known"].asBool())
      Known.append(Entry);
  Output Result = tableOutput(
      makeTable({"control", "role", "agent", "offers", "refusals", "searching",
                 "open", "waiting", "not_held", "class"},
                Known),
      Command);
  Result.Err = Reports.Warnings;
  if (Known.empty()) {
    Result.Code = ExitCode::NotFound;
    Result.Err += "the flow is not known to any daemon that responded\n";
  }
  return Result;
}

} // namespace burdockstream::ctl::detail
