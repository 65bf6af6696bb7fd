// Interface and helper functions shared by both roles of burdockstreamd.
#ifndef BURDOCKSTREAM_DAEMON_DAEMON_H
#define BURDOCKSTREAM_DAEMON_DAEMON_H

#include "burdockstream/admin/RequestSignature.h"
#include "burdockstream/admin/RpcServer.h"
#include "burdockstream/base/Error.h"
#include "burdockstream/base/Metrics.h"
#include "burdockstream/base/Random.h"
#include "burdockstream/messages/Messages.h"
#include "burdockstream/settings/DaemonSettings.h"

#include <functional>
#include <string>
#include <vector>

namespace burdockstream::daemon {

// One role of burdockstreamd.
class Daemon {
public:
  virtual ~Daemon() = default;

  // Opens the sockets and starts the node. Returns an error if an address
  // cannot be used. Precondition: called once. Thread safety: loop thread only.
  virtual base::Result<void> start() = 0;

  // Starts the graceful shutdown. The callback given to the constructor reports
  // that it is complete. Thread safety: loop thread only.
  virtual void beginShutdown() = 0;
};

// Timeout of a store call. The store normally answers within milliseconds.
// After a timeout the outcome is determined by reading the key again.
inline constexpr base::Duration StoreTimeout = std::chrono::seconds(1);

// Returns a random DaemonId that is not zero. Thread safety: as Random.
base::DaemonId newDaemonId(base::RandomSource &Random);

// Returns the keys for calls between daemons, the signing key first. Thread
// safety: any thread.
std::vector<admin::SigningKey>
controlKeys(const settings::DaemonSettings &Settings);

// Creates the hooks with which the administration API authenticates its clients
// and reports health, readiness and metrics. Settings and Registry must outlive
// the hooks. Thread safety: loop thread only.
admin::RpcServerHooks adminHooks(const settings::DaemonSettings &Settings,
                                 const base::Metrics &Registry,
                                 std::function<bool()> IsReady);

// Creates the method "metrics" of both roles. Registry must outlive it. Thread
// safety: loop thread only.
admin::RpcMethod metricsMethod(const base::Metrics &Registry);

// Converts a member to its JSON form in the administration API. Thread safety:
// any thread.
Json::Value toJson(const messages::MemberInfo &Member);

} // namespace burdockstream::daemon

#endif
