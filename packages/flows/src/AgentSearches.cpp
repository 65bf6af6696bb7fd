// How an agent answers searches for flows that its target may hold.
#include "burdockstream/flows/FlowAgent.h"

#include <algorithm>
#include <map>

namespace burdockstream::flows {

std::span<const uint8_t> FlowAgent::headerOf(const Packet &Packet) const {
  return Packet.Bytes.first(
      std::min(Packet.Bytes.size(), Options.PacketHeaderBytes));
}

// Whether the target holds the flow, as the kind of frame that says so.
FrameKind FlowAgent::holding(const FrameHeader &Header, const Packet &Packet) {
  const bool Foreign =
      Header.Service != base::serviceIdOf(Options.Target.Service);
  if (State != TargetState::Stopped && Flows.use(Packet.Flow))
    return FrameKind::Held;
  const bool Knows = State == TargetState::Stopped || KnowsAllFlows ||
                     Foreign || NotHeld.use(Packet.Flow);
  return Knows ? FrameKind::NotHeld : FrameKind::Unsure;
}

void FlowAgent::onSearches(base::SocketAddress From, const FrameHeader &Header,
                           std::span<const Packet> Packets) {
  std::map<FrameKind, std::vector<uint8_t>> Answers;
  for (const Packet &Each : Packets) {
    std::vector<uint8_t> &Body = Answers[holding(Header, Each)];
    const auto Named = headerOf(Each);
    Body.insert(Body.end(), Named.begin(), Named.end());
  }
  for (const auto &[Kind, Body] : Answers)
    answer(From, Kind, ReturnReason::None, Body);
}

// Only the target knows: it returns the packet if it does not hold the flow.
void FlowAgent::onTry(base::SocketAddress From, const FrameHeader &Header,
                      const Packet &Packet, base::TimePoint Now) {
  if (const FrameKind Known = holding(Header, Packet);
      Known != FrameKind::Unsure)
    return answer(From, Known, ReturnReason::None, headerOf(Packet));
  const auto Named = headerOf(Packet);
  Trials.insert(Packet.Flow) = {balancerIndex(From),
                                {Named.begin(), Named.end()}};
  TrialTimes.add(Packet.Flow, Now);
  deliver(From, Packet, true);
}

// Tells the balancer that the target holds the flow, if it still asks.
void FlowAgent::settleTrial(const FlowKey &Flow) {
  const Trial *Done = Trials.use(Flow);
  if (!Done)
    return; // the target returned the packet, or has answered it
  answer(Senders[Done->Balancer], FrameKind::Held, ReturnReason::None,
         Done->Header);
  Trials.erase(Flow);
}

void FlowAgent::settleTrials(base::TimePoint Now) {
  TrialTimes.takeOlder(
      TrialTime, Now,
      [this](const FlowKey &Flow, base::TimePoint) { settleTrial(Flow); });
}

} // namespace burdockstream::flows
