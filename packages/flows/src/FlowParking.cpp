// Parking of packets that a balancer cannot handle yet, and their replay when
// the missing information arrives.
#include "burdockstream/flows/FlowBalancer.h"

namespace burdockstream::flows {

// Returns false if there is no room for the packet.
bool FlowBalancer::park(const Packet &Packet, ParkReason Reason) {
  const bool Added = Parked.add(Packet, Reason, ArrivedAt);
  if (!Added && Reason == ParkReason::SearchRateLimit)
    ++DroppedSearchCount;
  return Added;
}

void FlowBalancer::replay(ParkReason Reason, base::TimePoint Now) {
  Replaying = true;
  for (ParkedPacket &Each : Parked.take(Reason)) {
    ArrivedAt = Each.ArrivedAt;
    handle(Each.Stored.packet(), Now);
  }
  Replaying = false;
}

void FlowBalancer::replayParked(base::TimePoint Now) {
  for (const ParkedPacket &Each : Parked.takeExpired(Now))
    reportDecision(DecisionKind::WaitExpired, Each.Stored.flow(), NoTarget, 0,
                   Now);
  const bool Settled = isSettled(Now);
  ReplayPending = ReplayPending || (Settled && !WasSettled);
  WasSettled = Settled;
  if (Parked.size() == 0)
    return;
  if (ReplayPending)
    replay(ParkReason::RoutesOrTarget, Now);
  ReplayPending = false;
  if (Settled)
    replay(ParkReason::SettledAgentList, Now);
  replay(ParkReason::SearchRateLimit, Now);
  replay(ParkReason::OfferInterval, Now);
}

} // namespace burdockstream::flows
