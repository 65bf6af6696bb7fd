#include "burdockstream/flows/StatusSubscription.h"

#include "TargetRanking.h"
#include "burdockstream/flows/FlowKey.h"

#include <algorithm>
#include <unordered_set>

namespace burdockstream::flows {

namespace {

bool isLocal(const Target &Target, const Subscriber &Self) {
  return Target.FailureDomain == Self.FailureDomain;
}

// Returns whether a subscription is required regardless of service and failure
// domain.
bool requiresSubscription(const Target &Target, base::TimePoint Now) {
  return !Target.Listed || Target.EntryDisputed ||
         Now - Target.LastUsed <= RecentUsePeriod || isLost(Target, Now);
}

// Returns the remote targets of one service that this balancer subscribes to:
// the first by a hash that differs between balancers and changes little with
// the fleet.
std::vector<TargetIndex>
remoteSubscriptions(const TargetTable &Targets,
                    const std::vector<TargetIndex> &OfService,
                    const Subscriber &Self, base::TimePoint Now) {
  internal::RankedTargets Ranked;
  internal::RankedTargets Evacuated;
  size_t LocalCount = 0;
  for (const TargetIndex Index : OfService) {
    const Target &Each = *Targets.at(Index);
    if (isLost(Each, Now))
      continue;
    if (!isLocal(Each, Self))
      (Each.Evacuated ? Evacuated : Ranked)
          .emplace_back(hashOf(Self.Address, Each.Agent), Index);
    else if (!Each.Evacuated)
      ++LocalCount;
  }
  const size_t Wanted = std::max(
      MinRemoteSubscribed, MinSubscribed - std::min(MinSubscribed, LocalCount));
  auto Result = internal::lowestRanked(std::move(Ranked), Wanted);
  // Their agents must learn of the end of the evacuation.
  for (const TargetIndex Index :
       internal::lowestRanked(std::move(Evacuated), MinRemoteSubscribed))
    Result.push_back(Index);
  return Result;
}

} // namespace

void chooseSubscriptions(TargetTable &Targets, const Subscriber &Self,
                         base::TimePoint Now) {
  const bool SubscribesToAll = Targets.size() <= MaxSubscribedAtStart &&
                               Self.ListKnownSince &&
                               Now - *Self.ListKnownSince <= SubscribeAllPeriod;
  std::unordered_set<TargetIndex> Remote;
  for (const auto &[Service, OfService] : Targets.services())
    for (const TargetIndex Index :
         remoteSubscriptions(Targets, OfService, Self, Now))
      Remote.insert(Index);
  for (TargetIndex Index = 0; Index < Targets.all().size(); ++Index) {
    Target *Each = Targets.at(Index);
    if (!Each)
      continue;
    const bool Subscribed = SubscribesToAll || isLocal(*Each, Self) ||
                            Remote.count(Index) != 0 ||
                            requiresSubscription(*Each, Now);
    if (Subscribed && !Each->Subscribed) {
      Each->SubscribedSince = Now;
      Each->StatusSinceSubscribed = false;
      Each->NextHello = Now;
    }
    Each->Subscribed = Subscribed;
  }
}

} // namespace burdockstream::flows
