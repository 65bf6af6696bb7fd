#include "burdockstream/flows/FlowBalancer.h"

#include <algorithm>
#include <utility>

namespace burdockstream::flows {

namespace {

// Services whose targets may hold flows of Route.
std::vector<base::ServiceId> servicesOf(const Route &Route) {
  std::vector<base::ServiceId> Result = Route.Former;
  for (const WeightedService &Each : Route.Services)
    Result.push_back(Each.Service);
  return Result;
}

} // namespace

bool FlowBalancer::setRoutes(std::shared_ptr<const RouteTable> Table,
                             base::TimePoint Now) {
  if (Routes && Table->Revision <= Routes->Revision)
    return false;
  if (Routes) {
    auto Merged = std::make_shared<RouteTable>(*Table);
    keepFormerServices(*Routes, *Merged);
    Table = std::move(Merged);
  }
  Routes = std::move(Table);
  NextHello = Now; // agents learn the revision at once
  return true;
}

void FlowBalancer::setAgents(const std::vector<AgentEntry> &Entries,
                             base::TimePoint Now) {
  const bool First = !std::exchange(ListKnown, true);
  if (Targets.setList(Entries, Now))
    LastListChange = First ? Now - SettleTime + FirstSettleTime : Now;
  NextHello = Now;
}

void FlowBalancer::listAgent(const AgentEntry &Entry, base::TimePoint Now) {
  if (!Targets.list(Entry, Now))
    return;
  LastListChange = Now;
  NextHello = Now;
}

void FlowBalancer::unlistAgent(base::SocketAddress Agent) {
  Targets.unlist(Agent);
}

void FlowBalancer::suggestAgent(const AgentEntry &Entry, base::TimePoint Now) {
  if (Targets.indexOf(Entry.Agent) != NoTarget)
    return;
  Targets.list(Entry, Now);
  Targets.unlist(Entry.Agent);
  LastListChange = NextHello = Now;
}

void FlowBalancer::onClientPacket(const Packet &Packet, base::TimePoint Now) {
  if (Packet.Opens)
    return open(Packet, Now);
  const FlowEntry *Entry = Flows.use(Packet.Flow);
  const TargetIndex Index = Entry ? Entry->Target : NoTarget;
  const Target *Holder = Targets.at(Index);
  if (Holder)
    forward(Packet, Index, nullptr);
  if (Packet.Aborts) {
    Flows.erase(Packet.Flow);
    return;
  }
  if (!Holder || isLost(*Holder, Now))
    search(Packet, Index, Now);
}

void FlowBalancer::open(const Packet &Packet, base::TimePoint Now) {
  const Route *Route = Routes ? Routes->find(Packet.Flow) : nullptr;
  if (!Route) {
    if (Routes && StoreFresh)
      return refuse(Packet, DecisionKind::RefusedNoRoute, 0);
    return decide(DecisionKind::DroppedNoRoute, Packet.Flow, NoTarget, 0, Now);
  }
  FlowEntry *Known = Flows.use(Packet.Flow);
  if (!Known) {
    Known = &Flows.insert(Packet.Flow);
    // Another balancer may have had the first copy, and a target may have
    // accepted it.
    Known->MayBeOpen = Packet.Acknowledged != 0;
  }
  place(Packet, *Route, *Known, Now);
}

std::vector<Candidate> FlowBalancer::candidates(base::ServiceId Service,
                                                const FlowEntry &Entry,
                                                double Distance,
                                                base::TimePoint Now) {
  std::vector<Candidate> Result;
  const auto Offered = Entry.Offered.begin();
  for (const TargetIndex Index : Targets.ofService(Service)) {
    const Target &Each = *Targets.at(Index);
    if (!takesFlows(Each, Now) || std::find(Offered, Offered + Entry.Offers,
                                            Index) != Offered + Entry.Offers)
      continue;
    Result.push_back({Index, std::max(Each.Status.Slots, 1U),
                      Each.Status.Waiting, Each.Unreported, Each.Status.Flows,
                      Each.FailureDomain == Self.FailureDomain ? 0 : Distance,
                      Each.Status.WarmupMs > 0});
  }
  return Result;
}

void FlowBalancer::place(const Packet &Packet, const Route &Route,
                         FlowEntry &Entry, base::TimePoint Now) {
  const base::ServiceId Service = serviceOf(Route, Packet.Flow);
  const auto Choices =
      candidates(Service, Entry,
                 Route.Class == WorkClass::Download ? RemoteDownloadDistance
                                                    : RemoteDistance,
                 Now);
  const auto Chosen =
      Entry.Offers < MaxOffers ? chooseTarget(Choices, Random) : std::nullopt;
  if (Chosen) {
    Entry.Target = *Chosen;
    Entry.Offered[Entry.Offers++] = *Chosen;
    ++Targets.at(*Chosen)->Unreported;
    forward(Packet, *Chosen, &Route);
    return decide(Entry.Offers == 1 ? DecisionKind::Placed
                                    : DecisionKind::PlacedAgain,
                  Packet.Flow, *Chosen, Choices.size(), Now);
  }
  // An offer without an answer may still succeed.
  if (Entry.Offers > Entry.Refusals) {
    if (Targets.at(Entry.Target))
      forward(Packet, Entry.Target, &Route);
    return;
  }
  if (!Entry.MayBeOpen && isSettled(Now))
    return refuse(Packet, DecisionKind::RefusedNoTarget,
                  Targets.ofService(Service).size());
  Entry.Offers = Entry.Refusals = 0; // the client's next copy starts over
  decide(DecisionKind::Unsettled, Packet.Flow, NoTarget,
         Targets.ofService(Service).size(), Now);
}

void FlowBalancer::forward(const Packet &Packet, TargetIndex Index,
                           const Route *Route, FrameKind Kind) {
  const Target &To = *Targets.at(Index);
  FrameHeader Header;
  Header.Kind = Kind;
  Header.WorkClass =
      static_cast<uint8_t>(Route ? Route->Class : WorkClass::Other);
  Header.Service = Route ? serviceOf(*Route, Packet.Flow) : To.Service;
  Header.Routes = Routes ? Routes->Revision : 0;
  Hooks.SendFrame(To.Agent, Header, Packet.Bytes);
}

void FlowBalancer::refuse(const Packet &Packet, DecisionKind Kind,
                          size_t Candidates) {
  Hooks.SendReset(Packet.Flow, 0); // any number fits while a flow is not open
  Flows.erase(Packet.Flow);
  decide(Kind, Packet.Flow, NoTarget, Candidates, LastTick);
}

void FlowBalancer::search(const Packet &Packet, TargetIndex Excluded,
                          base::TimePoint Now) {
  const Route *Route = Routes ? Routes->find(Packet.Flow) : nullptr;
  if (!Route) {
    if (!Routes || !StoreFresh)
      return decide(DecisionKind::DroppedNoRoute, Packet.Flow, NoTarget, 0,
                    Now);
    Hooks.SendReset(Packet.Flow, Packet.Acknowledged);
    return decide(DecisionKind::RefusedNoRoute, Packet.Flow, NoTarget, 0, Now);
  }
  auto Found = Searches.find(Packet.Flow);
  if (Found == Searches.end()) {
    size_t Asked = 0;
    for (const base::ServiceId Service : servicesOf(*Route))
      Asked += Targets.ofService(Service).size();
    if (!admitSearch(Asked, Now))
      return;
    if (Asked == 0) // an empty list proves nothing
      return decide(DecisionKind::Unsettled, Packet.Flow, NoTarget, 0, Now);
    Found = Searches.try_emplace(Packet.Flow).first;
    ask(Found->second, *Route, Excluded, Packet, Now);
  }
  Search &Running = Found->second;
  Running.Acknowledged = Packet.Acknowledged;
  if (Running.Kept.size() < MaxKept)
    Running.Kept.emplace_back(Packet.Bytes.begin(), Packet.Bytes.end());
  for (const TargetIndex Index : Running.Unsure)
    if (Targets.at(Index))
      forward(Packet, Index, nullptr, FrameKind::Try);
}

bool FlowBalancer::admitSearch(size_t Asked, base::TimePoint Now) {
  const std::chrono::duration<double> Elapsed = Now - SearchFramesAt;
  SearchFramesAt = Now;
  SearchFrames = std::min(
      SearchFrameBurst, SearchFrames + Elapsed.count() * SearchFramesPerSecond);
  if (SearchFrames < static_cast<double>(Asked)) {
    ++DroppedSearches;
    return false;
  }
  SearchFrames -= static_cast<double>(Asked);
  return true;
}

// Asks all agents that may hold the flow. A lost agent is asked too, but its
// answer is not waited for.
void FlowBalancer::ask(Search &Running, const Route &Route,
                       TargetIndex Excluded, const Packet &Packet,
                       base::TimePoint Now) {
  Running.Started = Now;
  const size_t HeaderBytes =
      std::min(Self.PacketHeaderBytes, Packet.Bytes.size());
  FrameHeader Header;
  Header.Kind = FrameKind::Search;
  Header.Routes = Routes->Revision;
  for (const base::ServiceId Service : servicesOf(Route))
    for (const TargetIndex Index : Targets.ofService(Service)) {
      if (Index == Excluded)
        continue;
      const Target &Asked = *Targets.at(Index);
      // The flows of a process that has ended are gone with it.
      if (Asked.Heard && Asked.Status.State == TargetState::Stopped)
        continue;
      Header.Service = Service;
      Hooks.SendFrame(Asked.Agent, Header, Packet.Bytes.first(HeaderBytes));
      if (!isLost(Asked, Now))
        Running.Open.push_back(Index);
    }
  decide(DecisionKind::Searched, Packet.Flow, Excluded, Running.Open.size(),
         Now);
}

void FlowBalancer::sendKept(const Search &Running, TargetIndex Index,
                            FrameKind Kind) {
  const Target &To = *Targets.at(Index);
  FrameHeader Header;
  Header.Kind = Kind;
  Header.Service = To.Service;
  Header.Routes = Routes ? Routes->Revision : 0;
  for (const auto &Bytes : Running.Kept)
    Hooks.SendFrame(To.Agent, Header, Bytes);
}

void FlowBalancer::finishSearch(const FlowKey &Flow, const Search &Done,
                                base::TimePoint Now) {
  const bool Settled = isSettled(Now);
  if (Settled)
    Hooks.SendReset(Flow, Done.Acknowledged);
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
  switch (Header.Kind) {
  case FrameKind::Returned:
    return onReturned(Index, Header.Reason, Packet, Now);
  case FrameKind::Held:
    return onHeld(Index, Packet.Flow, Now);
  case FrameKind::NotHeld:
    return onNotHeld(Index, Packet, Now);
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
  Found->second.Unsure.push_back(Agent);
  sendKept(Found->second, Agent, FrameKind::Try);
}

void FlowBalancer::onHeld(TargetIndex Agent, const FlowKey &Flow,
                          base::TimePoint Now) {
  // Without a search the holder is known; a later answer may be an assumption.
  const auto Found = Searches.find(Flow);
  if (Found == Searches.end())
    return;
  Flows.insert(Flow).Target = Agent;
  sendKept(Found->second, Agent, FrameKind::Forward);
  Searches.erase(Found);
  decide(DecisionKind::Found, Flow, Agent, 0, Now);
}

void FlowBalancer::onNotHeld(TargetIndex Agent, const Packet &Packet,
                             base::TimePoint Now) {
  const auto Found = Searches.find(Packet.Flow);
  if (Found == Searches.end())
    return;
  std::erase(Found->second.Open, Agent);
  std::erase(Found->second.Unsure, Agent);
  if (!Found->second.Open.empty())
    return;
  finishSearch(Packet.Flow, Found->second, Now);
  Searches.erase(Found);
}

void FlowBalancer::onStatus(base::SocketAddress Agent,
                            const TargetStatus &Status, base::TimePoint Now) {
  if (!Targets.update(Agent, Status, Now))
    return;
  if (Status.NewestRoutes > (Routes ? Routes->Revision : 0) &&
      Hooks.OnNewerRoutes)
    Hooks.OnNewerRoutes(Status.NewestRoutes, Status.NewestRoutesAt);
}

void FlowBalancer::tick(base::TimePoint Now) {
  if (Now - LastTick > StallLimit)
    Targets.forgiveSilence(Now);
  LastTick = Now;
  Targets.expire(Now);
  std::erase_if(Searches, [&](const auto &Each) {
    const Search &Running = Each.second;
    if (Now - Running.Started <= SearchLife)
      return false;
    decide(DecisionKind::SearchExpired, Each.first,
           Running.Open.empty() ? NoTarget : Running.Open.front(),
           Running.Open.size(), Now);
    return true;
  });
  if (Now >= NextHello)
    sendHellos(Now);
  if (Now >= NextAging) {
    Flows.age([](const FlowKey &, const FlowEntry &) {});
    NextAging =
        Now + (Routes ? Routes->IdleTimeout : base::Duration(SearchLife));
  }
}

void FlowBalancer::sendHellos(base::TimePoint Now) {
  FrameHeader Header;
  Header.Kind = FrameKind::Hello;
  Header.Routes = Routes ? Routes->Revision : 0;
  const auto Listed = packHello({Self.Control, false, Self.FailureDomain});
  const auto Missing =
      packHello({Self.Control, isSettled(Now), Self.FailureDomain});
  for (const auto &Each : Targets.all())
    if (Each)
      Hooks.SendFrame(Each->Agent, Header, Each->Listed ? Listed : Missing);
  NextHello = Now + HelloInterval;
}

bool FlowBalancer::canServe(base::TimePoint Now) const {
  return Routes && std::any_of(Targets.all().begin(), Targets.all().end(),
                               [&](const auto &Each) {
                                 return Each && Each->Heard &&
                                        Now - Each->LastHeard <= LostStatus;
                               });
}

bool FlowBalancer::isSettled(base::TimePoint Now) const {
  return StoreFresh && ListKnown && PeersAsked &&
         Now - LastListChange >= SettleTime;
}

void FlowBalancer::decide(DecisionKind Kind, const FlowKey &Flow,
                          TargetIndex Index, size_t Candidates,
                          base::TimePoint Now) {
  if (!Hooks.OnDecision)
    return;
  FlowDecision Decision;
  Decision.Kind = Kind;
  Decision.Flow = Flow;
  Decision.Routes = Routes ? Routes->Revision : 0;
  Decision.Candidates = static_cast<uint32_t>(Candidates);
  if (const Route *Route = Routes ? Routes->find(Flow) : nullptr)
    Decision.Class = Route->Class;
  if (const Target *Chosen = Targets.at(Index)) {
    Decision.Target = Chosen->Agent;
    Decision.Waiting = Chosen->Status.Waiting;
    Decision.Slots = Chosen->Status.Slots;
    Decision.StatusAge = Now - Chosen->LastHeard;
  }
  Hooks.OnDecision(Decision);
}

} // namespace burdockstream::flows
