// Searches: how a balancer finds the target that holds a flow it does not know.
#include "burdockstream/flows/FlowBalancer.h"

#include <algorithm>

namespace burdockstream::flows {

// Returns the targets that are asked up to and including Stage.
std::vector<TargetIndex>
FlowBalancer::possibleHolders(SearchStage Stage, const FlowKey &Flow) const {
  std::vector<TargetIndex> Result;
  const Route *Route = Routes ? Routes->find(Flow) : nullptr;
  if (Stage == SearchStage::All || !Route) {
    for (TargetIndex Index = 0; Index < Targets.all().size(); ++Index)
      if (Targets.at(Index))
        Result.push_back(Index);
    return Result;
  }
  if (Stage == SearchStage::Preferred)
    return preferredTargets(Targets, chooseService(*Route, Flow),
                            Self.FailureDomain, Flow);
  const auto Add = [&](base::ServiceId Service) {
    for (const TargetIndex Index : Targets.ofService(Service))
      if (Stage == SearchStage::Service ||
          Targets.at(Index)->FailureDomain == Self.FailureDomain)
        Result.push_back(Index);
  };
  // FormerServices covers only the revisions that this process has applied.
  for (const base::ServiceId Service : Route->FormerServices)
    Add(Service);
  for (const WeightedService &Each : Route->Services)
    Add(Each.Service);
  return Result;
}

std::vector<TargetIndex> FlowBalancer::notQueried(const Search &Running,
                                                  const FlowKey &Flow) const {
  std::vector<bool> Queried(Targets.all().size());
  for (const TargetIndex Index : Running.Queried)
    Queried[Index] = true;
  std::vector<TargetIndex> Result = possibleHolders(Running.Stage, Flow);
  std::erase_if(Result, [&](TargetIndex Index) { return Queried[Index]; });
  return Result;
}

void FlowBalancer::search(const Packet &Packet, TargetIndex Excluded,
                          base::TimePoint Now) {
  if (!Routes || !Routes->find(Packet.Flow)) {
    if (!Routes || !StoreFresh ||
        !isCaughtUp(ViewPart::Routes, ArrivedAt, Now)) {
      park(Packet, ParkReason::RoutesOrTarget);
      return reportDecision(DecisionKind::DroppedNoRoute, Packet.Flow, NoTarget,
                            0, Now);
    }
    Hooks.SendReset(Packet.Flow, Packet.Acknowledged);
    return reportDecision(DecisionKind::RefusedNoRoute, Packet.Flow, NoTarget,
                          0, Now);
  }
  if (const auto Found = Searches.find(Packet.Flow); Found != Searches.end()) {
    buffer(Found->second, Packet);
    return sendTrials(Now);
  }
  if (Targets.size() == 0) { // with an empty list no conclusion is possible
    park(Packet, ParkReason::RoutesOrTarget);
    return reportDecision(DecisionKind::Unsettled, Packet.Flow, NoTarget, 0,
                          Now);
  }
  startSearch(Packet, Excluded, Now);
}

void FlowBalancer::startSearch(const Packet &Packet, TargetIndex Excluded,
                               base::TimePoint Now) {
  auto Holders = possibleHolders(SearchStage::Preferred, Packet.Flow);
  if (!admitSearch(Holders.size(), Now)) {
    park(Packet, ParkReason::SearchRateLimit);
    return;
  }
  Search &New = Searches[Packet.Flow];
  New.Started = Now;
  New.NextRetry = Now + New.RetryInterval;
  New.Buffered.emplace_back(Packet);
  New.Acknowledged = Packet.Acknowledged;
  New.NewestArrivedAt = ArrivedAt;
  if (const Target *Sender = Targets.at(Excluded);
      Sender && !isLost(*Sender, Now)) {
    // It has just returned a packet of the flow.
    New.Queried.push_back(Excluded);
    std::erase(Holders, Excluded);
  }
  ask(New, Holders, headerOf(Packet), Now);
  while (New.Outstanding.empty() && New.Stage != SearchStage::All &&
         queryNextStage(New, Packet.Flow, Now))
    ;
  reportDecision(DecisionKind::Searched, Packet.Flow, Excluded,
                 New.Outstanding.size(), Now);
}

// Buffers Packet until the holder is found. Retransmissions and packets beyond
// the limit are dropped, or replace one if they acknowledge another number.
void FlowBalancer::buffer(Search &Running, const Packet &Packet) {
  std::vector<OwnedPacket> &Buffered = Running.Buffered;
  const bool SameNumber = Packet.Acknowledged == Running.Acknowledged;
  if (!SameNumber) {
    // All agents asked so far were asked by the former number.
    Running.DeniedOther = true;
    Running.Acknowledged = Packet.Acknowledged;
  }
  const auto Copy = std::find_if(Buffered.begin(), Buffered.end(),
                                 [&](const OwnedPacket &Each) {
                                   return Each.sequence() == Packet.Sequence &&
                                          Each.dataBytes() == Packet.DataBytes;
                                 });
  const bool IsCopy = Copy != Buffered.end();
  const bool Replaces = IsCopy || Buffered.size() >= MaxBufferedPackets;
  if (Replaces && SameNumber)
    return;
  Running.NewestArrivedAt = ArrivedAt;
  if (Replaces) {
    (IsCopy ? *Copy : Buffered.back()) = OwnedPacket(Packet);
    return;
  }
  Buffered.emplace_back(Packet);
  if (Packet.DataBytes > 0) // the target need not answer the earlier packets
    for (const TargetIndex Index : Running.Undecided)
      addTrial(Running, Packet.Flow, Index, Running.Buffered.size() - 1);
}

bool FlowBalancer::admitSearch(size_t AgentCount, base::TimePoint Now) {
  const auto Headers = static_cast<double>(AgentCount);
  // Batched searches share frames.
  const double Frames =
      Batching ? Headers / static_cast<double>(HeadersPerFrame) : Headers;
  const double Cost = ReceptionImpaired ? ImpairedSearchCost : 1;
  const double Bytes =
      Cost * (Headers * static_cast<double>(Self.PacketHeaderBytes) +
              Frames * static_cast<double>(FrameHeaderBytes));
  if (!SearchByteBucket.canConsume(Bytes, Now) ||
      !SearchFrameBucket.consume(Frames, Now))
    return false;
  return SearchByteBucket.consume(Bytes, Now);
}

// Asks Holders for the flow of Header, whatever their last statuses say: the
// target of a stopped one may have started since. Agents that count as lost are
// asked too, but the search waits for them only as UnansweredQuestions allows.
void FlowBalancer::ask(Search &Running, const std::vector<TargetIndex> &Holders,
                       std::span<const uint8_t> Header, base::TimePoint Now) {
  Running.AskedAt = Now;
  for (const TargetIndex Index : Holders) {
    Target &Agent = *Targets.at(Index);
    Agent.Questions.ask(Now);
    Running.Queried.push_back(Index);
    Batch.add(Agent.Agent, Agent.Service, Header);
    if (isLost(Agent, Now)) {
      Running.LostAgentsAnswerBy =
          std::max(Running.LostAgentsAnswerBy, Agent.Questions.answerBy(Now));
      Running.NotAwaited.push_back(Index);
    } else {
      Running.Outstanding.push_back(Index);
    }
  }
  if (!Batching)
    sendSearches();
}

// Asks the agents of the next stage or, in the last stage, those that were
// added since. Returns false if the rate limit does not allow it now.
bool FlowBalancer::queryNextStage(Search &Running, const FlowKey &Flow,
                                  base::TimePoint Now) {
  const SearchStage Before = Running.Stage;
  if (Before != SearchStage::All)
    Running.Stage = static_cast<SearchStage>(static_cast<int>(Before) + 1);
  const auto Others = notQueried(Running, Flow);
  if (!admitSearch(Others.size(), Now)) {
    Running.Stage = Before;
    return false;
  }
  const Packet Newest = Running.Buffered.back().packet();
  ask(Running, Others, headerOf(Newest), Now);
  return true;
}

// Returns whether all agents that have not answered may be gone, since their
// targets have stopped. The next stage need not wait for them.
bool FlowBalancer::awaitsOnlyStopped(const Search &Running) const {
  return std::all_of(Running.Outstanding.begin(), Running.Outstanding.end(),
                     [this](TargetIndex Index) {
                       const Target *Silent = Targets.at(Index);
                       return !Silent || hasCurrentlyStopped(*Silent);
                     });
}

// Returns whether all agents have answered that their targets do not hold the
// flow. Starts the next stage if this applies to the current stage only.
bool FlowBalancer::isExhausted(Search &Running, const FlowKey &Flow,
                               base::TimePoint Now) {
  awaitAgain(Running, Now);
  while (Running.Stage != SearchStage::All && awaitsOnlyStopped(Running))
    if (!queryNextStage(Running, Flow, Now))
      return false;
  if (!Running.Outstanding.empty() || Now < Running.LostAgentsAnswerBy)
    return false;
  if (!StoreFresh)
    return true; // finishSearch() does not reset the flow then
  // Another balancer may have learnt of an agent earlier and placed the flow
  // there. The store is asked only now, since agents hold most flows that reach
  // the last stage and each request is a call to the store.
  if (!isCaughtUp(ViewPart::Agents, Running.Started, Now) ||
      !queryNextStage(Running, Flow, Now))
    return false;
  return Running.Outstanding.empty() && Now >= Running.LostAgentsAnswerBy;
}

std::span<const uint8_t> FlowBalancer::headerOf(const Packet &Packet) const {
  return Packet.Bytes.first(
      std::min(Self.PacketHeaderBytes, Packet.Bytes.size()));
}

void FlowBalancer::sendSearches() {
  Batch.flush(routesRevision(), Hooks.SendFrame);
}

// Searches anew by the packets with the last acknowledged number. The others
// may be of a former flow from the same port, which no target need hold any
// more.
void FlowBalancer::restartSearch(Search &Former, base::TimePoint Now) {
  ArrivedAt = Former.NewestArrivedAt;
  for (OwnedPacket &Each : Former.Buffered)
    if (Each.acknowledged() == Former.Acknowledged)
      search(Each.packet(), NoTarget, Now);
}

void FlowBalancer::finishSearch(const FlowKey &Flow, Search &Done,
                                base::TimePoint Now) {
  if (Done.DeniedOther)
    return restartSearch(Done, Now);
  const bool Settled = isSettled(Now);
  if (Settled) {
    Hooks.SendReset(Flow, Done.Acknowledged);
  } else {
    ArrivedAt = Done.NewestArrivedAt;
    park(Done.Buffered.back().packet(), ParkReason::SettledAgentList);
  }
  reportDecision(Settled ? DecisionKind::ResetUnheld : DecisionKind::Unsettled,
                 Flow, NoTarget, Done.Queried.size(), Now);
  Flows.erase(Flow);
}

void FlowBalancer::onAgentAnswer(base::SocketAddress Agent,
                                 const FrameHeader &Header,
                                 const Packet &Packet, base::TimePoint Now) {
  const TargetIndex Index = Targets.indexOf(Agent);
  if (Index == NoTarget)
    return;
  ArrivedAt = Now;
  Targets.at(Index)->Questions.recordAnswer();
  const bool Misnamed = Targets.setAnsweredService(Index, Header.Service);
  switch (Header.Kind) {
  case FrameKind::Returned:
    return onReturned(Index, Header.Reason, Packet, Now);
  case FrameKind::Held:
    return onHeld(Index, Packet.Flow, Now);
  case FrameKind::NotHeld:
    if (Misnamed)
      return askAgain(Index, Packet, Now);
    return onNotHeld(Index, Packet, Now);
  case FrameKind::Undecided:
    return onUndecided(Index, Packet.Flow, Now);
  default:
    return;
  }
}

// Asks an agent that has denied the flow of Packet when asked by the name of
// another service. Agents of former builds deny such a flow without knowing
// whether their target holds it.
void FlowBalancer::askAgain(TargetIndex Agent, const Packet &Packet,
                            base::TimePoint Now) {
  if (Searches.count(Packet.Flow) == 0 || !admitSearch(1, Now))
    return; // it is still outstanding, so that it is asked again later
  const Target &Asked = *Targets.at(Agent);
  Batch.add(Asked.Agent, Asked.Service, headerOf(Packet));
  if (!Batching)
    sendSearches();
}

void FlowBalancer::onReturned(TargetIndex Agent, ReturnReason Reason,
                              const Packet &Packet, base::TimePoint Now) {
  FlowEntry *Entry = Flows.use(Packet.Flow);
  if (!Packet.Opens) {
    if (Entry && Entry->Target != Agent && Targets.at(Entry->Target))
      return forward(Packet, Entry->Target);
    if (Entry)
      Flows.erase(Packet.Flow);
    if (Packet.Aborts)
      return; // the client has ended the flow and needs no answer
    // Agents of former builds return unknown flows of another service without
    // knowing whether their target holds them.
    return search(Packet,
                  Reason == ReturnReason::OtherService ? NoTarget : Agent, Now);
  }
  if (!Entry)
    return;
  withdrawPlacement(Agent, *Entry);
  Entry->recordReturn(Agent, Now);
  // A copy that was offered to another target since may be accepted there.
  const Route *Route = Routes ? Routes->find(Packet.Flow) : nullptr;
  if (Entry->Target != Agent || !Route)
    return;
  if (Reason != ReturnReason::OldRoutes)
    return place(Packet, *Route, *Entry, Now);
  // Newer routes are about to arrive. Until then the packet is offered again in
  // intervals, since the client may have sent its last copy. An opening that
  // the agent may have accepted before stays with it.
  if (repeatsOffers(Self.OpeningAttempt, Route->Time) && !Entry->MayBeOpen &&
      !park(Packet, ParkReason::OfferInterval))
    endOpening(Packet, *Entry, Now);
}

// Takes an opening packet that Agent returns out of the flows that its next
// status has to cover, unless a status has come since the offer. Without a
// subscription the count only grows, which spreads openings over targets whose
// load is unknown.
void FlowBalancer::withdrawPlacement(TargetIndex Agent,
                                     const FlowEntry &Entry) {
  Target &From = *Targets.at(Agent);
  if (From.Subscribed && Entry.Target == Agent && Entry.isPendingAt(Agent) &&
      From.LastStatusAt <= Entry.offeredAt() && From.UnreportedFlows > 0)
    --From.UnreportedFlows;
}

void FlowBalancer::onHeld(TargetIndex Agent, const FlowKey &Flow,
                          base::TimePoint Now) {
  // Without a search the holder is known already. A late answer may be wrong:
  // an unreturned trial packet only suggests that the target holds the flow.
  const auto Found = Searches.find(Flow);
  if (Found == Searches.end())
    return;
  Flows.insert(Flow).Target = Agent;
  // An undecided agent has passed one packet to its target already.
  std::vector<OwnedPacket> &Buffered = Found->second.Buffered;
  if (isUndecided(Found->second, Agent))
    Buffered.erase(Buffered.begin() +
                   static_cast<ptrdiff_t>(firstTrialPacket(Buffered)));
  for (OwnedPacket &Each : Buffered)
    forward(Each.packet(), Agent);
  Searches.erase(Found);
  reportDecision(DecisionKind::Found, Flow, Agent, 0, Now);
}

void FlowBalancer::onNotHeld(TargetIndex Agent, const Packet &Packet,
                             base::TimePoint Now) {
  const FlowKey Flow = Packet.Flow;
  const auto Found = Searches.find(Flow);
  if (Found == Searches.end())
    return;
  if (Packet.Acknowledged != Found->second.Acknowledged)
    Found->second.DeniedOther = true;
  std::erase(Found->second.Outstanding, Agent);
  std::erase(Found->second.NotAwaited, Agent);
  std::erase(Found->second.Undecided, Agent);
  // With many searches, tick() continues them together, so that they share
  // frames.
  if (Searches.size() > MaxImmediateSearches ||
      !isExhausted(Found->second, Flow, Now))
    return;
  auto Done = Searches.extract(Found);
  finishSearch(Flow, Done.mapped(), Now);
}

} // namespace burdockstream::flows
