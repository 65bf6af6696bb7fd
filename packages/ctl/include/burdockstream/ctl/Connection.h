// The connection of burdockstreamctl to the balancers: JSON-RPC calls that run
// the GLib loop until their answer is there.
#ifndef BURDOCKSTREAM_CTL_CONNECTION_H
#define BURDOCKSTREAM_CTL_CONNECTION_H

#include "burdockstream/admin/RpcClient.h"
#include "burdockstream/ctl/Run.h"
#include "burdockstream/http/HttpClient.h"

#include <string>
#include <vector>

namespace burdockstream::ctl {

struct ConnectionSettings {
  std::vector<base::SocketAddress> Servers; // tried in order; not empty
  std::string Token;                        // of the team
  base::Duration Timeout = std::chrono::seconds(8);
};

// Thread safety: loop thread only, and not from within a callback of the loop.
class Connection {
public:
  explicit Connection(ConnectionSettings InitSettings);

  // Calls a method at the first server that answers, beginning with the one
  // that answered last. A write goes only to a server that has just answered a
  // read, and is not repeated at another server unless it surely changed
  // nothing.
  admin::RpcResult call(const std::string &Method,
                        const Json::Value &Parameters);

  // Calls a read method without parameters at each of Servers, all at once and
  // for Limit at most.
  std::vector<admin::RpcResult>
  callEach(const std::vector<base::SocketAddress> &Servers,
           const std::string &Method, base::Duration Limit);

  // Fetches the JSON document at Path from each of Servers, all at once.
  std::vector<base::Result<Json::Value>>
  fetchEach(const std::vector<base::SocketAddress> &Servers,
            const std::string &Path);

private:
  admin::RpcResult callAt(base::SocketAddress Server, const std::string &Method,
                          const Json::Value &Parameters);
  base::Duration timeoutOf(const std::string &Method) const;

  ConnectionSettings Settings;
  admin::RpcClient Client;
  http::HttpClient Reader;
  size_t Selected = 0;
};

// Returns the hooks of the program: files, Link, the monotonic clock and the
// loop. Link must outlive them. Thread safety: as Connection.
Hooks programHooks(Connection &Link);

} // namespace burdockstream::ctl

#endif
