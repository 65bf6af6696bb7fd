// When a balancer decides again on packets that it could not decide before.
#include "burdockstream/flows/FlowBalancer.h"

namespace burdockstream::flows {

void FlowBalancer::park(const Packet &Packet, WaitFor Reason) {
  if (!Parked.add(Packet, Reason, ArrivedAt) && Reason == WaitFor::SearchBudget)
    ++DroppedSearches;
}

void FlowBalancer::replay(WaitFor Reason, base::TimePoint Now) {
  Replaying = true;
  for (ParkedPacket &Each : Parked.take(Reason)) {
    ArrivedAt = Each.ArrivedAt;
    handle(Each.Kept.packet(), Now);
  }
  Replaying = false;
}

void FlowBalancer::replayParked(base::TimePoint Now) {
  for (const ParkedPacket &Each : Parked.takeExpired(Now))
    decide(DecisionKind::WaitExpired, Each.Kept.flow(), NoTarget, 0, Now);
  const bool Settled = isSettled(Now);
  News = News || (Settled && !WasSettled);
  WasSettled = Settled;
  if (Parked.size() == 0)
    return;
  if (News)
    replay(WaitFor::Knowledge, Now);
  News = false;
  if (Settled)
    replay(WaitFor::SettledView, Now);
  replay(WaitFor::SearchBudget, Now);
}

} // namespace burdockstream::flows
