// Blocking JSON-RPC calls and HTTP requests of burdockstreamctl to the
// balancers. Each call runs the GLib main loop until it has completed.
#ifndef BURDOCKSTREAM_CTL_CONNECTION_H
#define BURDOCKSTREAM_CTL_CONNECTION_H

#include "burdockstream/admin/RpcClient.h"
#include "burdockstream/ctl/Run.h"
#include "burdockstream/http/HttpClient.h"

#include <string>
#include <vector>

namespace burdockstream::ctl {

struct ConnectionSettings {
  // Tried in order. If there is none, call() fails with Unavailable.
  std::vector<base::SocketAddress> Servers;
  std::string Token;                                // bearer token of the team
  base::Duration Timeout = std::chrono::seconds(8); // of each call
};

// Thread safety: loop thread only, and not from within a callback of the loop.
class Connection {
public:
  explicit Connection(ConnectionSettings InitSettings);

  // Calls a method at the first server that responds, beginning with the one
  // that responded last. A write is sent only to a server that has just
  // responded to a read, and is retried at another server only if it is certain
  // that it changed nothing. Fails with OutcomeUnknown if a write may have
  // taken effect, and with Unavailable if no server could carry out the call.
  admin::RpcResult call(const std::string &Method,
                        const Json::Value &Parameters);

  // Calls a read method without parameters at each of Servers in parallel, for
  // Limit at most. Returns the results in the order of Servers.
  std::vector<admin::RpcResult>
  callEach(const std::vector<base::SocketAddress> &Servers,
           const std::string &Method, base::Duration Limit);

  // Fetches the JSON document at Path from each of Servers in parallel. Returns
  // the results in the order of Servers.
  std::vector<base::Result<Json::Value>>
  fetchEach(const std::vector<base::SocketAddress> &Servers,
            const std::string &Path);

private:
  admin::RpcResult callServer(base::SocketAddress Server,
                              const std::string &Method,
                              const Json::Value &Parameters);
  base::Duration timeoutFor(const std::string &Method) const;

  ConnectionSettings Settings;
  admin::RpcClient Client;
  http::HttpClient DocumentClient;
  size_t CurrentServer = 0; // index in Settings.Servers
};

// Returns hooks that use the file system, Conn, the monotonic clock and the
// GLib main loop. Precondition: Conn outlives them. Thread safety: as
// Connection.
Hooks makeHooks(Connection &Conn);

} // namespace burdockstream::ctl

#endif
