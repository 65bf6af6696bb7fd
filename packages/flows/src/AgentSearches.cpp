// An agent's answers to searches for flows that its target may hold.
#include "burdockstream/flows/FlowAgent.h"

#include <algorithm>
#include <map>

namespace burdockstream::flows {

std::span<const uint8_t> FlowAgent::headerOf(const Packet &Packet) const {
  return Packet.Bytes.first(
      std::min(Packet.Bytes.size(), Options.PacketHeaderBytes));
}

// Returns the kind of frame that answers whether the target holds the flow. The
// service that a search names is no evidence: it is that of the target as far
// as the balancer knows.
//
// A record may be that of another flow with the same key: the client uses the
// port again, or another target has accepted a copy of the opening packet too.
// If the sequence numbers prove nothing, only the target can tell. Where they
// never do, a flow that both sides have closed has no more packets.
FrameKind FlowAgent::lookUpFlow(const Packet &Packet) {
  const FlowRecord *Record = Flows.use(Packet.Flow);
  if (State != TargetState::Stopped && Record && !Record->Sent.isEmpty()) {
    const bool IsClosed = Record->Closing && Record->ClosedByClient;
    switch (Record->Sent.match(Packet.Acknowledged)) {
    case SequenceMatch::Same:
      return FrameKind::Held;
    case SequenceMatch::Other:
      return FrameKind::NotHeld;
    case SequenceMatch::Unknown:
      if (!Record->Sent.isAmbiguous() || !IsClosed)
        return FrameKind::Undecided;
    }
  }
  return knowsNotHeld(Packet.Flow) ? FrameKind::NotHeld : FrameKind::Undecided;
}

// Returns whether the target cannot hold a flow that has no record.
bool FlowAgent::knowsNotHeld(const FlowKey &Flow) {
  return State == TargetState::Stopped || hasAllRecords() || NotHeld.use(Flow);
}

void FlowAgent::onSearches(base::SocketAddress From,
                           std::span<const Packet> Packets) {
  std::map<FrameKind, std::vector<uint8_t>> Answers;
  for (const Packet &Each : Packets) {
    std::vector<uint8_t> &Body = Answers[lookUpFlow(Each)];
    const auto FlowHeader = headerOf(Each);
    Body.insert(Body.end(), FlowHeader.begin(), FlowHeader.end());
  }
  for (const auto &[Kind, Body] : Answers)
    answer(From, Kind, ReturnReason::None, Body);
}

// Trial delivery: the target returns the packet if it does not hold the flow.
void FlowAgent::onTrial(base::SocketAddress From, const Packet &Packet,
                        base::TimePoint Now) {
  if (const FrameKind Known = lookUpFlow(Packet); Known != FrameKind::Undecided)
    return answer(From, Known, ReturnReason::None, headerOf(Packet));
  const auto FlowHeader = headerOf(Packet);
  Trials.insert(Packet.Flow) = {balancerIndex(From),
                                Packet.Acknowledged,
                                {FlowHeader.begin(), FlowHeader.end()}};
  TrialStartTimes.add(Packet.Flow, Now);
  deliver(From, Packet, true);
}

// Ends a trial whose packet was not returned: the target holds the flow, unless
// the packet belongs to another one than the target has sent packets of. Does
// nothing without a pending trial of the flow.
void FlowAgent::completeTrial(const FlowKey &Flow) {
  const Trial *Done = Trials.use(Flow);
  if (!Done)
    return; // the packet was returned, or the trial has ended
  const FlowRecord *Record = Flows.use(Flow);
  const bool OfAnother =
      Record && Record->Sent.match(Done->Acknowledged) == SequenceMatch::Other;
  answer(Senders[Done->Balancer],
         OfAnother ? FrameKind::NotHeld : FrameKind::Held, ReturnReason::None,
         Done->Header);
  Trials.erase(Flow);
}

void FlowAgent::completeTrials(base::TimePoint Now) {
  TrialStartTimes.popOlderThan(
      TrialTimeout, Now,
      [this](const FlowKey &Flow, base::TimePoint) { completeTrial(Flow); });
}

} // namespace burdockstream::flows
