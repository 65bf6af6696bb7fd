#include "burdockstream/admin/RpcClient.h"

#include "burdockstream/base/JsonText.h"

#include <array>
#include <utility>

namespace burdockstream::admin {

using base::ErrorKind;
using base::makeError;

namespace {

constexpr std::array<ErrorKind, 9> AllKinds{
    ErrorKind::InvalidArgument,  ErrorKind::NotFound,
    ErrorKind::AlreadyExists,    ErrorKind::Conflict,
    ErrorKind::PermissionDenied, ErrorKind::Unavailable,
    ErrorKind::OutcomeUnknown,   ErrorKind::Corrupt,
    ErrorKind::LimitExceeded};

ErrorKind kindOfCode(int Code) {
  for (const ErrorKind Kind : AllKinds)
    if (errorCode(Kind) == Code)
      return Kind;
  return ErrorKind::InvalidArgument;
}

RpcResult resultOf(const Json::Value &Answer) {
  if (Answer.isObject() && Answer.isMember("error")) {
    const Json::Value &Problem = Answer["error"];
    return makeError(kindOfCode(Problem["code"].asInt()),
                     Problem["message"].asString());
  }
  if (!Answer.isObject() || !Answer.isMember("result"))
    return makeError(ErrorKind::Corrupt, "the answer is not JSON-RPC 2.0");
  return Answer["result"];
}

} // namespace

RpcClient::RpcClient(RpcCredentials InitCredentials,
                     std::function<base::WallTime()> InitWallClock)
    : Credentials(std::move(InitCredentials)),
      WallClock(std::move(InitWallClock)) {}

void RpcClient::call(const RpcCall &Call, RpcReply Reply) {
  Json::Value Request;
  Request["jsonrpc"] = "2.0";
  Request["id"] = Json::Int64(NextId++);
  Request["method"] = Call.Method;
  Request["params"] = Call.Parameters;
  http::HttpRequest Post{"http://" + base::toString(Call.Server) + "/rpc",
                         base::compactJson(Request),
                         {},
                         Call.Timeout};
  if (!Credentials.Token.empty())
    Post.Headers.push_back({"Authorization", "Bearer " + Credentials.Token});
  if (Credentials.Key)
    Post.Headers.push_back(
        {"X-Burdockstream-Signature",
         signRequest(*Credentials.Key, WallClock(), Post.Body)});
  Client.postJson(Post,
                  [Done = std::move(Reply)](base::Result<Json::Value> Answer) {
                    if (Answer.has_error())
                      Done(Answer.error());
                    else
                      Done(resultOf(Answer.value()));
                  });
}

} // namespace burdockstream::admin
