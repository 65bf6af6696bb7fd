#include "burdockstream/flows/FlowAgent.h"

#include "TargetStates.h"

#include <algorithm>
#include <utility>

namespace burdockstream::flows {

using internal::TargetEvent;

namespace {

// A tag contains the index of the balancer that sent a packet, and whether the
// packet was a trial delivery. Packets that the target sends itself have tag 0.
constexpr uint32_t TrialBit = 1U << 16;
constexpr uint32_t TagMark = 1U << 17;

constexpr uint32_t makeTag(uint16_t Sender, bool IsTrial) {
  return TagMark | (IsTrial ? TrialBit : 0) | Sender;
}

// Weight of a new sample in the mean time from request to answer.
constexpr double ServiceTimeWeight = 0.1;

// Divisor of a new sample's weight in the mean handshake time.
constexpr int HandshakeSmoothing = 8;

} // namespace

void FlowAgent::start(base::TimePoint Now) {
  ObservedSince = ObservedSince.value_or(Now);
  NextProbe = Now + ProbeInterval;
  Hooks.ProbeTarget();
}

void FlowAgent::setTarget(const TargetIdentity &Target, base::TimePoint Now) {
  Options.Target = Target;
  Heartbeats = HeartbeatFilter(Options.HeartbeatOverdue);
  KnowsAllFlows = false;
  ObservedSince = Now;
  ServiceTime.clear();
  Ejection.clear();
  apply(TargetEvent::Replace, "settings", Now);
  start(Now);
}

void FlowAgent::setHeartbeatTimes(base::Duration Interval,
                                  base::Duration Overdue) {
  Options.HeartbeatInterval = Interval;
  Options.HeartbeatOverdue = Overdue;
  Heartbeats.setOverdue(Overdue);
}

void FlowAgent::onFrame(base::SocketAddress From, const FrameHeader &Header,
                        const Packet &Packet, base::TimePoint Now) {
  if (Packet.Opens)
    return onOpening(From, Header, Packet, Now);
  if (Header.Kind == FrameKind::Trial)
    return onTrial(From, Packet, Now);
  onForward(From, Header, Packet, Now);
}

void FlowAgent::onForward(base::SocketAddress From, const FrameHeader &Header,
                          const Packet &Packet, base::TimePoint Now) {
  FlowRecord *Record = Flows.use(Packet.Flow);
  if (State == TargetState::Stopped) {
    forget(Packet.Flow);
    return answer(From, FrameKind::Returned, ReturnReason::TargetStopped,
                  Packet.Bytes);
  }
  // The balancer names the service that it takes the target for. If that is an
  // earlier one, the target may hold the flow all the same, and returns the
  // packet if not.
  if (!Record && Header.Service != base::serviceIdOf(Options.Target.Service) &&
      knowsNotHeld(Packet.Flow))
    return answer(From, FrameKind::Returned, ReturnReason::OtherService,
                  Packet.Bytes);
  // The balancer's entry is that of a former flow with the same key. The target
  // would answer data of an ended flow with a reset.
  if (Record && !Packet.Aborts && lookUpFlow(Packet) == FrameKind::NotHeld)
    return answer(From, FrameKind::Returned, ReturnReason::NotHeld,
                  Packet.Bytes);
  const SequenceMatch Match =
      Record ? Record->Sent.match(Packet.Acknowledged) : SequenceMatch::Unknown;
  const bool OfRecord = Record && mayDescribe(*Record, Match);
  if (OfRecord) {
    recordRequest(*Record, Packet, Now);
    Record->ClosedByClient = Record->ClosedByClient || Packet.Finishes;
  } else if (Record && Packet.Aborts && Match == SequenceMatch::Unknown) {
    stopCounting(*Record); // the flow may have ended
  }
  deliver(From, Packet, false);
  if (!Packet.Aborts || (Record && !OfRecord))
    return;
  forget(Packet.Flow);
  ResetByClient.insert(Packet.Flow) = true;
}

// Returns whether to record a client's packet in Record: its sequence numbers
// show that it belongs to the flow, or never distinguish that from others.
bool FlowAgent::mayDescribe(const FlowRecord &Record, SequenceMatch Match) {
  return Match == SequenceMatch::Same || Record.Sent.isEmpty() ||
         Record.Sent.isAmbiguous();
}

void FlowAgent::deliver(base::SocketAddress From, const Packet &Packet,
                        bool IsTrial) {
  Hooks.Stamp(Packet.Bytes, makeTag(balancerIndex(From), IsTrial));
  Hooks.DeliverToTarget(Packet.Bytes);
}

// Returns whether Packet carries data beyond what its flow has sent before. A
// retransmission of an answered request is not a new request.
bool FlowAgent::isNewer(const FlowRecord &Record, const Packet &Packet) {
  const uint32_t End = Packet.Sequence + Packet.DataBytes;
  return Packet.DataBytes > 0 &&
         (Record.RequestEnd == 0 ||
          static_cast<int32_t>(End - Record.RequestEnd) > 0);
}

void FlowAgent::recordRequest(FlowRecord &Record, const Packet &Packet,
                              base::TimePoint Now) {
  // The number of a reset must not be that of another flow with this key.
  if (Record.Sent.match(Packet.Acknowledged) == SequenceMatch::Same)
    Record.Acknowledged = Packet.Acknowledged;
  if (!isNewer(Record, Packet))
    return;
  Record.RequestEnd = Packet.Sequence + Packet.DataBytes;
  if (std::exchange(Record.Opening, false)) {
    --OpeningFlows;
    const base::Duration Taken =
        std::min<base::Duration>(Now - Record.RequestedAt, MaxHandshake);
    MeanHandshake += (Taken - MeanHandshake) / HandshakeSmoothing;
  }
  if (Record.Waiting)
    return;
  accountBusyTime(Now);
  Record.Waiting = true;
  Record.RequestedAt = Now;
  ++WaitingRequests;
  Requests.add(Packet.Flow, Now);
}

// Accounts the time since the last call as busy time of the slots. Must be
// called before each change of WaitingRequests.
void FlowAgent::accountBusyTime(base::TimePoint Now) {
  ServiceTime.advance(std::min(WaitingRequests, Slots), Now);
}

void FlowAgent::expireWaiting(base::TimePoint Now) {
  Requests.popOlderThan(
      UnansweredRequestTimeout, Now,
      [this](const FlowKey &Flow, base::TimePoint At) {
        FlowRecord *Record = Flows.use(Flow);
        if (!Record || Record->RequestedAt != At ||
            !std::exchange(Record->Waiting, false))
          return;
        --WaitingRequests;
        ServiceTime.clear(); // it may not have occupied a slot
      });
}

void FlowAgent::recordAnswer(FlowRecord &Record, base::TimePoint Now) {
  if (!Record.Waiting)
    return;
  accountBusyTime(Now);
  ServiceTime.recordAnswer();
  Ejection.recordAnswer();
  Record.Waiting = false;
  --WaitingRequests;
  const base::Duration Taken = Now - Record.RequestedAt;
  MeanServiceUs +=
      ServiceTimeWeight * (static_cast<double>(Taken.count()) - MeanServiceUs);
  if (Hooks.OnAnswered)
    Hooks.OnAnswered(Record.Class, Taken);
}

void FlowAgent::onTargetPacket(const Packet &Packet, base::TimePoint Now) {
  if (Packet.Returned)
    return onReturned(Packet, Now);
  FlowRecord &Record = Flows.insert(Packet.Flow);
  // The target had sent this packet before it received the client's reset.
  if (ResetByClient.use(Packet.Flow))
    Record.Closing = Record.ClosedByClient = true;
  if (Packet.Accepts)
    recordAcceptance(Record, Packet, Now);
  else if (!Packet.Aborts)
    Record.Sent.extend(Packet.Sequence,
                       Packet.DataBytes + (Packet.Finishes ? 1U : 0U));
  if (const Trial *Pending = Trials.use(Packet.Flow);
      Pending &&
      Record.Sent.match(Pending->Acknowledged) == SequenceMatch::Same)
    completeTrial(Packet.Flow);
  if (!Packet.Accepts && !Packet.Aborts) {
    Record.Open = true;
    // The target still acknowledges the client's end after its own. An agent
    // that has restarted in between does not know that the flow has ended.
    const bool MayHaveEnded =
        Record.Closing || (Packet.DataBytes == 0 && Record.RequestEnd == 0);
    if (!Record.Counted && !MayHaveEnded && !Packet.Finishes) {
      Record.Counted = true;
      ++OpenFlows;
    }
  }
  // The end of a flow may overtake the answer before it.
  if (Packet.DataBytes > 0 || Packet.Finishes)
    recordAnswer(Record, Now);
  if (Packet.Aborts)
    recordAbort(Record, Now);
  if (Packet.Finishes) {
    stopCounting(Record);
    Record.Closing = true;
  }
  Hooks.SendToClient(Packet.Flow, Packet.Bytes);
  if (Packet.Aborts)
    recordReset(Record, Packet);
  admitHeld(Now);
}

// Drops the record of a flow that the target resets. The reset may answer a
// late packet of a former flow with the same key.
void FlowAgent::recordReset(FlowRecord &Record, const Packet &Packet) {
  if (Record.Sent.match(Packet.Sequence) == SequenceMatch::Other)
    stopCounting(Record);
  else
    forget(Packet.Flow);
}

// A reset of a flow that the target has closed is not a failure: the client had
// sent more before it received the end.
void FlowAgent::recordAbort(const FlowRecord &Record, base::TimePoint Now) {
  if (!Record.Waiting || Record.Closing || !Ejection.recordFailure(Now))
    return;
  if (Hooks.OnEjected)
    Hooks.OnEjected(Ejection.remaining(Now));
  sendStatuses(Now, Audience::All);
}

void FlowAgent::onReturned(const Packet &Packet, base::TimePoint Now) {
  const uint32_t Tag = Packet.Tag;
  const auto Index = static_cast<uint16_t>(Tag);
  if ((Tag & TagMark) == 0 || Index >= Senders.size())
    return; // stamped by an earlier process of this agent
  const base::SocketAddress From = Senders[Index];
  Hooks.Stamp(Packet.Bytes, 0);
  if (Packet.Opens) {
    forget(Packet.Flow);
    return answer(From, FrameKind::Returned, ReturnReason::Refused,
                  Packet.Bytes);
  }
  Trials.erase(Packet.Flow);
  FlowRecord *Record = Flows.use(Packet.Flow);
  const bool Proven =
      Record && Record->Sent.match(Packet.Acknowledged) == SequenceMatch::Same;
  const bool WasOpen = Proven && Record->Open;
  if (Record && !Proven && !Record->Sent.isEmpty()) {
    // The target may hold the recorded flow, and another one was returned. If
    // it does not, the record must not count as an open flow.
    stopCounting(*Record);
    ++UnprovenReturns;
  } else {
    forget(Packet.Flow);
    NotHeld.insert(Packet.Flow) = true;
  }
  if (WasOpen) {
    // This flow was open at this target, so no other target can hold it.
    Hooks.SendReset(Packet.Flow, Packet.Acknowledged);
    return reportDecision(DecisionKind::ResetLost, ReturnReason::NotHeld,
                          Packet.Flow, From, FrameHeader(), Now);
  }
  if ((Tag & TrialBit) != 0)
    return answer(From, FrameKind::NotHeld, ReturnReason::None,
                  headerOf(Packet));
  answer(From, FrameKind::Returned, ReturnReason::NotHeld, Packet.Bytes);
}

void FlowAgent::answer(base::SocketAddress To, FrameKind Kind,
                       ReturnReason Reason, std::span<const uint8_t> Body) {
  FrameHeader Header;
  Header.Kind = Kind;
  Header.Reason = Reason;
  Header.Service = base::serviceIdOf(Options.Target.Service);
  Header.Routes = NewestRoutes;
  Hooks.SendFrame(To, Header, Body);
}

void FlowAgent::stopCounting(FlowRecord &Record) {
  if (Record.Counted)
    --OpenFlows;
  if (Record.Waiting)
    --WaitingRequests;
  if (Record.Opening)
    --OpeningFlows;
  Record.Counted = Record.Waiting = Record.Opening = false;
}

void FlowAgent::forget(const FlowKey &Flow) {
  if (FlowRecord *Record = Flows.use(Flow)) {
    stopCounting(*Record);
    Flows.erase(Flow);
  }
}

void FlowAgent::resetAllFlows(base::TimePoint Now) {
  Flows.forEach([&](const FlowKey &Flow, FlowRecord &Record) {
    stopCounting(Record);
    // A flow that both sides have closed needs no reset, and its client may
    // have opened another one with the same key.
    if (!Record.Open || (Record.Closing && Record.ClosedByClient))
      return;
    Hooks.SendReset(Flow, Record.Acknowledged);
    reportDecision(DecisionKind::ResetLost, ReturnReason::TargetStopped, Flow,
                   {}, FrameHeader(), Now);
  });
  Flows.clear();
  Openings.clear();
  Requests.clear();
  Trials.clear();
}

uint16_t FlowAgent::balancerIndex(base::SocketAddress Address) {
  const auto Known = std::find(Senders.begin(), Senders.end(), Address);
  if (Known != Senders.end())
    return static_cast<uint16_t>(Known - Senders.begin());
  Senders.push_back(Address);
  return static_cast<uint16_t>(Senders.size() - 1);
}

void FlowAgent::reportDecision(DecisionKind Kind, ReturnReason Reason,
                               const FlowKey &Flow, base::SocketAddress From,
                               const FrameHeader &Header, base::TimePoint Now) {
  if (!Hooks.OnDecision)
    return;
  FlowDecision Decision;
  Decision.Kind = Kind;
  Decision.Flow = Flow;
  Decision.Reason = Reason;
  Decision.Class = static_cast<WorkClass>(
      std::min<size_t>(Header.WorkClass, WorkClasses - 1));
  Decision.Balancer = From;
  Decision.Routes = Header.Routes;
  Decision.Waiting = WaitingRequests;
  Decision.Slots = Slots;
  Decision.StatusAge = Now - LastHeartbeat;
  Hooks.OnDecision(Decision);
}

} // namespace burdockstream::flows
