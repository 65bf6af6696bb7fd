// Further rounds of offers of an opening packet, see OfferPolicy.h.
#include "burdockstream/flows/FlowBalancer.h"

namespace burdockstream::flows {

// Offers a packet that the targets of the first round have returned to one more
// target. Precondition: Route repeats offers.
void FlowBalancer::placeAgain(const Packet &Packet, const Route &Route,
                              FlowEntry &Entry, base::TimePoint Now) {
  Parked.erase(Packet.Flow); // an earlier copy must not be offered as well
  const bool Pending = Entry.hasPendingOffer();
  const Target *Last = Targets.at(Entry.Target);
  // The agent may hold the packet, or its answer was lost. The silence of an
  // agent without a subscription carries no information.
  if (Pending && Last && (!Last->Subscribed || acceptsFlows(*Last, Now)))
    return offerCopy(Packet, Route, Entry, Now);
  const RoundStep Step = nextRound(
      Entry.progress(Now, expectedWait(chooseService(Route, Packet.Flow), Now)),
      Self.OpeningAttempt, Route.Time->ToTimeLimit);
  if (Step == RoundStep::Refuse)
    return endOpening(Packet, Entry, Now);
  Entry.giveUpPendingOffers(); // of an agent that has gone silent
  FlowEntry Next = Entry;
  const auto Chosen = chooseAgain(Packet.Flow, Route, Next, Now);
  if (!Chosen)
    return refuseOrPark(Packet, Route, Entry, Now);
  if (Step == RoundStep::Wait) {
    if (!park(Packet, ParkReason::OfferInterval))
      endOpening(Packet, Entry, Now);
    return;
  }
  Entry = Next;
  ++Entry.FurtherRounds;
  placeAt(*Chosen, Packet, Route, Entry, Now);
}

// Returns the best target that the packet was not offered to recently, or
// nullopt if none accepts flows.
std::optional<TargetIndex> FlowBalancer::chooseAgain(const FlowKey &Flow,
                                                     const Route &Route,
                                                     FlowEntry &Entry,
                                                     base::TimePoint Now) {
  if (Entry.Offers < MaxOffers) {
    findCandidates(Flow, Route, Entry, Now);
    if (!Choices.empty())
      return chooseFor(Route);
  }
  Entry.forgetOffers();
  findCandidates(Flow, Route, Entry, Now);
  return chooseFor(Route);
}

// Sends a further copy to the target of a pending offer.
void FlowBalancer::offerCopy(const Packet &Packet, const Route &Route,
                             FlowEntry &Entry, base::TimePoint Now) {
  if (repeatsOffers(Self.OpeningAttempt, Route.Time))
    Entry.recordCopyOffer(Now);
  offer(Packet, Entry, Route, Now);
}

// Ends the client's attempt, so that it can start the next one. A packet that a
// target may have accepted is not reset.
void FlowBalancer::endOpening(const Packet &Packet, const FlowEntry &Entry,
                              base::TimePoint Now) {
  ++Counters.Unserved;
  if (Entry.mayBeOpen(Self.CopyTimes, Now))
    return reportDecision(DecisionKind::GivenUp, Packet.Flow, Entry.Target, 0,
                          Now);
  refuse(Packet, DecisionKind::RefusedBusy, Entry.Offers, Now);
}

} // namespace burdockstream::flows
