#include "burdockstream/flows/FlowBalancer.h"

#include "burdockstream/flows/CompletionTime.h"

#include <algorithm>
#include <utility>

namespace burdockstream::flows {

bool FlowBalancer::setRoutes(const std::shared_ptr<const RouteTable> &Table,
                             base::TimePoint Now) {
  const bool Newer = !Routes || isNewer(*Table, *Routes);
  if (!Newer && Table->Revision <= Routes->Revision)
    return false;
  auto Next = std::make_shared<RouteTable>(Newer ? *Table : *Routes);
  Next->Revision = std::max(Table->Revision, routesRevision());
  if (Newer) {
    if (Routes)
      mergeFormerServices(*Routes, *Next);
    RoutesSince = Now;
  }
  Routes = std::move(Next);
  ReplayPending = true;
  // Send the new revision to agents at once.
  for (const auto &Each : Targets.all())
    if (Each)
      Each->NextHello = Now;
  return Newer;
}

void FlowBalancer::setAgentEntries(const std::vector<AgentEntry> &Entries,
                                   base::TimePoint Now) {
  const bool Changed = Targets.setEntries(Entries, Now);
  for (const AgentEntry &Entry : Entries)
    markEvacuated(Entry.Agent);
  if (!std::exchange(ListKnown, true)) {
    ListKnownSince = Now;
    LastListChange = Now - SettleTime + InitialSettleTime;
  } else if (Changed) {
    recordListChange(Now);
  }
}

void FlowBalancer::applyAgentEntry(const AgentEntry &Entry,
                                   base::TimePoint Now) {
  const bool Changed = Targets.applyEntry(Entry, Now);
  markEvacuated(Entry.Agent);
  if (Changed)
    recordListChange(Now);
}

void FlowBalancer::removeAgentEntry(base::SocketAddress Agent,
                                    base::TimePoint Now) {
  Targets.removeEntry(Agent, Now);
}

void FlowBalancer::addAgentFromPeer(const AgentEntry &Entry,
                                    base::TimePoint Now) {
  if (Targets.indexOf(Entry.Agent) != NoTarget)
    return;
  Targets.applyEntry(Entry, Now);
  Targets.removeEntry(Entry.Agent, Now);
  markEvacuated(Entry.Agent);
  LastListChange = Now;
}

void FlowBalancer::onClientPacket(const Packet &Packet, base::TimePoint Now) {
  ArrivedAt = Now;
  Parked.erase(Packet.Flow);
  handle(Packet, Now);
}

void FlowBalancer::handle(const Packet &Packet, base::TimePoint Now) {
  if (Packet.Opens)
    return open(Packet, Now);
  const FlowEntry *Entry = Flows.use(Packet.Flow);
  const TargetIndex Index = Entry ? Entry->Target : NoTarget;
  const Target *Holder = Targets.at(Index);
  if (Holder)
    forward(Packet, Index);
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
    if (Routes && StoreFresh &&
        isCaughtUp(ViewPart::Routes, ArrivedAt - RefusalViewAge, Now))
      return refuse(Packet, DecisionKind::RefusedNoRoute, 0, Now);
    park(Packet, ParkReason::RoutesOrTarget);
    return reportDecision(DecisionKind::DroppedNoRoute, Packet.Flow, NoTarget,
                          0, Now);
  }
  FlowEntry *Known = Flows.use(Packet.Flow);
  const base::TimePoint FirstCopySentAt = ArrivedAt - Packet.SinceFirstCopy;
  const bool Reused =
      Known && !Replaying &&
      (!Known->OpeningSequence || Known->isOfFormerFlow(Packet.Sequence) ||
       (repeatsOffers(Self.OpeningAttempt, Route->Time) &&
        FirstCopySentAt - Known->FirstCopySentAt >= Self.OpeningAttempt));
  if (!Known || Reused) {
    // The offers of a former flow at the same port are over, and so is a search
    // for it: a reset by its holder, or for the lack of one, would end the
    // opening.
    Searches.erase(Packet.Flow);
    Known = &Flows.insert(Packet.Flow);
    *Known = FlowEntry();
    Known->OpeningSequence = Packet.Sequence;
    // Another balancer may have forwarded the first copy, and a target may have
    // accepted it.
    Known->MayBeOpen = Packet.Acknowledged != 0;
  }
  if (!Replaying || Known->CopiesSeen == 0)
    Known->recordCopy(Packet.Acknowledged);
  // The client may have reused the port, or the entry may come from a search,
  // so a new packet sets the time again. A replayed packet keeps its time,
  // because its return by a target does not make it newer.
  if (!Replaying || Known->FirstCopySentAt == base::TimePoint())
    Known->FirstCopySentAt = FirstCopySentAt;
  place(Packet, *Route, *Known, Now);
}

void FlowBalancer::findCandidates(const FlowKey &Flow, const Route &Route,
                                  const FlowEntry &Entry, base::TimePoint Now) {
  const base::ServiceId Service = chooseService(Route, Flow);
  const double Penalty = Route.Class == WorkClass::Download
                             ? RemoteDownloadPenalty
                             : RemotePenalty;
  Choices.clear();
  const auto Likely =
      preferredTargets(Targets, Service, Self.FailureDomain, Flow);
  const auto Offered = Entry.Offered.begin();
  for (const TargetIndex Index : Targets.ofService(Service)) {
    const Target &Each = *Targets.at(Index);
    if (!acceptsFlows(Each, Now) || std::find(Offered, Offered + Entry.Offers,
                                              Index) != Offered + Entry.Offers)
      continue;
    const bool Remote = Each.FailureDomain != Self.FailureDomain;
    const bool Preferred =
        std::find(Likely.begin(), Likely.end(), Index) != Likely.end();
    Choices.push_back(
        {Index, std::max(Each.Status.Slots, 1U), Each.Status.Waiting,
         Each.UnreportedFlows, Each.Status.Flows,
         (Remote ? Penalty : 0) + (Preferred ? 0 : NonPreferredPenalty),
         Each.Status.WarmupMs > 0, Each.Status.EjectedMs > 0,
         Each.Status.SlotTimeUs, Each.Status.WarmupMs,
         Remote ? remoteDistance(Penalty) : Milliseconds(0), Preferred});
  }
  removeEjected(Choices);
  if (Choices.empty())
    addUnsubscribedTargets(Service, Entry, Penalty);
}

// Adds listed targets without a subscription to Choices. Load pattern: all
// targets with a subscription are full or leaving, while others of the service
// may have capacity. Their agents decide.
void FlowBalancer::addUnsubscribedTargets(base::ServiceId Service,
                                          const FlowEntry &Entry,
                                          double Penalty) {
  const auto Offered = Entry.Offered.begin();
  for (const TargetIndex Index : Targets.ofService(Service)) {
    const Target &Each = *Targets.at(Index);
    if (Each.Listed && !Each.Subscribed && !Each.Evacuated &&
        std::find(Offered, Offered + Entry.Offers, Index) ==
            Offered + Entry.Offers)
      Choices.push_back({Index, 1, 0, Each.UnreportedFlows, 0, Penalty});
  }
}

// Returns one of Choices for a flow of Route, or nullopt if there is none.
std::optional<TargetIndex> FlowBalancer::chooseFor(const Route &Route) {
  return repeatsOffers(Self.OpeningAttempt, Route.Time)
             ? chooseBetterOfTwo(Choices, Random)
             : chooseTarget(Choices, Random);
}

void FlowBalancer::place(const Packet &Packet, const Route &Route,
                         FlowEntry &Entry, base::TimePoint Now) {
  if (Route.Time && Now - Entry.FirstCopySentAt >= Route.Time->ToTimeLimit)
    return reportDecision(DecisionKind::GivenUp, Packet.Flow, Entry.Target, 0,
                          Now);
  const bool Repeats = repeatsOffers(Self.OpeningAttempt, Route.Time);
  if (Repeats && Entry.FurtherRounds > 0)
    return placeAgain(Packet, Route, Entry, Now);
  if (Repeats && !Entry.mayBeOpen(Self.CopyTimes, Now) &&
      expiresBeforeService(
          Entry.progress(Now,
                         expectedWait(chooseService(Route, Packet.Flow), Now)),
          Route.Time->ToTimeLimit))
    return endOpening(Packet, Entry, Now);
  findCandidates(Packet.Flow, Route, Entry, Now);
  const auto Chosen =
      Entry.Offers < MaxOffers ? chooseFor(Route) : std::nullopt;
  if (Chosen)
    return placeAt(*Chosen, Packet, Route, Entry, Now);
  // An offer that was not returned may still succeed.
  if (Entry.hasPendingOffer()) {
    Entry.Target = Entry.pendingTarget();
    if (Targets.at(Entry.Target))
      offerCopy(Packet, Route, Entry, Now);
    return;
  }
  if (Repeats && Entry.Offers > 0)
    return placeAgain(Packet, Route, Entry, Now);
  refuseOrPark(Packet, Route, Entry, Now);
}

void FlowBalancer::placeAt(TargetIndex Index, const Packet &Packet,
                           const Route &Route, FlowEntry &Entry,
                           base::TimePoint Now) {
  Entry.recordOffer(Index, Now);
  ++Targets.at(Index)->UnreportedFlows;
  ++(Entry.FurtherRounds > 0 ? Counters.FurtherRounds : Counters.FirstRound);
  offer(Packet, Entry, Route, Now);
  const bool First = Entry.FurtherRounds == 0 && Entry.Offers == 1;
  reportDecision(First ? DecisionKind::Placed : DecisionKind::PlacedAgain,
                 Packet.Flow, Index, Choices.size(), Now,
                 repeatsOffers(Self.OpeningAttempt, Route.Time)
                     ? Entry.FurtherRounds + 1U
                     : 0);
}

// Handles a packet that no target can be offered.
void FlowBalancer::refuseOrPark(const Packet &Packet, const Route &Route,
                                FlowEntry &Entry, base::TimePoint Now) {
  const base::ServiceId Service = chooseService(Route, Packet.Flow);
  if (!Entry.mayBeOpen(Self.CopyTimes, Now) && isSettled(Now) &&
      isCaughtUp(ViewPart::Agents, ArrivedAt - RefusalViewAge, Now))
    return refuse(Packet, DecisionKind::RefusedNoTarget,
                  Targets.ofService(Service).size(), Now);
  // The next attempt considers all targets again.
  Entry.forgetOffers();
  park(Packet, ParkReason::RoutesOrTarget);
  reportDecision(DecisionKind::Unsettled, Packet.Flow, NoTarget,
                 Targets.ofService(Service).size(), Now);
}

// Sends an opening packet to the target of Entry. Choices must be those that it
// was chosen from, or empty.
void FlowBalancer::offer(const Packet &Packet, const FlowEntry &Entry,
                         const Route &Route, base::TimePoint Now) {
  FrameHeader Header;
  Header.WorkClass = static_cast<uint8_t>(Route.Class);
  Header.Service = chooseService(Route, Packet.Flow);
  if (Route.Time)
    Header.Time = Route.Time->after(Now - Entry.FirstCopySentAt);
  if (repeatsOffers(Self.OpeningAttempt, Route.Time) &&
      !mayBeHeld(Entry.FurtherRounds, Entry.Offers, Choices.size()))
    Header.Reason = ReturnReason::Busy;
  send(Packet, Entry.Target, Header);
}

void FlowBalancer::forward(const Packet &Packet, TargetIndex Index,
                           FrameKind Kind) {
  FrameHeader Header;
  Header.Kind = Kind;
  Header.WorkClass = static_cast<uint8_t>(WorkClass::Other);
  Header.Service = Targets.at(Index)->Service;
  send(Packet, Index, Header);
}

void FlowBalancer::send(const Packet &Packet, TargetIndex Index,
                        FrameHeader Header) {
  Target &To = *Targets.at(Index);
  To.LastUsed = LastTick;
  Header.Routes = routesRevision();
  Hooks.SendFrame(To.Agent, Header, Packet.Bytes);
}

void FlowBalancer::refuse(const Packet &Packet, DecisionKind Kind,
                          size_t Candidates, base::TimePoint Now) {
  // Any sequence number is valid before the flow is open.
  Hooks.SendReset(Packet.Flow, 0);
  reportDecision(Kind, Packet.Flow, NoTarget, Candidates, Now);
  Flows.erase(Packet.Flow);
}

void FlowBalancer::onStatus(base::SocketAddress Agent,
                            const TargetStatus &Status, base::TimePoint Now) {
  const Target *Known = Targets.at(Targets.indexOf(Agent));
  const bool AcceptedFlows = Known && acceptsFlows(*Known, Now);
  Target *Updated = Targets.update(Agent, Status, Now);
  if (!Updated)
    return;
  onEvacuationReported(Agent, Status, Now);
  markEvacuated(Agent);
  sendPolicy(*Updated, Now);
  ReplayPending =
      ReplayPending || (!AcceptedFlows && acceptsFlows(*Updated, Now));
  if (Status.NewestRoutes > routesRevision() && Hooks.OnNewerRoutes)
    Hooks.OnNewerRoutes(Status.NewestRoutes, Status.NewestRoutesAt);
}

void FlowBalancer::tick(base::TimePoint Now) {
  if (Now - LastTick > StallLimit)
    Targets.resetSilence(Now);
  LastTick = Now;
  ReceptionImpaired = Targets.checkReception(Now);
  Targets.expire(Now);
  requestDueCatchUps(Now);
  expireSearches(Now);
  Batching = true;
  retrySearches(Now);
  replayParked(Now);
  Batching = false;
  sendSearches();
  sendTrials(Now);
  sendHellos(Now);
  if (Now >= NextAging) {
    Flows.age([](const FlowKey &, const FlowEntry &) {});
    NextAging = Now + (Routes ? std::min(Routes->IdleTimeout, MaxFlowRetention)
                              : base::Duration(SearchTimeout));
  }
}

void FlowBalancer::sendHellos(base::TimePoint Now) {
  if (Now >= NextSubscriptionUpdate) {
    chooseSubscriptions(
        Targets,
        {Self.Control, Self.FailureDomain,
         ListKnown ? std::optional(ListKnownSince) : std::nullopt},
        Now);
    NextSubscriptionUpdate = Now + SubscriptionInterval;
  }
  FrameHeader Header;
  Header.Kind = FrameKind::Hello;
  Header.Routes = routesRevision();
  const base::Duration IdleTimeout =
      Routes ? Routes->IdleTimeout : base::Duration::zero();
  const auto Listed =
      packHello({Self.Control, false, Self.FailureDomain, IdleTimeout});
  const auto Missing = packHello(
      {Self.Control, isSettled(Now), Self.FailureDomain, IdleTimeout});
  for (const auto &Each : Targets.all()) {
    if (!Each || !Each->Subscribed || Now < Each->NextHello)
      continue;
    Hooks.SendFrame(Each->Agent, Header, Each->Listed ? Listed : Missing);
    sendPolicy(*Each, Now);
    Each->NextHello = Now + HelloInterval;
  }
}

bool FlowBalancer::canServe(base::TimePoint Now) const {
  return Routes &&
         std::any_of(Targets.all().begin(), Targets.all().end(),
                     [&](const auto &Each) {
                       return Each && Each->HasStatus &&
                              Now - Each->LastStatusAt <= AgentLostAfter;
                     });
}

BalancerFlowView FlowBalancer::view(const FlowKey &Flow) const {
  BalancerFlowView Result;
  Result.Searching = Searches.count(Flow) != 0;
  const FlowEntry *Entry = Flows.peek(Flow);
  if (!Entry)
    return Result;
  Result.Known = true;
  Result.Offers = Entry->Offers;
  Result.Refusals = Entry->refusals();
  if (const Target *Holder = Targets.at(Entry->Target))
    Result.Agent = Holder->Agent;
  return Result;
}

void FlowBalancer::reportDecision(DecisionKind Kind, const FlowKey &Flow,
                                  TargetIndex Index, size_t Candidates,
                                  base::TimePoint Now, uint32_t Round) {
  // The first handling of a parked packet has logged this decision already.
  const bool Repeated = Replaying && (Kind == DecisionKind::DroppedNoRoute ||
                                      Kind == DecisionKind::Unsettled);
  if (!Hooks.OnDecision || Repeated)
    return;
  FlowDecision Decision;
  Decision.Kind = Kind;
  Decision.Flow = Flow;
  Decision.Routes = routesRevision();
  Decision.Candidates = static_cast<uint32_t>(Candidates);
  Decision.Round = Round;
  if (const Route *Route = Routes ? Routes->find(Flow) : nullptr) {
    Decision.Class = Route->Class;
    const FlowEntry *Entry = Flows.peek(Flow);
    if (Kind == DecisionKind::RefusedBusy && Route->Time && Entry)
      Decision.TimeLeft =
          Route->Time->ToTimeLimit - (Now - Entry->FirstCopySentAt);
  }
  if (const Target *Chosen = Targets.at(Index)) {
    Decision.Target = Chosen->Agent;
    Decision.Waiting = Chosen->Status.Waiting;
    Decision.Slots = Chosen->Status.Slots;
    Decision.StatusAge = Now - Chosen->LastStatusAt;
  }
  Hooks.OnDecision(Decision);
}

} // namespace burdockstream::flows
