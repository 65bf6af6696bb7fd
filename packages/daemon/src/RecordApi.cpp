#include "RecordApi.h"

#include "burdockstream/records/RecordParser.h"

#include <utility>

namespace burdockstream::daemon {

using admin::Access;
using admin::ParameterType;
using admin::RpcCaller;
using admin::RpcReply;
using admin::RpcResult;
using base::ErrorKind;
using base::makeError;

namespace {

Json::Value toJsonArray(const std::vector<std::string> &Names) {
  Json::Value List(Json::arrayValue);
  for (const std::string &Name : Names)
    List.append(Name);
  return List;
}

Json::Value summaryOf(const records::RecordSet &Records,
                      const records::StoredRecord &Record) {
  Json::Value Summary;
  Summary["service"] = Record.Config.Service;
  Summary["team"] = Record.Config.Team;
  Summary["address"] = base::toString(Record.Config.Address);
  Summary["schema_version"] = Record.Config.SchemaVersion;
  Summary["revision"] = Json::Int64(Record.Config.StoreRevision);
  Summary["retired"] = Record.Config.Retired;
  const auto *Served = Records.findByAddress(Record.Config.Address);
  Summary["serves_address"] =
      Served != nullptr && Served->Service == Record.Config.Service;
  std::vector<std::string> Others;
  for (const records::ServiceConfig *Other :
       Records.servicesInConflictWith(Record.Config))
    Others.push_back(Other->Service);
  Summary["contested_with"] = toJsonArray(Others);
  return Summary;
}

RpcResult getRecord(const records::RecordSet &Records,
                    const Json::Value &Parameters) {
  const records::StoredRecord *Record =
      Records.findByName(Parameters["service"].asString());
  if (!Record)
    return makeError(ErrorKind::NotFound,
                     "there is no record of " +
                         Parameters["service"].asString() +
                         "; record.list shows all services");
  Json::Value Response = summaryOf(Records, *Record);
  Response["body"] = Record->Body;
  return Response;
}

RpcResult listRecords(const records::RecordSet &Records) {
  Json::Value Response;
  Response["records"] = Json::arrayValue;
  for (const auto &[Service, Record] : Records.all())
    Response["records"].append(summaryOf(Records, Record));
  return Response;
}

RpcResult validateRecord(const Json::Value &Parameters) {
  const auto Parsed =
      records::parseRecord(Parameters["body"].asString(), "record");
  if (Parsed.has_error())
    return Parsed.error();
  Json::Value Response;
  Response["service"] = Parsed.value().Service;
  Response["schema_version"] = Parsed.value().SchemaVersion;
  return Response;
}

base::Result<RecordWrite> toWrite(const RpcCaller &Caller,
                                  const Json::Value &Parameters) {
  RecordWrite Write;
  Write.Team = Caller.Team;
  Write.Service = Parameters["service"].asString();
  Write.Body = Parameters["body"].asString();
  if (!Parameters.isMember("if_revision"))
    return Write;
  // A malformed condition must fail the request: without it the write would be
  // unconditional.
  const Json::Value &Revision = Parameters["if_revision"];
  if (!Revision.isInt64() || Revision.asInt64() < 0)
    return makeError(
        ErrorKind::InvalidArgument,
        "if_revision must be a revision as returned by record.get, "
        "or 0 for a new record");
  Write.IfRevision = Revision.asInt64();
  return Write;
}

RpcResult writeResponse(const base::Result<RecordWriteResult> &Result) {
  if (Result.has_error())
    return Result.error();
  Json::Value Response;
  Response["service"] = Result.value().Entry.Service;
  Response["revision"] = Json::Int64(Result.value().Entry.StoreRevision);
  Response["changed"] = Result.value().Changed;
  Response["contested_with"] = toJsonArray(Result.value().ContestedWith);
  return Response;
}

admin::RpcHandler writeHandler(RecordWriter &Writer, bool Retire) {
  return
      [&Writer, Retire](const RpcCaller &Caller, const Json::Value &Parameters,
                        const RpcReply &Reply) {
        auto Write = toWrite(Caller, Parameters);
        if (Write.has_error()) {
          Reply(Write.error());
          return;
        }
        Write.value().Retire = Retire;
        Writer.write(Write.value(),
                     [Reply](const base::Result<RecordWriteResult> &Result) {
                       Reply(writeResponse(Result));
                     });
      };
}

} // namespace

std::vector<admin::RpcMethod> recordMethods(RecordWriter &Writer,
                                            const records::RecordSet &Records) {
  const auto Get = [&Records](const RpcCaller &,
                              const Json::Value &Parameters) {
    return getRecord(Records, Parameters);
  };
  const auto List = [&Records](const RpcCaller &, const Json::Value &) {
    return listRecords(Records);
  };
  const auto Validate = [](const RpcCaller &, const Json::Value &Parameters) {
    return validateRecord(Parameters);
  };
  const admin::RpcParameter Service{"service", ParameterType::String};
  const admin::RpcParameter Body{"body", ParameterType::String};
  return {
      {"record.put",
       Access::Team,
       {Service, Body},
       writeHandler(Writer, false)},
      {"record.retire", Access::Team, {Service}, writeHandler(Writer, true)},
      {"record.get", Access::Team, {Service}, admin::immediate(Get)},
      {"record.list", Access::Team, {}, admin::immediate(List)},
      {"record.validate", Access::Team, {Body}, admin::immediate(Validate)}};
}

} // namespace burdockstream::daemon
