#include "burdockstream/admin/RpcServer.h"

#include "JsonCodec.h"
#include "RpcConnector.h"

#include <utility>

namespace burdockstream::admin {

namespace {

constexpr const char *BearerPrefix = "Bearer ";
constexpr const char *PrometheusContentType = "text/plain; version=0.0.4";

std::string bearerToken(const std::string &Authorization) {
  const std::string Prefix(BearerPrefix);
  if (Authorization.compare(0, Prefix.size(), Prefix) != 0)
    return {};
  return Authorization.substr(Prefix.size());
}

http::ServerAnswer yesOrNo(bool Yes) {
  return {Yes ? 200U : 503U, "text/plain", Yes ? "yes\n" : "no\n"};
}

} // namespace

struct RpcServer::State {
  State(std::vector<RpcMethod> Methods, RpcServerHooks InitHooks)
      : Hooks(std::move(InitHooks)), Connector(std::move(Methods)) {}

  RpcCaller identify(const http::ServerRequest &Request) const {
    RpcCaller Caller;
    const std::string Token = bearerToken(Request.Authorization);
    if (!Token.empty())
      Caller.Team = Hooks.TeamOfToken(Token);
    if (!Request.Signature.empty())
      Caller.IsPeer = Hooks.VerifySignature(Request.Signature, Request.Body);
    return Caller;
  }

  void handle(const http::ServerRequest &Request,
              const std::shared_ptr<http::Responder> &Out) {
    if (Request.Path == "/rpc" && Request.Method == "POST") {
      Connector.dispatch(Request.Body, identify(Request),
                         [Out](const std::string &Body) {
                           Out->send({200, "application/json", Body});
                         });
    } else if (Request.Path == "/metrics") {
      Out->send({200, PrometheusContentType, Hooks.PrometheusText()});
    } else if (Request.Path == "/healthz") {
      Out->send(yesOrNo(Hooks.IsHealthy()));
    } else if (Request.Path == "/readyz") {
      Out->send(yesOrNo(Hooks.IsReady()));
    } else {
      Out->send({404, "text/plain",
                 "no such path; use POST /rpc or GET /metrics, /healthz or "
                 "/readyz\n"});
    }
  }

  RpcServerHooks Hooks;
  internal::RpcConnector Connector;
};

RpcServer::RpcServer(std::vector<RpcMethod> Methods, RpcServerHooks Hooks)
    : Impl(std::make_shared<State>(std::move(Methods), std::move(Hooks))),
      Server([this](const http::ServerRequest &Request,
                    const std::shared_ptr<http::Responder> &Out) {
        Impl->handle(Request, Out);
      }) {}

RpcServer::~RpcServer() = default;

base::Result<void> RpcServer::listen(base::SocketAddress Address) {
  return Server.listen(Address);
}

} // namespace burdockstream::admin
