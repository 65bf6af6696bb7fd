#include "burdockstream/flowd/StorePacing.h"

#include <algorithm>

namespace burdockstream::flowd {

base::Duration agentsPause(size_t Agents) {
  return std::clamp<base::Duration>(AgentsPausePerAgent *
                                        static_cast<int64_t>(Agents),
                                    ShortestAgentsPause, LongestAgentsPause);
}

base::Duration watchWait(size_t Agents, base::RandomSource &Random) {
  const auto Longest = std::clamp<base::Duration>(
      WaitPerAgent * static_cast<int64_t>(Agents), ShortestWait, LongestWait);
  const auto Half = static_cast<uint64_t>(Longest.count()) / 2;
  return Longest -
         base::Duration(static_cast<int64_t>(base::randomBelow(Random, Half)));
}

} // namespace burdockstream::flowd
