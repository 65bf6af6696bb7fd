#include "burdockstream/flowd/FlowDaemon.h"

#include "AgentShell.h"
#include "BalancerShell.h"

namespace burdockstream::flowd {

std::unique_ptr<FlowDaemon> FlowDaemon::make(const FlowSettings &Settings,
                                             const FlowEnvironment &Environment,
                                             EventLog &Log,
                                             std::function<void()> OnFinished) {
  if (Settings.Role == FlowRole::Agent)
    return std::make_unique<AgentShell>(Settings, Environment, Log,
                                        std::move(OnFinished));
  return std::make_unique<BalancerShell>(Settings, Environment, Log,
                                         std::move(OnFinished));
}

} // namespace burdockstream::flowd
