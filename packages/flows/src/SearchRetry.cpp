// Searches that have no answer yet: which agents are asked again, which are no
// longer waited for, and when a search ends without a result.
#include "burdockstream/flows/FlowBalancer.h"

#include <algorithm>

namespace burdockstream::flows {

// Stops waiting for agents that have left, that count as lost without ever
// having sent a status, or that have had time to contradict a status that
// their target has ended. An agent that has fallen silent during the
// search is still waited for, since the balancer itself may be overloaded.
void FlowBalancer::dropDepartedAgents(Search &Running, base::TimePoint Now) {
  const auto HasLeft = [&](TargetIndex Index) {
    const Target *Silent = Targets.at(Index);
    return !Silent || (!Silent->HasStatus && isLost(*Silent, Now)) ||
           (hasCurrentlyStopped(*Silent) &&
            Now >= Silent->Questions.answerBy(Running.AskedAt));
  };
  for (const TargetIndex Index : Running.Outstanding)
    if (HasLeft(Index) && Targets.at(Index))
      Running.NotAwaited.push_back(Index);
  std::erase_if(Running.Outstanding, HasLeft);
  std::erase_if(Running.Undecided, HasLeft);
}

// Waits again for agents whose silence has turned out to say nothing, because
// this balancer did not receive statuses.
void FlowBalancer::awaitAgain(Search &Running, base::TimePoint Now) {
  auto &Outstanding = Running.Outstanding;
  std::erase_if(Running.NotAwaited, [&](TargetIndex Index) {
    const Target *Agent = Targets.at(Index);
    if (Agent && (isLost(*Agent, Now) || hasCurrentlyStopped(*Agent)))
      return false;
    if (Agent && std::find(Outstanding.begin(), Outstanding.end(), Index) ==
                     Outstanding.end())
      Outstanding.push_back(Index);
    return true;
  });
}

void FlowBalancer::retryOutstanding(Search &Running, const FlowKey &Flow,
                                    base::TimePoint Now) {
  const size_t Silent = Running.Outstanding.size() - Running.Undecided.size();
  const bool Retries =
      Running.RetryInterval > TrialRetryDelay && PendingTrials.empty();
  if (!admitSearch(Silent, Now))
    return;
  const Packet Newest = Running.Buffered.back().packet();
  for (const TargetIndex Index : Running.Outstanding) {
    Target &Agent = *Targets.at(Index);
    // Keeps its subscription, so that its loss is detected.
    Agent.LastUsed = Now;
    Agent.Questions.ask(Now);
    if (!isUndecided(Running, Index))
      Batch.add(Agent.Agent, Agent.Service, headerOf(Newest));
    else if (Retries)
      addTrial(Running, Flow, Index, firstTrialPacket(Running.Buffered));
  }
}

void FlowBalancer::retrySearches(base::TimePoint Now) {
  std::vector<FlowKey> Answered;
  for (auto &[Flow, Running] : Searches) {
    dropDepartedAgents(Running, Now);
    if (isExhausted(Running, Flow, Now))
      Answered.push_back(Flow);
    else if (!Running.Outstanding.empty() && Now >= Running.NextRetry)
      retrySearch(Running, Flow, Now);
  }
  for (const FlowKey &Flow : Answered) {
    auto Done = Searches.extract(Flow);
    finishSearch(Flow, Done.mapped(), Now);
  }
}

void FlowBalancer::retrySearch(Search &Running, const FlowKey &Flow,
                               base::TimePoint Now) {
  Running.RetryInterval *= 2;
  Running.NextRetry = Now + Running.RetryInterval;
  // The store may show that silent agents have left.
  isCaughtUp(ViewPart::Agents, Now - DepartureCheckInterval, Now);
  retryOutstanding(Running, Flow, Now);
  // Detecting the loss of silent agents takes time; the next stages are asked
  // meanwhile. Undecided agents are not silent; most likely one of them finds
  // the flow.
  while (Running.Outstanding.size() > Running.Undecided.size() &&
         Running.Stage != SearchStage::All &&
         queryNextStage(Running, Flow, Now))
    ;
  reportDecision(DecisionKind::AskedAgain, Flow, Running.Outstanding.front(),
                 Running.Outstanding.size(), Now);
}

void FlowBalancer::expireSearches(base::TimePoint Now) {
  for (auto Each = Searches.begin(); Each != Searches.end();) {
    Search &Running = Each->second;
    if (Now - Running.Started <= SearchTimeout) {
      ++Each;
      continue;
    }
    reportDecision(DecisionKind::SearchExpired, Each->first,
                   Running.Outstanding.empty() ? NoTarget
                                               : Running.Outstanding.front(),
                   Running.Outstanding.size(), Now);
    // By the next search it is known whether the silent agents are lost.
    ArrivedAt = Running.NewestArrivedAt;
    park(Running.Buffered.back().packet(), ParkReason::SettledAgentList);
    Each = Searches.erase(Each);
  }
}

} // namespace burdockstream::flows
