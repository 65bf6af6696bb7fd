// How current and how complete a balancer's view of the store is. Decisions
// that end or refuse a flow require an answer of the store as proof.
#include "burdockstream/flows/FlowBalancer.h"

#include <algorithm>

namespace burdockstream::flows {

void FlowBalancer::onStoreRestored(base::TimePoint Now) {
  ListKnownSince = Now;
  RegistrationEnd = Now + RegistrationPeriod;
  NextSubscriptionUpdate = Now; // listed agents may have left
}

void FlowBalancer::recordListChange(base::TimePoint Now) {
  if (Now - ListKnownSince <= ListRecoveryPeriod)
    LastListChange = Now;
}

void FlowBalancer::setStoreFresh(bool Fresh) {
  ReplayPending = ReplayPending || Fresh;
  StoreFresh = Fresh;
  for (ViewAge &Each : ViewAges)
    Each.CatchingUp = Each.CatchingUp && Fresh;
}

// Returns whether an answer of the store has shown that Part contains all that
// was stored at Since; requests an update if not.
bool FlowBalancer::isCaughtUp(ViewPart Part, base::TimePoint Since,
                              base::TimePoint Now) {
  ViewAge &Age = ViewAges[static_cast<size_t>(Part)];
  if (!Hooks.CatchUp || Age.CaughtUpAt >= Since)
    return true;
  Age.Wanted = true;
  requestCatchUp(Part, Now);
  return Age.CaughtUpAt >= Since;
}

// Sends the request that a decision waits for, unless one is running or the
// last one is too recent.
void FlowBalancer::requestCatchUp(ViewPart Part, base::TimePoint Now) {
  ViewAge &Age = ViewAges[static_cast<size_t>(Part)];
  const auto Interval = std::clamp<base::Duration>(
      CatchUpIntervalPerAgent * static_cast<int64_t>(Targets.size()),
      MinCatchUpInterval, MaxCatchUpInterval);
  if (!Age.Wanted || Age.CatchingUp || !StoreFresh ||
      Now - Age.RequestedAt < Interval)
    return;
  Age.CatchingUp = true;
  Age.Wanted = false;
  Age.RequestedAt = Now;
  Hooks.CatchUp(Part, Now); // may call markCaughtUp()
}

void FlowBalancer::requestDueCatchUps(base::TimePoint Now) {
  if (Searches.empty() && Parked.size() == 0)
    for (ViewAge &Each : ViewAges)
      Each.Wanted = false; // no decision waits for it any more
  requestCatchUp(ViewPart::Routes, Now);
  requestCatchUp(ViewPart::Agents, Now);
}

void FlowBalancer::markCaughtUp(ViewPart Part, base::TimePoint Since) {
  ViewAge &Age = ViewAges[static_cast<size_t>(Part)];
  Age.CaughtUpAt = std::max(Age.CaughtUpAt, Since);
  if (Since == Age.RequestedAt)
    Age.CatchingUp = false;
  ReplayPending = true;
}

bool FlowBalancer::isSettled(base::TimePoint Now) const {
  return StoreFresh && ListKnown && PeersQueried &&
         Now - LastListChange >= SettleTime && Now >= RegistrationEnd;
}

} // namespace burdockstream::flows
