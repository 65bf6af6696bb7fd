// JSON-RPC 2.0 over HTTP on the GLib loop, through libjsonrpccpp's protocol
// handler with a connector of our own, because the library's HTTP server starts
// threads.
#ifndef BURDOCKSTREAM_ADMIN_RPCSERVER_H
#define BURDOCKSTREAM_ADMIN_RPCSERVER_H

#include "burdockstream/admin/RpcMethod.h"
#include "burdockstream/base/SocketAddress.h"
#include "burdockstream/http/HttpServer.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace burdockstream::admin {

struct RpcServerHooks {
  // Returns the team that a bearer token belongs to, or an empty string.
  std::function<std::string(const std::string &Token)> TeamOfToken;
  // Says whether the body carries a valid signature of a daemon.
  std::function<bool(const std::string &Signature, const std::string &Body)>
      VerifySignature;
  std::function<std::string()> PrometheusText;
  std::function<bool()> IsHealthy;
  std::function<bool()> IsReady;
};

class RpcServer {
public:
  RpcServer(std::vector<RpcMethod> Methods, RpcServerHooks Hooks);
  ~RpcServer();
  RpcServer(const RpcServer &) = delete;
  RpcServer &operator=(const RpcServer &) = delete;

  // Serves POST /rpc and GET /metrics, /healthz and /readyz. Thread safety:
  // loop thread only.
  base::Result<void> listen(base::SocketAddress Address);

private:
  struct State;
  std::shared_ptr<State> Impl;
  http::HttpServer Server;
};

} // namespace burdockstream::admin

#endif
