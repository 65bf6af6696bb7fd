// Repeated offers of opening packets while the targets of a service are busy.
#include "FlowFixture.h"

#include "burdockstream/flows/HeldOpenings.h"

#include <algorithm>
#include <gtest/gtest.h>

namespace burdockstream::flows::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::Duration Attempt = milliseconds(1400);
constexpr RequestTime LongRoute{milliseconds(300), milliseconds(4000)};
constexpr RequestTime ShortRoute{milliseconds(300), milliseconds(2700)};
constexpr size_t Targets = 5;
// Above what any target of the simulation admits.
constexpr uint16_t Load = 10;

class RepeatedOffersTest : public ::testing::Test {
protected:
  void start(base::Duration OpeningAttempt = Attempt,
             RequestTime Time = LongRoute, size_t Count = Targets) {
    Sim.OpeningAttempt = OpeningAttempt;
    Sim.addBalancer();
    Sim.addBalancer();
    for (size_t I = 0; I < Count; ++I)
      Sim.addAgent();
    for (size_t I = 0; I < 2; ++I)
      Sim.setRoutes(I, 10, {{ShopAddress, std::string(Shop)}},
                    WorkClass::Idempotent, Time);
    Sim.listAll();
    Sim.sendHeartbeats();
    Sim.run(seconds(1));
    Sim.sendHeartbeats();
    Sim.run(seconds(1));
    Sim.sendHeartbeats();
  }

  // Keeps every target busy with requests without an answer.
  void fillTargets() {
    for (SimulatedAgent &Place : Sim.Agents) {
      Place.Target.Unresponsive = true;
      for (uint16_t I = 0; I < Load; ++I) {
        Packet Value;
        Value.Flow = Simulation::flow(++LastPort);
        Value.Opens = true;
        deliver(Place, Value);
        Value.Opens = false;
        Value.DataBytes = 100;
        Value.Acknowledged = Sim.acknowledged(Value.Flow);
        deliver(Place, Value);
      }
    }
    Sim.run(2 * Tick); // statuses arrive
    Sim.Decisions.clear();
  }

  // Lets agents learn of newer routes than the balancer's, and waits for the
  // end of the grace period, after which they return its openings.
  void announceNewerRoutes() {
    for (SimulatedAgent &Each : Sim.Agents)
      Each.Core->onHello(Sim.Balancers[1].Address, 11, {}, Sim.Now);
    for (int I = 0; I < 3; ++I) {
      Sim.run(milliseconds(500));
      Sim.sendHeartbeats();
    }
  }

  // Delivers a packet as a former balancer does: with the reason None.
  void deliver(SimulatedAgent &Place, const Packet &Value,
               std::optional<RequestTime> Time = std::nullopt,
               ReturnReason Reason = ReturnReason::None) {
    FrameHeader Header;
    Header.Reason = Reason;
    Header.Time = Time;
    Header.Service = base::serviceIdOf(Shop);
    Header.Routes = 10;
    Place.Core->onFrame(Sim.Balancers[0].Address, Header,
                        Sim.Registry.write(Value), Sim.Now);
  }

  const OfferCounters &counters(size_t Balancer = 0) const {
    return Sim.Balancers[Balancer].Core->offerCounters();
  }
  // The agent that the opening packet was offered to last.
  size_t lastTarget() {
    const auto Agent = Sim.Balancers[0].Core->view(New).Agent;
    for (size_t I = 0; I < Sim.Agents.size(); ++I)
      if (Sim.Agents[I].Address == Agent)
        return I;
    return Sim.Agents.size();
  }
  void sendCopy(size_t Balancer, milliseconds Since) {
    Sim.open(Balancer, New, 1, Since);
  }

  Simulation Sim;
  uint16_t LastPort = 0;
  const FlowKey New = Simulation::flow(40001);
};

// Guards against 150 ms at each busy target of the first round.
TEST_F(RepeatedOffersTest, TheFirstRoundWaitsAtItsLastTargetOnly) {
  start();
  fillTargets();
  Sim.open(0, New);
  EXPECT_EQ(Sim.count(DecisionKind::NotDelivered), MaxOffers - 1);
  EXPECT_EQ(Sim.count(DecisionKind::HeldBack), 1U);
  EXPECT_EQ(counters().FirstRound, MaxOffers);
}

// Guards against a wait of a request for which another target is free.
TEST_F(RepeatedOffersTest, AFreeTargetIsFoundAtOnce) {
  start(Attempt, LongRoute, 2);
  fillTargets();
  Sim.addAgent();
  Sim.listAll();
  Sim.sendHeartbeats();
  Sim.run(milliseconds(300));
  Sim.open(0, New);
  EXPECT_EQ(Sim.holder(New), 2);
}

// Guards against a choice by a status from before the packet was returned.
TEST_F(RepeatedOffersTest, TheStatusPrecedesTheReturnedPacket) {
  start();
  fillTargets();
  std::vector<FrameKind> Seen;
  Sim.SeenFrames = &Seen;
  Sim.open(0, New);
  const std::vector<FrameKind> Expected = {
      FrameKind::Status,   FrameKind::Returned, FrameKind::Status,
      FrameKind::Returned, FrameKind::Status,   FrameKind::Returned};
  EXPECT_EQ(Seen, Expected);
}

// Guards against a reset while the client's attempt lasts, against one that
// never comes, and against more offers than one per hold.
TEST_F(RepeatedOffersTest, AnOpeningIsKeptUntilTheAttemptEnds) {
  start();
  fillTargets();
  Sim.open(0, New);
  Sim.run(Attempt - MaxHoldTime);
  EXPECT_TRUE(Sim.Resets.empty());
  const uint64_t Rounds = counters().FurtherRounds;
  EXPECT_GE(Rounds, 4U);
  EXPECT_LE(Rounds, Attempt / MaxHoldTime);
  Sim.run(2 * MaxHoldTime);
  EXPECT_EQ(Sim.Resets, std::vector<FlowKey>{New});
  EXPECT_EQ(Sim.count(DecisionKind::RefusedBusy), 1U);
  EXPECT_EQ(counters().Unserved, 1U);
  uint32_t Highest = 0;
  for (const FlowDecision &Each : Sim.Decisions)
    Highest = std::max(Highest, Each.Round);
  EXPECT_EQ(Highest, counters().FurtherRounds + 1);
}

// Guards against an opening that is kept although a target has become free.
TEST_F(RepeatedOffersTest, ATargetThatBecomesFreeServesAKeptOpening) {
  start();
  fillTargets();
  Sim.open(0, New);
  Sim.run(milliseconds(800));
  EXPECT_EQ(Sim.holder(New), -1);
  Sim.addAgent();
  Sim.listAll();
  Sim.sendHeartbeats();
  Sim.run(milliseconds(300));
  EXPECT_EQ(Sim.holder(New), static_cast<int>(Targets));
  EXPECT_TRUE(Sim.Resets.empty());
}

// Guards against any change where the deployment does not call for repeated
// offers: by its settings, or by the timeout of the route.
TEST_F(RepeatedOffersTest, OtherwiseAnOpeningIsHeldByFourTargetsAndReset) {
  for (const bool Enabled : {false, true}) {
    Sim = Simulation();
    start(Enabled ? Attempt : base::Duration(0),
          Enabled ? ShortRoute : LongRoute);
    fillTargets();
    Sim.open(0, New);
    EXPECT_EQ(Sim.count(DecisionKind::NotDelivered), 0U);
    Sim.run(MaxOffers * (MaxHoldTime + Tick));
    EXPECT_EQ(Sim.count(DecisionKind::HeldBack), MaxOffers);
    EXPECT_EQ(Sim.count(DecisionKind::RefusedNoTarget), 1U);
    EXPECT_EQ(Sim.Resets.size(), 1U);
    EXPECT_EQ(counters().FurtherRounds + counters().Unserved, 0U);
    EXPECT_TRUE(std::all_of(Sim.Decisions.begin(), Sim.Decisions.end(),
                            [](const auto &Each) { return Each.Round == 0; }));
  }
}

// Guards against an unbounded loop of offers to targets that refuse the flow
// themselves, and return it without a wait.
TEST_F(RepeatedOffersTest, TargetsThatRefuseGetOneOfferPerInterval) {
  start();
  for (SimulatedAgent &Place : Sim.Agents)
    Place.Target.Full = true;
  Sim.open(0, New);
  EXPECT_EQ(counters().FirstRound, MaxOffers);
  EXPECT_EQ(counters().FurtherRounds, 0U);
  Sim.run(Attempt);
  EXPECT_GE(counters().FurtherRounds, 5U);
  EXPECT_LE(counters().FurtherRounds, Attempt / MaxHoldTime);
  EXPECT_EQ(Sim.Resets.size(), 1U);
}

// Guards against an opening that is kept although no target accepts flows.
TEST_F(RepeatedOffersTest, AnOpeningWithoutAnyTargetIsRefusedAtOnce) {
  start();
  for (size_t I = 0; I < Targets; ++I)
    Sim.sendHeartbeat(I, true);
  Sim.open(0, New);
  EXPECT_EQ(Sim.count(DecisionKind::RefusedNoTarget), 1U);
  EXPECT_EQ(Sim.Resets.size(), 1U);
}

// Guards against an opening that is neither offered again nor reset, because
// agents returned it for old routes and the client sends no further copy.
TEST_F(RepeatedOffersTest, AnOpeningReturnedForOldRoutesIsOfferedAgain) {
  start();
  announceNewerRoutes();
  Sim.open(0, New);
  Sim.run(milliseconds(300));
  EXPECT_EQ(Sim.holder(New), -1);
  EXPECT_TRUE(Sim.Resets.empty());
  Sim.setRoutes(0, 11, {{ShopAddress, std::string(Shop)}},
                WorkClass::Idempotent, LongRoute);
  Sim.run(milliseconds(300));
  EXPECT_NE(Sim.holder(New), -1);
}

// Guards against an opening, returned for old routes, that is not reset at the
// end of its attempt.
TEST_F(RepeatedOffersTest, AnOpeningReturnedForOldRoutesIsResetAtTheEnd) {
  start();
  announceNewerRoutes();
  Sim.open(0, New);
  Sim.run(Attempt + MaxHoldTime);
  EXPECT_EQ(Sim.Resets, std::vector<FlowKey>{New});
}

// Guards against openings that are dropped without a reset or a record because
// the maximum number of packets is parked. Load pattern: a service whose
// targets refuse all flows, at several hundred openings per second.
TEST_F(RepeatedOffersTest, AnOpeningThatCannotBeParkedIsReset) {
  start();
  for (SimulatedAgent &Each : Sim.Agents)
    Each.Target.Full = true;
  for (uint16_t I = 0; I < MaxParkedPackets + 10; ++I)
    Sim.open(0, Simulation::flow(static_cast<uint16_t>(20000 + I)));
  EXPECT_EQ(Sim.Balancers[0].Core->parked(), MaxParkedPackets);
  EXPECT_EQ(Sim.Resets.size(), 10U);
  EXPECT_EQ(Sim.count(DecisionKind::RefusedBusy), 10U);
  EXPECT_EQ(counters().Unserved, 10U);
}

// Guards against a refusal from which operators cannot tell what the client
// still had.
TEST_F(RepeatedOffersTest, ARefusalStatesTheTimeLeft) {
  start();
  fillTargets();
  Sim.open(0, New);
  Sim.run(Attempt);
  const auto Refused = std::find_if(
      Sim.Decisions.begin(), Sim.Decisions.end(),
      [](const auto &Each) { return Each.Kind == DecisionKind::RefusedBusy; });
  ASSERT_NE(Refused, Sim.Decisions.end());
  ASSERT_TRUE(Refused->TimeLeft);
  EXPECT_GE(*Refused->TimeLeft, LongRoute.ToTimeLimit - Attempt);
  EXPECT_LE(*Refused->TimeLeft,
            LongRoute.ToTimeLimit - Attempt + MaxHoldTime + Tick);
}

// Guards against a wait for targets that leave during the first round.
TEST_F(RepeatedOffersTest, TargetsThatLeaveEndTheWait) {
  start();
  fillTargets();
  Sim.open(0, New);
  for (size_t I = 0; I < Targets; ++I)
    Sim.sendHeartbeat(I, true);
  Sim.run(2 * Tick);
  EXPECT_EQ(Sim.count(DecisionKind::RefusedNoTarget), 1U);
}

// Guards against a former agent that holds the packet at each target: the first
// round is then the former one, and further rounds follow.
TEST_F(RepeatedOffersTest, FormerAgentsHoldEachOffer) {
  Sim.FormerAgents = true;
  start();
  fillTargets();
  Sim.open(0, New);
  EXPECT_EQ(Sim.count(DecisionKind::HeldBack), 1U);
  EXPECT_EQ(Sim.count(DecisionKind::NotDelivered), 0U);
  Sim.run(MaxOffers * (MaxHoldTime + Tick) + Tick);
  EXPECT_EQ(counters().FirstRound, MaxOffers);
  EXPECT_GE(counters().FurtherRounds, 1U);
  EXPECT_TRUE(Sim.Resets.empty());
}

// Guards against the return of a packet of a former balancer, which gives no
// reason and would use up its four offers at once.
TEST_F(RepeatedOffersTest, OffersOfFormerBalancersAreHeld) {
  start();
  fillTargets();
  Packet Value;
  Value.Flow = New;
  Value.Opens = true;
  const auto Offer = [&](ReturnReason Reason) {
    deliver(Sim.Agents[0], Value, LongRoute, Reason);
    return Sim.Agents[0].Core->held();
  };
  EXPECT_EQ(Offer(ReturnReason::Busy), 0U);
  EXPECT_EQ(Offer(ReturnReason::None), 1U);
}

// Guards against the loss of an opening whose balancer dies while it is kept.
TEST_F(RepeatedOffersTest, AnotherBalancerStartsAFirstRound) {
  start();
  fillTargets();
  Sim.open(0, New);
  Sim.run(milliseconds(200));
  Sim.Balancers[0].Running = false;
  sendCopy(1, milliseconds(200));
  EXPECT_EQ(counters(1).FirstRound, MaxOffers);
  Sim.run(milliseconds(400));
  EXPECT_GE(counters(1).FurtherRounds, 1U);
}

// Guards against the reset of an open flow by a balancer that the fabric has
// taken the flow from: another balancer's copy was accepted meanwhile.
TEST_F(RepeatedOffersTest, ACopyThatWentElsewhereIsNotReset) {
  Sim.CopyTimes = {milliseconds(0), milliseconds(200), milliseconds(600)};
  start();
  fillTargets();
  Sim.open(0, New);
  Sim.run(Attempt); // without a further copy at this balancer
  EXPECT_TRUE(Sim.Resets.empty());
  EXPECT_EQ(Sim.count(DecisionKind::GivenUp), 1U);
}

// Guards against an attempt that ends without a reset although all its copies
// have arrived at this balancer.
TEST_F(RepeatedOffersTest, AnOpeningWithAllItsCopiesIsReset) {
  Sim.CopyTimes = {milliseconds(0), milliseconds(200), milliseconds(500)};
  start();
  fillTargets();
  Sim.open(0, New);
  Sim.run(milliseconds(200));
  Sim.open(0, New, 1, milliseconds(200));
  Sim.run(milliseconds(300));
  Sim.open(0, New, 2, milliseconds(500));
  Sim.run(Attempt - milliseconds(500));
  EXPECT_EQ(Sim.Resets.size(), 1U);
}

// Guards against a reset of an opening that a silent agent may have delivered,
// and against copies that are offered to it only.
TEST_F(RepeatedOffersTest, ADeadAgentIsPassedOverOnceItsStatusIsStale) {
  start();
  fillTargets();
  Sim.open(0, New);
  Sim.run(milliseconds(200));
  ASSERT_GE(counters().FurtherRounds, 1U);
  const size_t Dead = lastTarget();
  Sim.Agents[Dead].Running = false;
  sendCopy(0, milliseconds(200));
  Sim.run(milliseconds(200));
  EXPECT_EQ(lastTarget(), Dead) << "its silence may be a lost answer";
  Sim.run(StatusStaleAfter - milliseconds(200));
  sendCopy(0, milliseconds(1100));
  EXPECT_NE(lastTarget(), Dead);
  Sim.run(milliseconds(400));
  EXPECT_TRUE(Sim.Resets.empty());
  EXPECT_EQ(Sim.count(DecisionKind::GivenUp), 1U);
}

// Guards against two targets that hold the same opening: a return from a target
// of an earlier round says nothing about the pending offer.
TEST_F(RepeatedOffersTest, ALateReturnDoesNotEndThePendingOffer) {
  start();
  fillTargets();
  Sim.open(0, New);
  Sim.run(milliseconds(200));
  const size_t Pending = lastTarget();
  Sim.Agents[Pending].Running = false;
  Packet Value;
  Value.Flow = New;
  Value.Opens = true;
  FrameHeader Header;
  Header.Kind = FrameKind::Returned;
  Header.Reason = ReturnReason::Busy;
  Header.Service = base::serviceIdOf(Shop);
  Sim.Balancers[0].Core->onAgentAnswer(
      Sim.Agents[(Pending + 1) % Targets].Address, Header,
      Sim.Registry.write(Value), Sim.Now);
  sendCopy(0, milliseconds(200));
  Sim.run(milliseconds(200));
  EXPECT_EQ(lastTarget(), Pending);
}

// Guards against an opening that is stuck when the frame that returns it is
// lost.
TEST_F(RepeatedOffersTest, ACopyReplacesALostReturn) {
  start();
  fillTargets();
  Sim.open(0, New);
  Sim.run(milliseconds(200));
  const uint64_t Rounds = counters().FurtherRounds;
  bool Lost = false;
  Sim.DropsFrame = [&](base::SocketAddress, FrameKind Kind) {
    return Kind == FrameKind::Returned && !std::exchange(Lost, true);
  };
  Sim.run(milliseconds(300));
  ASSERT_TRUE(Lost);
  ASSERT_EQ(counters().FurtherRounds, Rounds);
  sendCopy(0, milliseconds(600));
  Sim.run(MaxHoldTime + 2 * Tick);
  EXPECT_GT(counters().FurtherRounds, Rounds);
}

// Guards against an opening that waits although the work ahead of it takes
// longer than its timeout, and against a refusal while it takes less.
TEST_F(RepeatedOffersTest, WhatCannotBeServedInTimeIsRefusedAtOnce) {
  start();
  const auto Report = [&](uint32_t Waiting, uint32_t HeldOpenings) {
    TargetStatus Status;
    Status.Incarnation = 1'000 + Waiting;
    Status.Service = base::serviceIdOf(Shop);
    Status.FailureDomain = "a";
    Status.State = TargetState::Ready;
    Status.Slots = 2;
    Status.Waiting = Waiting;
    Status.SlotTimeUs = 40'000;
    Status.HeldOpenings = HeldOpenings;
    for (const SimulatedAgent &Place : Sim.Agents)
      Sim.Balancers[0].Core->onStatus(Place.Address, Status, Sim.Now);
  };
  Report(52, 500); // a wait of one second, before those that will be late
  Sim.open(0, New);
  EXPECT_GE(Sim.holder(New), 0);
  Report(502, 500); // a wait of ten seconds
  Sim.open(0, Simulation::flow(40002));
  EXPECT_EQ(Sim.Resets.size(), 1U);
  EXPECT_EQ(Sim.count(DecisionKind::RefusedBusy), 1U);
  EXPECT_EQ(counters().Unserved, 1U);
}

// Guards against an opening that is never refused because it was parked before
// the balancer had an entry of it.
TEST_F(RepeatedOffersTest, AnOpeningBeforeTheRoutesCountsAsSeen) {
  Sim.CopyTimes = {milliseconds(0), milliseconds(200), milliseconds(600)};
  start();
  Sim.restartBalancer(0);
  Sim.open(0, New); // parked, since no route is known
  Sim.setRoutes(0, 10, {{ShopAddress, std::string(Shop)}},
                WorkClass::Idempotent, LongRoute);
  for (SimulatedAgent &Place : Sim.Agents)
    Place.Running = false;
  Sim.Balancers[0].Core->setStoreFresh(true);
  Sim.Balancers[0].Core->setPeersQueried(true);
  Sim.Balancers[0].Core->setAgentEntries(
      {{Sim.Agents[0].Address, std::string(Vault), "a"}}, Sim.Now);
  Sim.run(milliseconds(190));
  EXPECT_EQ(Sim.Resets.size(), 1U);
}

// Guards against a reset of an opening whose copy crosses the return of an
// earlier one, and that the target accepts afterwards.
TEST(FlowEntryTest, ACopyThatCrossesAReturnMayBeAccepted) {
  const base::TimePoint Start{seconds(100)};
  FlowEntry Entry;
  Entry.FirstCopySentAt = Start;
  Entry.recordCopy(0);
  Entry.recordOffer(7, Start);
  Entry.recordCopyOffer(Start + milliseconds(200));
  FlowEntry Later = Entry;
  Entry.recordReturn(7, Start + milliseconds(210));
  EXPECT_TRUE(Entry.mayBeOpen({}, Start + milliseconds(210)));
  Later.recordReturn(7, Start + milliseconds(300));
  EXPECT_FALSE(Later.mayBeOpen({}, Start + milliseconds(300)));
}

// Guards against a second return of one target that is taken for the answer of
// another one.
TEST(FlowEntryTest, EachTargetReturnsItsOwnOffer) {
  const base::TimePoint Start{seconds(100)};
  FlowEntry Entry;
  Entry.FirstCopySentAt = Start;
  Entry.recordOffer(7, Start);
  Entry.recordOffer(8, Start);
  Entry.recordReturn(8, Start);
  Entry.recordReturn(8, Start);
  EXPECT_TRUE(Entry.hasPendingOffer());
  EXPECT_EQ(Entry.pendingTarget(), 7U);
}

// Guards against a new flow at a reused port that continues the rounds of the
// earlier flow.
TEST_F(RepeatedOffersTest, AReusedPortStartsAFirstRound) {
  start();
  fillTargets();
  sendCopy(0, milliseconds(0)); // may be open elsewhere: no reset
  Sim.run(Attempt);
  const uint64_t Before = counters().FirstRound;
  Sim.open(0, New);
  EXPECT_EQ(counters().FirstRound, Before + MaxOffers);
}

} // namespace
} // namespace burdockstream::flows::test
