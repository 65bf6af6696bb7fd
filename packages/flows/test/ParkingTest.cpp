// A balancer's handling of packets that it cannot forward or reset at once:
// parking and the repetition of searches.
#include "FlowFixture.h"

#include "burdockstream/flows/ParkedPackets.h"

#include <gtest/gtest.h>

namespace burdockstream::flows::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class ParkingTest : public ::testing::Test {
protected:
  void SetUp() override {
    for (int I = 0; I < 2; ++I)
      Sim.addBalancer();
    for (int I = 0; I < 3; ++I)
      Sim.addAgent();
    for (size_t I = 0; I < 2; ++I)
      setRoutes(I);
    Sim.listAll();
    runWithHeartbeats(seconds(1));
    runWithHeartbeats(milliseconds(500));
  }

  void setRoutes(size_t Balancer) {
    Sim.setRoutes(Balancer, 10, {{ShopAddress, std::string(Shop)}});
  }

  void runWithHeartbeats(base::Duration Time) {
    Sim.sendHeartbeats();
    Sim.run(Time);
    Sim.sendHeartbeats();
  }

  FlowBalancer &balancer(size_t Index) { return *Sim.Balancers[Index].Core; }

  Simulation Sim;
};

// Guards against a flow that is stalled for 1.5 s because one of many answers
// to a search was lost.
TEST_F(ParkingTest, AsksAgainWhoHasNotAnswered) {
  int Lost = 0;
  Sim.DropsFrame = [&](base::SocketAddress, FrameKind Kind) {
    return Kind == FrameKind::NotHeld && Lost++ == 0;
  };
  Sim.send(0, Simulation::flow(40001));
  EXPECT_TRUE(Sim.Resets.empty());
  Sim.run(InitialSearchRetryDelay + 2 * Tick);
  EXPECT_EQ(Sim.Resets.size(), 1U);
}

// The same for the holder's answer: the buffered packet reaches its target.
TEST_F(ParkingTest, FindsTheHolderWhoseAnswerWasLost) {
  const FlowKey Flow = Simulation::flow(40001);
  Sim.open(0, Flow);
  int Lost = 0;
  Sim.DropsFrame = [&](base::SocketAddress, FrameKind Kind) {
    return Kind == FrameKind::Held && Lost++ == 0;
  };
  Sim.send(1, Flow);
  const auto Holder = static_cast<size_t>(Sim.holder(Flow));
  EXPECT_EQ(Sim.Agents[Holder].Target.Requests, 0U);
  Sim.run(InitialSearchRetryDelay + 2 * Tick);
  EXPECT_EQ(Sim.Agents[Holder].Target.Requests, 1U);
  EXPECT_TRUE(Sim.Resets.empty());
}

// Guards against a stalled flow after a restart of its agent: the target's
// answer to the trial packet shows that it holds the flow.
TEST_F(ParkingTest, FindsAFlowByItsTargetsAnswer) {
  const FlowKey Flow = Simulation::flow(40001);
  Sim.open(0, Flow);
  const auto Holder = static_cast<size_t>(Sim.holder(Flow));
  Sim.restartAgent(Holder);
  runWithHeartbeats(milliseconds(300));
  Sim.send(1, Flow);
  EXPECT_EQ(Sim.count(DecisionKind::Found), 1U);
  EXPECT_EQ(Sim.Agents[Holder].Target.Requests, 1U);
}

// Guards against a search that keeps waiting after the target of an undecided
// agent has returned the trial packet.
TEST_F(ParkingTest, AReturnedTrialPacketEndsTheSearchAtOnce) {
  Sim.restartAgent(0);
  runWithHeartbeats(seconds(1));
  Sim.send(0, Simulation::flow(40001));
  EXPECT_EQ(Sim.Agents[0].Target.ReturnedPackets.size(), 1U);
  EXPECT_EQ(Sim.Resets.size(), 1U);
}

// Guards against unlimited search frames to an agent that does not answer.
TEST_F(ParkingTest, AsksASilentAgentWithBackoff) {
  Sim.Agents[0].Core->startLeaving(Sim.Now);
  Sim.run(milliseconds(100));
  Sim.Agents[0].Running = false;
  int Asked = 0;
  Sim.DropsFrame = [&](base::SocketAddress To, FrameKind Kind) {
    Asked += Kind == FrameKind::Search && To == Sim.Agents[0].Address ? 1 : 0;
    return false;
  };
  Sim.send(0, Simulation::flow(40001));
  Sim.run(SearchTimeout + seconds(1));
  EXPECT_GE(Asked, 3);
  EXPECT_LE(Asked, 5);
}

// Guards against a reset that waits for the client's next retransmission, up to
// 1.6 s, after the balancer has learnt that no target holds the flow.
TEST_F(ParkingTest, ResetsAnUnheldFlowOnceTheViewIsSettled) {
  balancer(0).setPeersQueried(false);
  Sim.send(0, Simulation::flow(40001));
  Sim.run(milliseconds(300));
  EXPECT_TRUE(Sim.Resets.empty());
  balancer(0).setPeersQueried(true);
  Sim.run(2 * Tick);
  EXPECT_EQ(Sim.Resets.size(), 1U);
}

// Guards against a reset based on answers from before an agent was known: the
// flow is searched again.
TEST_F(ParkingTest, SearchesAgainBeforeALateReset) {
  const FlowKey Flow = Simulation::flow(40001);
  Sim.open(0, Flow);
  const auto Holder = static_cast<size_t>(Sim.holder(Flow));
  Sim.restartBalancer(1);
  setRoutes(1);
  balancer(1).setStoreFresh(true);
  const size_t Other = Holder == 0 ? 1 : 0;
  Sim.Agents[Holder].Running = false; // its statuses arrive later
  balancer(1).setAgentEntries(
      {{Sim.Agents[Other].Address, std::string(Shop), "a"}}, Sim.Now);
  Sim.send(1, Flow);
  Sim.Agents[Holder].Running = true;
  balancer(1).applyAgentEntry(
      {Sim.Agents[Holder].Address, std::string(Shop), "a"}, Sim.Now);
  for (int I = 0; I < 4; ++I)
    runWithHeartbeats(milliseconds(400));
  EXPECT_TRUE(Sim.Resets.empty());
  EXPECT_EQ(Sim.Agents[Holder].Target.Requests, 1U);
}

// Guards against dropping packets that arrive before the routes.
TEST_F(ParkingTest, DeliversWhatCameBeforeTheRoutes) {
  const FlowKey Flow = Simulation::flow(40001);
  Sim.open(0, Flow);
  Sim.restartBalancer(1);
  Sim.listAll();
  Sim.send(1, Flow);
  Sim.open(1, Simulation::flow(40002));
  EXPECT_EQ(Sim.holder(Simulation::flow(40002)), -1);
  setRoutes(1);
  runWithHeartbeats(milliseconds(300));
  const auto Holder = static_cast<size_t>(Sim.holder(Flow));
  EXPECT_EQ(Sim.Agents[Holder].Target.Requests, 1U);
  EXPECT_GE(Sim.holder(Simulation::flow(40002)), 0);
  EXPECT_TRUE(Sim.Resets.empty());
}

// Guards against an opening packet that waits for the client's next copy
// although a target has become ready.
TEST_F(ParkingTest, PlacesAnOpeningPacketOnceATargetIsReady) {
  Sim.restartBalancer(1);
  setRoutes(1);
  balancer(1).setStoreFresh(true);
  Sim.open(1, Simulation::flow(40001)); // no agent is known yet
  EXPECT_TRUE(Sim.Resets.empty());
  Sim.listAll();
  runWithHeartbeats(milliseconds(300));
  EXPECT_GE(Sim.holder(Simulation::flow(40001)), 0);
}

// Guards against opening a flow after its client has given up: it would occupy
// a slot at the target.
TEST_F(ParkingTest, DropsAnOpeningPacketThatHasWaitedTooLong) {
  Sim.restartBalancer(1);
  setRoutes(1);
  Sim.DropsFrame = [](base::SocketAddress, FrameKind) { return true; };
  Sim.open(1, Simulation::flow(40001));
  Sim.run(MaxOpeningParkTime + 2 * Tick);
  Sim.DropsFrame = nullptr;
  Sim.listAll();
  runWithHeartbeats(milliseconds(500));
  EXPECT_EQ(Sim.holder(Simulation::flow(40001)), -1);
  EXPECT_EQ(Sim.count(DecisionKind::WaitExpired), 1U);
}

// Load pattern: all flows are unknown at once. Guards against dropping searches
// over the rate limit, which would then wait for a retransmission of the
// client, and against a frame per flow and agent, which would fill the links of
// small VMs.
TEST_F(ParkingTest, SearchesOverTheLimitFollowInSharedFrames) {
  constexpr size_t Over = 500;
  const auto Flows = static_cast<uint16_t>(SearchFrameBurst / 3 + Over);
  size_t Frames = 0;
  Sim.DropsFrame = [&](base::SocketAddress, FrameKind Kind) {
    Frames += Kind == FrameKind::Search ? 1 : 0;
    return false;
  };
  for (uint16_t Port = 1; Port <= Flows; ++Port)
    Sim.send(0, Simulation::flow(Port), 0);
  EXPECT_LT(Sim.Resets.size(), Flows);
  Sim.run(milliseconds(500));
  EXPECT_EQ(Sim.Resets.size(), Flows);
  EXPECT_EQ(balancer(0).droppedSearches(), 0U);
  constexpr size_t Shared = 3 * (Over / HeadersPerFrame + 2);
  EXPECT_LE(Frames, static_cast<size_t>(SearchFrameBurst) + Shared);
}

// Guards against repeated trial deliveries when agents that have just started
// answer late, after they were asked several times.
TEST_F(ParkingTest, ASecondUndecidedAnswerSendsNoTrial) {
  Packet Value;
  Value.Flow = Simulation::flow(40001);
  for (SimulatedAgent &Place : Sim.Agents)
    Place.Running = false;
  balancer(0).onClientPacket(Sim.Registry.write(Value), Sim.Now);
  Sim.run(Tick);
  size_t Trials = 0;
  Sim.DropsFrame = [&](base::SocketAddress, FrameKind Kind) {
    Trials += Kind == FrameKind::Trial ? 1 : 0;
    return true;
  };
  FrameHeader Header;
  Header.Kind = FrameKind::Undecided;
  for (int Copy = 0; Copy < 3; ++Copy)
    balancer(0).onAgentAnswer(Sim.Agents[0].Address, Header,
                              Sim.Registry.write(Value), Sim.Now);
  Sim.run(InitialSearchRetryDelay + 2 * Tick);
  EXPECT_EQ(Trials, 1U);
}

// Guards against the reset of a flow whose holder falls silent during the
// search, as all agents seem to be when the balancer is overloaded.
TEST_F(ParkingTest, ASearchWaitsForAnAgentThatFallsSilent) {
  const FlowKey Flow = Simulation::flow(40001);
  Sim.open(0, Flow);
  const auto Holder = static_cast<size_t>(Sim.holder(Flow));
  Sim.Agents[Holder].Running = false;
  Sim.run(AgentLostAfter - milliseconds(400));
  Sim.sendHeartbeats();
  Sim.send(1, Flow);
  Sim.run(SearchTimeout - milliseconds(200));
  EXPECT_TRUE(Sim.Resets.empty());
}

// Guards against the reset of an open flow whose agent counts as lost but is
// alive: its answer comes shortly after those of the others.
TEST_F(ParkingTest, AnAgentThatCountsAsLostIsAskedBeforeAReset) {
  const FlowKey Flow = Simulation::flow(40001);
  Sim.open(0, Flow);
  const auto Holder = static_cast<size_t>(Sim.holder(Flow));
  const base::SocketAddress SilentAgent = Sim.Agents[Holder].Address;
  Sim.Agents[Holder].Running = false;
  for (int I = 0; I < 4; ++I)
    runWithHeartbeats(milliseconds(500));
  Sim.send(0, Flow); // the other agents answer at once
  EXPECT_TRUE(Sim.Resets.empty());
  Sim.run(milliseconds(100));
  Sim.Agents[Holder].Running = true;
  FrameHeader Header;
  Header.Kind = FrameKind::Held;
  Packet Value;
  Value.Flow = Flow;
  balancer(0).onAgentAnswer(SilentAgent, Header, Sim.Registry.write(Value),
                            Sim.Now);
  Sim.run(seconds(1));
  EXPECT_TRUE(Sim.Resets.empty());
}

// Guards against unlimited memory use by parked packets.
TEST(ParkedPacketsTest, HoldsOneForEachFlowAndNoMoreThanItsLimit) {
  ParkedPackets Parked;
  Packet Value;
  std::vector<uint8_t> Bytes(100);
  Value.Bytes = Bytes;
  const base::TimePoint Now{};
  for (uint16_t Port = 0; Port < 2 * MaxParkedPackets; ++Port) {
    Value.Flow = Simulation::flow(Port);
    EXPECT_EQ(Parked.add(Value, ParkReason::RoutesOrTarget, Now),
              Port < MaxParkedPackets);
  }
  Value.Flow = Simulation::flow(7);
  EXPECT_TRUE(Parked.add(Value, ParkReason::SettledAgentList, Now));
  EXPECT_EQ(Parked.size(), MaxParkedPackets);
  EXPECT_EQ(Parked.take(ParkReason::SettledAgentList).size(), 1U);
}

} // namespace
} // namespace burdockstream::flows::test
