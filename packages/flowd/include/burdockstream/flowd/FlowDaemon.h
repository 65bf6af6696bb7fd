// One process of a flow service: sockets, timers and logs around a core.
#ifndef BURDOCKSTREAM_FLOWD_FLOWDAEMON_H
#define BURDOCKSTREAM_FLOWD_FLOWDAEMON_H

#include "burdockstream/base/Error.h"
#include "burdockstream/flowd/EventLog.h"
#include "burdockstream/flowd/FlowEnvironment.h"
#include "burdockstream/flowd/FlowSettings.h"

#include <functional>
#include <memory>

namespace burdockstream::flowd {

// Thread safety, for all methods: loop thread only.
class FlowDaemon {
public:
  virtual ~FlowDaemon() = default;

  // Opens the sockets and begins to work.
  virtual base::Result<void> start() = 0;

  // Applies settings that were read again. Addresses do not change.
  virtual void applySettings(const FlowSettings &Settings) = 0;

  // Starts the graceful shutdown; the hook given to make() reports its end.
  virtual void beginShutdown() = 0;

  // Returns the daemon for the role of Settings. Log must outlive it.
  static std::unique_ptr<FlowDaemon> make(const FlowSettings &Settings,
                                          const FlowEnvironment &Environment,
                                          EventLog &Log,
                                          std::function<void()> OnFinished);
};

} // namespace burdockstream::flowd

#endif
