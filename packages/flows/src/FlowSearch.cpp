// How a balancer finds the target that holds a flow it does not know.
#include "burdockstream/flows/FlowBalancer.h"

#include <algorithm>

namespace burdockstream::flows {

// Targets of the services that Route has, or had in earlier revisions that this
// process knows of.
std::vector<TargetIndex>
FlowBalancer::likelyHolders(const Route &Route) const {
  std::vector<TargetIndex> Result;
  const auto Add = [&](base::ServiceId Service) {
    const auto &Some = Targets.ofService(Service);
    Result.insert(Result.end(), Some.begin(), Some.end());
  };
  for (const base::ServiceId Service : Route.Former)
    Add(Service);
  for (const WeightedService &Each : Route.Services)
    Add(Each.Service);
  return Result;
}

std::vector<TargetIndex> FlowBalancer::notAsked(const Search &Running) const {
  std::vector<bool> Asked(Targets.all().size());
  for (const TargetIndex Index : Running.Asked)
    Asked[Index] = true;
  std::vector<TargetIndex> Result;
  for (TargetIndex Index = 0; Index < Asked.size(); ++Index)
    if (Targets.at(Index) && !Asked[Index])
      Result.push_back(Index);
  return Result;
}

void FlowBalancer::search(const Packet &Packet, TargetIndex Excluded,
                          base::TimePoint Now) {
  const Route *Route = Routes ? Routes->find(Packet.Flow) : nullptr;
  if (!Route) {
    if (!Routes || !StoreFresh) {
      park(Packet, WaitFor::Knowledge);
      return decide(DecisionKind::DroppedNoRoute, Packet.Flow, NoTarget, 0,
                    Now);
    }
    Hooks.SendReset(Packet.Flow, Packet.Acknowledged);
    return decide(DecisionKind::RefusedNoRoute, Packet.Flow, NoTarget, 0, Now);
  }
  auto Found = Searches.find(Packet.Flow);
  if (Found == Searches.end()) {
    auto Holders = likelyHolders(*Route);
    if (!admitSearch(Holders.size(), Now))
      return park(Packet, WaitFor::SearchBudget);
    if (Targets.size() == 0) { // an empty list proves nothing
      park(Packet, WaitFor::Knowledge);
      return decide(DecisionKind::Unsettled, Packet.Flow, NoTarget, 0, Now);
    }
    Found = Searches.try_emplace(Packet.Flow).first;
    Search &New = Found->second;
    New.Started = Now;
    New.NextAsk = Now + New.AskInterval;
    if (const Target *Sender = Targets.at(Excluded);
        Sender && !isLost(*Sender, Now)) {
      New.Asked.push_back(Excluded);
      std::erase(Holders, Excluded);
    }
    ask(New, Holders, headerOf(Packet), Now);
    decide(DecisionKind::Searched, Packet.Flow, Excluded, New.Open.size(), Now);
  }
  Search &Running = Found->second;
  Running.Acknowledged = Packet.Acknowledged;
  if (Running.Kept.size() < MaxKept) {
    Running.Kept.emplace_back(Packet);
    Running.NewestArrivedAt = ArrivedAt;
  }
  for (const TargetIndex Index : Running.Unsure)
    if (Targets.at(Index))
      forward(Packet, Index, nullptr, FrameKind::Try);
}

bool FlowBalancer::admitSearch(size_t Asked, base::TimePoint Now) {
  const std::chrono::duration<double> Elapsed = Now - SearchFramesAt;
  SearchFramesAt = Now;
  SearchFrames = std::min(
      SearchFrameBurst, SearchFrames + Elapsed.count() * SearchFramesPerSecond);
  const double Frames = static_cast<double>(Asked) /
                        (Batching ? static_cast<double>(HeadersPerFrame) : 1);
  if (SearchFrames < Frames)
    return false;
  SearchFrames -= Frames;
  return true;
}

// Asks Holders for the flow of Header. One that counts as lost is asked too, but
// is waited for no longer than LostAnswerTime.
void FlowBalancer::ask(Search &Running, const std::vector<TargetIndex> &Holders,
                       std::span<const uint8_t> Header, base::TimePoint Now) {
  for (const TargetIndex Index : Holders) {
    const Target &Asked = *Targets.at(Index);
    Running.Asked.push_back(Index);
    // The flows of a process that has ended are gone with it.
    if (Asked.Heard && Asked.Status.State == TargetState::Stopped)
      continue;
    Batch.add(Asked.Agent, Asked.Service, Header);
    if (isLost(Asked, Now))
      Running.LostMayAnswerUntil = Now + LostAnswerTime;
    else
      Running.Open.push_back(Index);
  }
  if (!Batching)
    sendSearches();
}

// Asks the agents that were not asked yet, of whatever service. Returns false
// if there is no room for it now.
bool FlowBalancer::askAll(Search &Running, base::TimePoint Now) {
  const auto Others = notAsked(Running);
  if (!admitSearch(Others.size(), Now))
    return false;
  Running.AskedAll = true;
  const Packet Newest = Running.Kept.back().packet();
  ask(Running, Others, headerOf(Newest), Now);
  return true;
}

// Whether all agents have answered that their targets do not hold the flow. If
// only the likely holders have, the others are asked.
bool FlowBalancer::isAnswered(Search &Running, base::TimePoint Now) {
  if (!Running.Open.empty())
    return false;
  if (!Running.AskedAll && (!askAll(Running, Now) || !Running.Open.empty()))
    return false;
  return Now >= Running.LostMayAnswerUntil;
}

std::span<const uint8_t> FlowBalancer::headerOf(const Packet &Packet) const {
  return Packet.Bytes.first(
      std::min(Self.PacketHeaderBytes, Packet.Bytes.size()));
}

void FlowBalancer::sendSearches() {
  Batch.flush(routesRevision(), Hooks.SendFrame);
}

void FlowBalancer::askSilent(Search &Running, base::TimePoint Now) {
  if (!admitSearch(Running.Open.size(), Now))
    return;
  const Packet Newest = Running.Kept.back().packet();
  for (const TargetIndex Index : Running.Open) {
    const Target &Silent = *Targets.at(Index);
    Batch.add(Silent.Agent, Silent.Service, headerOf(Newest));
  }
}

void FlowBalancer::askAgain(base::TimePoint Now) {
  std::vector<FlowKey> Answered;
  for (auto &[Flow, Running] : Searches) {
    if (Now < Running.NextAsk)
      continue;
    Running.AskInterval *= 2;
    Running.NextAsk = Now + Running.AskInterval;
    // An agent that has fallen silent since is waited for all the same: its
    // silence may be the balancer's own.
    std::erase_if(Running.Open,
                  [&](TargetIndex Index) { return !Targets.at(Index); });
    if (Running.Open.empty()) {
      if (isAnswered(Running, Now))
        Answered.push_back(Flow);
      continue;
    }
    askSilent(Running, Now);
    decide(DecisionKind::AskedAgain, Flow, Running.Open.front(),
           Running.Open.size(), Now);
  }
  for (const FlowKey &Flow : Answered) {
    auto Done = Searches.extract(Flow);
    finishSearch(Flow, Done.mapped(), Now);
  }
}

void FlowBalancer::expireSearches(base::TimePoint Now) {
  std::erase_if(Searches, [&](const auto &Each) {
    const Search &Running = Each.second;
    if (Now - Running.Started <= SearchLife)
      return false;
    decide(DecisionKind::SearchExpired, Each.first,
           Running.Open.empty() ? NoTarget : Running.Open.front(),
           Running.Open.size(), Now);
    return true;
  });
}

void FlowBalancer::sendKept(Search &Running, TargetIndex Index,
                            FrameKind Kind) {
  for (KeptPacket &Each : Running.Kept)
    forward(Each.packet(), Index, nullptr, Kind);
}

void FlowBalancer::finishSearch(const FlowKey &Flow, Search &Done,
                                base::TimePoint Now) {
  const bool Settled = isSettled(Now);
  if (Settled) {
    Hooks.SendReset(Flow, Done.Acknowledged);
  } else {
    ArrivedAt = Done.NewestArrivedAt;
    park(Done.Kept.back().packet(), WaitFor::SettledView);
  }
  decide(Settled ? DecisionKind::ResetUnheld : DecisionKind::Unsettled, Flow,
         NoTarget, 0, Now);
  Flows.erase(Flow);
}

void FlowBalancer::onAgentAnswer(base::SocketAddress Agent,
                                 const FrameHeader &Header,
                                 const Packet &Packet, base::TimePoint Now) {
  const TargetIndex Index = Targets.indexOf(Agent);
  if (Index == NoTarget)
    return;
  ArrivedAt = Now;
  switch (Header.Kind) {
  case FrameKind::Returned:
    return onReturned(Index, Header.Reason, Packet, Now);
  case FrameKind::Held:
    return onHeld(Index, Packet.Flow, Now);
  case FrameKind::NotHeld:
    return onNotHeld(Index, Packet.Flow, Now);
  case FrameKind::Unsure:
    return onUnsure(Index, Packet.Flow);
  default:
    return;
  }
}

void FlowBalancer::onReturned(TargetIndex Agent, ReturnReason Reason,
                              const Packet &Packet, base::TimePoint Now) {
  FlowEntry *Entry = Flows.use(Packet.Flow);
  if (!Packet.Opens) {
    if (Entry && Entry->Target != Agent && Targets.at(Entry->Target))
      return forward(Packet, Entry->Target, nullptr);
    if (Entry)
      Flows.erase(Packet.Flow);
    return search(Packet, Agent, Now);
  }
  if (!Entry)
    return;
  ++Entry->Refusals;
  // A copy that was placed elsewhere since may be accepted there. With old
  // routes the flow must wait for the newer ones; the client sends a copy.
  if (Entry->Target != Agent || Reason == ReturnReason::OldRoutes)
    return;
  if (const Route *Route = Routes ? Routes->find(Packet.Flow) : nullptr)
    place(Packet, *Route, *Entry, Now);
}

void FlowBalancer::onUnsure(TargetIndex Agent, const FlowKey &Flow) {
  const auto Found = Searches.find(Flow);
  if (Found == Searches.end())
    return;
  auto &Unsure = Found->second.Unsure;
  if (std::find(Unsure.begin(), Unsure.end(), Agent) != Unsure.end())
    return; // it has the packets; a second answer must not cost them again
  Unsure.push_back(Agent);
  sendKept(Found->second, Agent, FrameKind::Try);
}

void FlowBalancer::onHeld(TargetIndex Agent, const FlowKey &Flow,
                          base::TimePoint Now) {
  // Without a search the holder is known; a later answer may be an assumption.
  const auto Found = Searches.find(Flow);
  if (Found == Searches.end())
    return;
  Flows.insert(Flow).Target = Agent;
  // An agent that was unsure has given the packets to its target already.
  const auto &Unsure = Found->second.Unsure;
  if (std::find(Unsure.begin(), Unsure.end(), Agent) == Unsure.end())
    sendKept(Found->second, Agent, FrameKind::Forward);
  Searches.erase(Found);
  decide(DecisionKind::Found, Flow, Agent, 0, Now);
}

void FlowBalancer::onNotHeld(TargetIndex Agent, const FlowKey &Flow,
                             base::TimePoint Now) {
  const auto Found = Searches.find(Flow);
  if (Found == Searches.end())
    return;
  std::erase(Found->second.Open, Agent);
  std::erase(Found->second.Unsure, Agent);
  if (!isAnswered(Found->second, Now))
    return; // tick() ends the search
  auto Done = Searches.extract(Found);
  finishSearch(Flow, Done.mapped(), Now);
}

} // namespace burdockstream::flows
