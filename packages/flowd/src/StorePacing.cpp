#include "burdockstream/flowd/StorePacing.h"

#include <algorithm>

namespace burdockstream::flowd {

base::Duration agentsBatchDelay(size_t Agents) {
  return std::clamp<base::Duration>(AgentsBatchDelayPerAgent *
                                        static_cast<int64_t>(Agents),
                                    MinAgentsBatchDelay, MaxAgentsBatchDelay);
}

base::Duration watchTimeout(size_t Agents, base::RandomSource &Random) {
  const auto Max = std::clamp<base::Duration>(WatchTimeoutPerAgent *
                                                  static_cast<int64_t>(Agents),
                                              MinWatchTimeout, MaxWatchTimeout);
  const auto Half = static_cast<uint64_t>(Max.count()) / 2;
  return Max -
         base::Duration(static_cast<int64_t>(base::randomBelow(Random, Half)));
}

} // namespace burdockstream::flowd
