#include "burdockstream/flows/PreferredTargets.h"

#include "TargetRanking.h"

#include <utility>

namespace burdockstream::flows {

std::vector<TargetIndex> preferredTargets(const TargetTable &Targets,
                                          base::ServiceId Service,
                                          std::string_view FailureDomain,
                                          const FlowKey &Flow) {
  internal::RankedTargets Ranked;
  for (const TargetIndex Index : Targets.ofService(Service))
    if (Targets.at(Index)->FailureDomain == FailureDomain)
      Ranked.emplace_back(hashOf(Flow.Client, Targets.at(Index)->Agent), Index);
  return internal::lowestRanked(std::move(Ranked), PreferredTargetCount);
}

} // namespace burdockstream::flows
