#include "RpcConnector.h"

#include "JsonCodec.h"
#include "burdockstream/base/JsonText.h"

#include <optional>
#include <utility>

namespace burdockstream::admin {

namespace {

// JSON-RPC reserves -32099 to -32000 for errors of the application.
constexpr int FirstApplicationError = -32001;

} // namespace

int errorCode(base::ErrorKind Kind) {
  return FirstApplicationError - static_cast<int>(Kind);
}

} // namespace burdockstream::admin

namespace burdockstream::admin::internal {

using base::ErrorKind;
using base::makeError;

namespace {

jsonrpc::jsontype_t libraryType(ParameterType Type) {
  switch (Type) {
  case ParameterType::String:
    return jsonrpc::JSON_STRING;
  case ParameterType::Integer:
    return jsonrpc::JSON_INTEGER;
  case ParameterType::Boolean:
    return jsonrpc::JSON_BOOLEAN;
  case ParameterType::Object:
    return jsonrpc::JSON_OBJECT;
  case ParameterType::Array:
    return jsonrpc::JSON_ARRAY;
  }
  return jsonrpc::JSON_OBJECT;
}

jsonrpc::Procedure describe(const RpcMethod &Method) {
  jsonrpc::Procedure Description(Method.Name, jsonrpc::PARAMS_BY_NAME,
                                 jsonrpc::JSON_OBJECT, nullptr);
  for (const RpcParameter &Parameter : Method.Parameters)
    Description.AddParameter(Parameter.Name, libraryType(Parameter.Type));
  return Description;
}

Json::Value errorData(const base::Error &Problem) {
  Json::Value Data;
  Data["kind"] = std::string(base::toString(Problem.Kind));
  return Data;
}

std::string formatAnswer(const Json::Value &Id, const RpcResult &Result) {
  Json::Value Answer;
  Answer["jsonrpc"] = "2.0";
  Answer["id"] = Id;
  if (Result.has_value()) {
    Answer["result"] = Result.value();
    return base::compactJson(Answer);
  }
  Answer["error"]["code"] = errorCode(Result.error().Kind);
  Answer["error"]["message"] = Result.error().Message;
  Answer["error"]["data"] = errorData(Result.error());
  return base::compactJson(Answer);
}

std::optional<base::Error> checkAccess(const RpcMethod &Method,
                                       const RpcCaller &Caller) {
  if (Method.Allowed == Access::Anyone || Caller.IsPeer)
    return std::nullopt;
  if (Method.Allowed == Access::Peer)
    return makeError(
        ErrorKind::PermissionDenied,
        Method.Name +
            " is for daemons only; sign the request with a control key");
  if (Caller.Team.empty())
    return makeError(ErrorKind::PermissionDenied,
                     Method.Name +
                         " needs a team's token; send it as a bearer token");
  return std::nullopt;
}

} // namespace

RpcConnector::RpcConnector(std::vector<RpcMethod> InitMethods)
    : Methods(std::move(InitMethods)),
      Protocol(jsonrpc::RequestHandlerFactory::createProtocolHandler(
          jsonrpc::JSONRPC_SERVER_V2, *this)) {
  for (const RpcMethod &Method : Methods)
    Protocol->AddProcedure(describe(Method));
  SetHandler(Protocol.get());
}

void RpcConnector::dispatch(const std::string &Body, const RpcCaller &Caller,
                            AnswerCallback Answer) {
  const Json::Value Request = parseJson(Body);
  if (Request.isArray()) { // the deferred form has one request identifier only
    Answer(formatAnswer(
        Json::nullValue,
        makeError(ErrorKind::InvalidArgument,
                  "batches are not served; send one request at a time")));
    return;
  }
  CurrentRequest Processing{
      Caller, Request.isObject() ? Request["id"] : Json::nullValue,
      std::move(Answer)};
  Current = &Processing;
  OnRequest(Body, &Processing);
  Current = nullptr;
}

bool RpcConnector::SendResponse(const std::string &Response, void *AddInfo) {
  const auto *Processing = static_cast<CurrentRequest *>(AddInfo);
  if (!Processing->Deferred)
    Processing->Answer(Response);
  return true;
}

const RpcMethod *RpcConnector::find(const std::string &Name) const {
  for (const RpcMethod &Method : Methods)
    if (Method.Name == Name)
      return &Method;
  return nullptr;
}

void RpcConnector::HandleMethodCall(jsonrpc::Procedure &Procedure,
                                    const Json::Value &Input, Json::Value &) {
  const RpcMethod *Method = find(Procedure.GetProcedureName());
  if (!Method)
    throw jsonrpc::JsonRpcException(
        jsonrpc::Errors::ERROR_RPC_METHOD_NOT_FOUND);
  Current->Deferred = true;
  if (const auto Problem = checkAccess(*Method, Current->Caller))
    Current->Answer(formatAnswer(Current->Id, *Problem));
  else
    Method->Handle(
        Current->Caller, Input,
        [Id = Current->Id, Answer = Current->Answer](const RpcResult &Result) {
          Answer(formatAnswer(Id, Result));
        });
}

void RpcConnector::HandleNotificationCall(jsonrpc::Procedure &,
                                          const Json::Value &) {}

} // namespace burdockstream::admin::internal
