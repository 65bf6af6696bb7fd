// Interface of a flow service daemon: a balancer or an agent, consisting of a
// protocol core and the sockets, timers and logs around it.
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

  // Opens the sockets and starts operation. Fails if an address cannot be
  // bound.
  virtual base::Result<void> start() = 0;

  // Applies reloaded settings. Changes of the daemon's own addresses take
  // effect only after a restart.
  virtual void applySettings(const FlowSettings &Settings) = 0;

  // Starts the graceful shutdown; its end is reported through the OnFinished
  // callback that was passed to make().
  virtual void beginShutdown() = 0;

  // Creates the daemon for the role given by Settings. Log must outlive it.
  static std::unique_ptr<FlowDaemon> make(const FlowSettings &Settings,
                                          const FlowEnvironment &Environment,
                                          EventLog &Log,
                                          std::function<void()> OnFinished);
};

} // namespace burdockstream::flowd

#endif
