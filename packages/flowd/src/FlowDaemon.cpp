#include "burdockstream/flowd/FlowDaemon.h"

#include "AgentDaemon.h"
#include "BalancerDaemon.h"

namespace burdockstream::flowd {

std::unique_ptr<FlowDaemon> FlowDaemon::make(const FlowSettings &Settings,
                                             const FlowEnvironment &Environment,
                                             EventLog &Log,
                                             std::function<void()> OnFinished) {
  if (Settings.Role == FlowRole::Agent)
    return std::make_unique<AgentDaemon>(Settings, Environment, Log,
                                         std::move(OnFinished));
  return std::make_unique<BalancerDaemon>(Settings, Environment, Log,
                                          std::move(OnFinished));
}

} // namespace burdockstream::flowd
