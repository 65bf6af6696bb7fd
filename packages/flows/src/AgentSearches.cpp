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
FrameKind FlowAgent::lookUpFlow(const Packet &Packet) {
  if (State != TargetState::Stopped && Flows.use(Packet.Flow))
    return FrameKind::Held;
  return knowsNotHeld(Packet.Flow) ? FrameKind::NotHeld : FrameKind::Undecided;
}

// Returns whether the target cannot hold a flow that has no record.
bool FlowAgent::knowsNotHeld(const FlowKey &Flow) {
  return State == TargetState::Stopped || KnowsAllFlows || NotHeld.use(Flow);
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
                                {FlowHeader.begin(), FlowHeader.end()}};
  TrialStartTimes.add(Packet.Flow, Now);
  deliver(From, Packet, true);
}

// Ends a trial with the answer that the target holds the flow. Does nothing
// without a pending trial of the flow.
void FlowAgent::completeTrial(const FlowKey &Flow) {
  const Trial *Done = Trials.use(Flow);
  if (!Done)
    return; // the packet was returned, or the trial has ended
  answer(Senders[Done->Balancer], FrameKind::Held, ReturnReason::None,
         Done->Header);
  Trials.erase(Flow);
}

void FlowAgent::completeTrials(base::TimePoint Now) {
  TrialStartTimes.popOlderThan(
      TrialTimeout, Now,
      [this](const FlowKey &Flow, base::TimePoint) { completeTrial(Flow); });
}

} // namespace burdockstream::flows
