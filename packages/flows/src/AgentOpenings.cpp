// Delivery of opening packets to the agent's target: checks, admission and
// holding.
#include "burdockstream/flows/FlowAgent.h"

#include <algorithm>
#include <utility>

namespace burdockstream::flows {

ReturnReason FlowAgent::checkOpening(const FrameHeader &Header,
                                     base::TimePoint Now) const {
  if (Header.Service != base::serviceIdOf(Options.Target.Service))
    return ReturnReason::OtherService;
  if (State == TargetState::Stopped)
    return ReturnReason::TargetStopped;
  // tick() may not have detected an overdue heartbeat yet: after a stall of the
  // process, packets are handled first.
  if (AgentLeaving || State != TargetState::Ready ||
      Now - LastHeartbeat > Options.HeartbeatOverdue)
    return ReturnReason::NotReady;
  if (Evacuation.Evacuated)
    return ReturnReason::Evacuated;
  if (Header.Routes < NewestRoutes &&
      Now - NewestRoutesSince > OldRoutesGracePeriod)
    return ReturnReason::OldRoutes;
  return ReturnReason::None;
}

// Returns whether Opening is a copy of the opening packet of Record, as far as
// the agent knows: a client starts each flow with another sequence number.
bool FlowAgent::isCopyOf(const Packet &Opening, const FlowRecord &Record) {
  return !Record.Closing &&
         Record.OpeningSequence.value_or(Opening.Sequence) == Opening.Sequence;
}

void FlowAgent::onOpening(base::SocketAddress From, const FrameHeader &Header,
                          const Packet &Packet, base::TimePoint Now) {
  const ReturnReason Reason = checkOpening(Header, Now);
  if (Reason != ReturnReason::None)
    return returnOpening(From, Header, Packet, Reason, Now);
  // A further copy of a delivered opening packet must not wait behind others.
  const FlowRecord *Known = Flows.use(Packet.Flow);
  const bool IsCopy = Known && isCopyOf(Packet, *Known);
  const auto Urgency = urgencyOf(load(), Header.Time);
  if ((admits(load(), Urgency) && warmupAdmits(Now)) || IsCopy)
    return deliverOpening(From, Header, Packet, Now);
  if (Header.Reason == ReturnReason::Busy) {
    // The balancer chooses the next target by the load that it knows.
    sendStatusTo(From, Now);
    return returnOpening(From, Header, Packet, ReturnReason::Busy, Now);
  }
  Held.hold(From, Header, Packet, Now);
  reportDecision(DecisionKind::HeldBack, Reason, Packet.Flow, From, Header,
                 Now);
}

void FlowAgent::returnOpening(base::SocketAddress From,
                              const FrameHeader &Header, const Packet &Packet,
                              ReturnReason Reason, base::TimePoint Now) {
  reportDecision(DecisionKind::NotDelivered, Reason, Packet.Flow, From, Header,
                 Now);
  // Balancers treat both alike, and older ones drop frames with a reason that
  // they do not know.
  answer(From, FrameKind::Returned,
         Reason == ReturnReason::Evacuated ? ReturnReason::NotReady : Reason,
         Packet.Bytes);
}

void FlowAgent::deliverOpening(base::SocketAddress From,
                               const FrameHeader &Header, const Packet &Packet,
                               base::TimePoint Now) {
  // The client has reused the port of a former flow, whose sequence numbers and
  // counters do not apply to the new one.
  if (const FlowRecord *Old = Flows.use(Packet.Flow);
      Old && !isCopyOf(Packet, *Old))
    forget(Packet.Flow);
  if (Now < WarmupEnd && !Flows.use(Packet.Flow))
    Warmup.record(Now);
  FlowRecord &Record = Flows.insert(Packet.Flow);
  if (!Record.OpeningSequence) {
    Record.OpenedByCopy = Packet.Acknowledged != 0;
    Record.MayBeFormer = !Record.Sent.isEmpty();
  }
  Record.OpeningSequence = Packet.Sequence;
  Record.Class = static_cast<WorkClass>(
      std::min<size_t>(Header.WorkClass, WorkClasses - 1));
  Held.erase(Packet.Flow);
  NotHeld.erase(Packet.Flow);
  ResetByClient.erase(Packet.Flow);
  recordOpening(Record, Packet.Flow, Now);
  deliver(From, Packet, false);
  reportDecision(DecisionKind::Delivered, ReturnReason::None, Packet.Flow, From,
                 Header, Now);
}

TargetLoad FlowAgent::load() const {
  return {WaitingRequests + OpeningFlows, Slots, ServiceTime.value(),
          MeanHandshake};
}

void FlowAgent::admitHeld(base::TimePoint Now) {
  while (warmupAdmits(Now)) {
    auto Next = Held.takeNext(load(), Now);
    if (!Next)
      return;
    const ReturnReason Reason = checkOpening(Next->Header, Now);
    if (Reason == ReturnReason::None)
      deliverOpening(Next->Balancer, Next->Header, Next->Stored.packet(), Now);
    else
      returnOpening(Next->Balancer, Next->Header, Next->Stored.packet(), Reason,
                    Now);
  }
}

void FlowAgent::returnHeld(std::vector<HeldOpening> Overdue,
                           ReturnReason Reason, base::TimePoint Now) {
  for (HeldOpening &Each : Overdue)
    returnOpening(Each.Balancer, Each.Header, Each.Stored.packet(), Reason,
                  Now);
}

// Counts the first request of a flow as work from its opening packet on. Load
// pattern: after an outage hundreds of clients open flows within one status
// interval; without this, each status would attract more flows before the first
// requests arrive.
void FlowAgent::recordOpening(FlowRecord &Record, const FlowKey &Flow,
                              base::TimePoint Now) {
  if (Record.Opening || Record.RequestEnd != 0)
    return;
  Record.Opening = true;
  Record.RequestedAt = Now;
  ++OpeningFlows;
  Openings.add(Flow, Now);
}

// Records that the target accepts the flow of Record. Nothing that was recorded
// before the opening packet is kept, since it may be of a former flow.
void FlowAgent::recordAcceptance(FlowRecord &Record, const Packet &Packet,
                                 base::TimePoint Now) {
  if (Record.MayBeFormer) {
    stopCounting(Record);
    FlowRecord New;
    New.Class = Record.Class;
    New.OpeningSequence = Record.OpeningSequence;
    New.OpenedByCopy = Record.OpenedByCopy;
    Record = New;
    recordOpening(Record, Packet.Flow, Now);
  }
  Record.Sent.start(Packet.Sequence, Record.OpenedByCopy || !hasAllRecords());
}

void FlowAgent::expireOpenings(base::TimePoint Now) {
  Openings.popOlderThan(OpeningTimeoutHandshakes * MeanHandshake, Now,
                        [this](const FlowKey &Flow, base::TimePoint) {
                          FlowRecord *Record = Flows.use(Flow);
                          if (Record && std::exchange(Record->Opening, false))
                            --OpeningFlows;
                        });
}

} // namespace burdockstream::flows
