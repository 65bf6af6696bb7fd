// Asynchronous JSON-RPC 2.0 calls on the GLib loop, for daemons and for
// burdockstreamctl.
#ifndef BURDOCKSTREAM_ADMIN_RPCCLIENT_H
#define BURDOCKSTREAM_ADMIN_RPCCLIENT_H

#include "burdockstream/admin/RequestSignature.h"
#include "burdockstream/admin/RpcMethod.h"
#include "burdockstream/base/SocketAddress.h"
#include "burdockstream/http/HttpClient.h"

#include <functional>
#include <optional>
#include <string>

namespace burdockstream::admin {

// How a client proves who it is.
struct RpcCredentials {
  std::string Token;             // bearer token of a team, may be empty
  std::optional<SigningKey> Key; // key of the daemons
};

struct RpcCall {
  base::SocketAddress Server;
  std::string Method;
  Json::Value Parameters = Json::objectValue;
  base::Duration Timeout = std::chrono::seconds(3);
};

class RpcClient {
public:
  RpcClient(RpcCredentials InitCredentials,
            std::function<base::WallTime()> InitWallClock);

  // Calls a method and delivers its result or error once, later. Thread safety:
  // loop thread only.
  void call(const RpcCall &Call, RpcReply Reply);

private:
  RpcCredentials Credentials;
  std::function<base::WallTime()> WallClock;
  http::HttpClient Client;
  int64_t NextId = 1;
};

} // namespace burdockstream::admin

#endif
