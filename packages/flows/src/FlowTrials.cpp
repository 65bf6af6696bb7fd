// Trial deliveries of a search: an agent that cannot tell whether its target
// holds the flow passes a packet of the flow to the target, which returns it if
// not.
#include "burdockstream/flows/FlowBalancer.h"

#include <algorithm>

namespace burdockstream::flows {

bool FlowBalancer::isUndecided(const Search &Running, TargetIndex Agent) {
  return std::find(Running.Undecided.begin(), Running.Undecided.end(), Agent) !=
         Running.Undecided.end();
}

// Returns the index of the packet for the first trial delivery: one with data,
// if any, because a target that holds the flow answers it.
size_t
FlowBalancer::firstTrialPacket(const std::vector<OwnedPacket> &Buffered) {
  const auto WithData = std::find_if(
      Buffered.begin(), Buffered.end(),
      [](const OwnedPacket &Each) { return Each.dataBytes() > 0; });
  return WithData == Buffered.end()
             ? 0
             : static_cast<size_t>(WithData - Buffered.begin());
}

void FlowBalancer::onUndecided(TargetIndex Agent, const FlowKey &Flow,
                               base::TimePoint Now) {
  const auto Found = Searches.find(Flow);
  if (Found == Searches.end() || isUndecided(Found->second, Agent))
    return; // a second answer must not repeat the trial deliveries
  auto &Outstanding = Found->second.Outstanding;
  if (std::find(Outstanding.begin(), Outstanding.end(), Agent) ==
      Outstanding.end())
    Outstanding.push_back(Agent); // it counted as lost, but is alive
  Found->second.Undecided.push_back(Agent);
  addTrial(Found->second, Flow, Agent,
           firstTrialPacket(Found->second.Buffered));
  sendTrials(Now);
}

void FlowBalancer::addTrial(const Search &Running, const FlowKey &Flow,
                            TargetIndex Agent, size_t BufferIndex) {
  PendingTrials.emplace(std::pair(Running.Stage, Random()),
                        PendingTrial{Flow, Agent, BufferIndex});
}

// Sends a queued trial delivery unless it is obsolete. Returns false if the
// rate limit does not allow it now.
bool FlowBalancer::sendTrial(const PendingTrial &Trial, base::TimePoint Now) {
  const auto Found = Searches.find(Trial.Flow);
  if (Found == Searches.end() || !Targets.at(Trial.Agent) ||
      !isUndecided(Found->second, Trial.Agent) ||
      Trial.BufferIndex >= Found->second.Buffered.size())
    return true;
  const Packet Sent = Found->second.Buffered[Trial.BufferIndex].packet();
  const auto Bytes = static_cast<double>(Sent.Bytes.size());
  if (!TrialByteBucket.canConsume(Bytes, Now) || !TrialBucket.consume(1, Now))
    return false;
  TrialByteBucket.consume(Bytes, Now);
  forward(Sent, Trial.Agent, FrameKind::Trial);
  return true;
}

void FlowBalancer::sendTrials(base::TimePoint Now) {
  while (!PendingTrials.empty() &&
         sendTrial(PendingTrials.begin()->second, Now))
    PendingTrials.erase(PendingTrials.begin());
}

} // namespace burdockstream::flows
