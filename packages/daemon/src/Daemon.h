// What both roles of burdockstreamd have in common.
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

class Daemon {
public:
  virtual ~Daemon() = default;

  // Opens the sockets and begins to work. Thread safety: loop thread only.
  virtual base::Result<void> start() = 0;

  // Starts the graceful shutdown; the hook given to the constructor reports its
  // end. Thread safety: loop thread only.
  virtual void beginShutdown() = 0;
};

// How long a store call may take. The store answers in milliseconds; a call
// that takes longer is settled by reading back.
inline constexpr base::Duration StoreTimeout = std::chrono::seconds(1);

// Draws a DaemonId that is not zero. Thread safety: as the source.
base::DaemonId newDaemonId(base::RandomSource &Random);

// Returns the keys for daemon-to-daemon calls, the signing one first. Thread
// safety: any thread.
std::vector<admin::SigningKey>
controlKeys(const settings::DaemonSettings &Settings);

// Builds the hooks that identify callers of the administration API. Settings
// and Registry must outlive the hooks. Thread safety: loop thread only.
admin::RpcServerHooks adminHooks(const settings::DaemonSettings &Settings,
                                 const base::Metrics &Registry,
                                 std::function<bool()> IsReady);

// The method "metrics", which both roles have. Thread safety: loop thread only.
admin::RpcMethod metricsMethod(const base::Metrics &Registry);

// Converts a member for the administration API. Thread safety: any thread.
Json::Value toJson(const messages::MemberInfo &Member);

} // namespace burdockstream::daemon

#endif
