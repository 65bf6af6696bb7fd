// What a balancer does with packets that it cannot decide at once.
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
      W.addBalancer();
    for (int I = 0; I < 3; ++I)
      W.addAgent();
    for (size_t I = 0; I < 2; ++I)
      setRoutes(I);
    W.listAll();
    runAndBeat(seconds(1));
    runAndBeat(milliseconds(500));
  }

  void setRoutes(size_t Balancer) {
    W.setRoutes(Balancer, 10, {{ShopAddress, std::string(Shop)}});
  }

  void runAndBeat(base::Duration Time) {
    W.beatAll();
    W.run(Time);
    W.beatAll();
  }

  FlowBalancer &balancer(size_t Index) { return *W.Balancers[Index].Core; }

  World W;
};

// Guards against a flow that stands still for 1.5 s because one of many answers
// to a search was lost.
TEST_F(ParkingTest, AsksAgainWhoHasNotAnswered) {
  int Lost = 0;
  W.Loses = [&](base::SocketAddress, FrameKind Kind) {
    return Kind == FrameKind::NotHeld && Lost++ == 0;
  };
  W.send(0, World::flow(40001));
  EXPECT_TRUE(W.Resets.empty());
  W.run(ReaskTime + 2 * Tick);
  EXPECT_EQ(W.Resets.size(), 1U);
}

// The same for the holder's answer: the packet that waits reaches its target.
TEST_F(ParkingTest, FindsTheHolderWhoseAnswerWasLost) {
  const FlowKey Flow = World::flow(40001);
  W.open(0, Flow);
  int Lost = 0;
  W.Loses = [&](base::SocketAddress, FrameKind Kind) {
    return Kind == FrameKind::Held && Lost++ == 0;
  };
  W.send(1, Flow);
  const auto Holder = static_cast<size_t>(W.holder(Flow));
  EXPECT_EQ(W.Agents[Holder].Target.Requests, 0U);
  W.run(ReaskTime + 2 * Tick);
  EXPECT_EQ(W.Agents[Holder].Target.Requests, 1U);
  EXPECT_TRUE(W.Resets.empty());
}

// Guards against a flow that stands still after a restart of its agent: the
// target's own answer shows that it holds the flow.
TEST_F(ParkingTest, FindsAFlowByItsTargetsAnswer) {
  const FlowKey Flow = World::flow(40001);
  W.open(0, Flow);
  const auto Holder = static_cast<size_t>(W.holder(Flow));
  W.restartAgent(Holder);
  runAndBeat(milliseconds(300));
  W.send(1, Flow);
  EXPECT_EQ(W.count(DecisionKind::Found), 1U);
  EXPECT_EQ(W.Agents[Holder].Target.Requests, 1U);
}

// Guards against a search that waits although an agent that was unsure has
// learnt from its target that it does not hold the flow.
TEST_F(ParkingTest, AnUnsureAgentSettlesASearchAtOnce) {
  W.restartAgent(0);
  runAndBeat(seconds(1));
  W.send(0, World::flow(40001));
  EXPECT_EQ(W.Agents[0].Target.Tried.size(), 1U);
  EXPECT_EQ(W.Resets.size(), 1U);
}

// Guards against frames without end to an agent that is away.
TEST_F(ParkingTest, AsksASilentAgentLessAndLessOften) {
  W.Agents[0].Core->beginLeaving(W.Now);
  W.run(milliseconds(100));
  W.Agents[0].Running = false;
  int Asked = 0;
  W.Loses = [&](base::SocketAddress To, FrameKind Kind) {
    Asked += Kind == FrameKind::Search && To == W.Agents[0].Address ? 1 : 0;
    return false;
  };
  W.send(0, World::flow(40001));
  W.run(SearchLife + seconds(1));
  EXPECT_GE(Asked, 3);
  EXPECT_LE(Asked, 5);
}

// Guards against a client that waits for its next retransmission, up to 1.6 s,
// after the balancer has learnt that nobody holds the flow.
TEST_F(ParkingTest, ResetsAnUnheldFlowOnceTheViewIsSettled) {
  balancer(0).setPeersAsked(false);
  W.send(0, World::flow(40001));
  W.run(milliseconds(300));
  EXPECT_TRUE(W.Resets.empty());
  balancer(0).setPeersAsked(true);
  W.run(2 * Tick);
  EXPECT_EQ(W.Resets.size(), 1U);
}

// Guards against a reset out of answers that were given before an agent was
// known: the flow is searched again.
TEST_F(ParkingTest, SearchesAgainBeforeALateReset) {
  const FlowKey Flow = World::flow(40001);
  W.open(0, Flow);
  const auto Holder = static_cast<size_t>(W.holder(Flow));
  W.restartBalancer(1);
  setRoutes(1);
  balancer(1).setStoreFresh(true);
  const size_t Other = Holder == 0 ? 1 : 0;
  W.Agents[Holder].Running = false; // its statuses come later
  balancer(1).setAgents({{W.Agents[Other].Address, std::string(Shop), "a"}},
                        W.Now);
  W.send(1, Flow);
  W.Agents[Holder].Running = true;
  balancer(1).listAgent({W.Agents[Holder].Address, std::string(Shop), "a"},
                        W.Now);
  for (int I = 0; I < 4; ++I)
    runAndBeat(milliseconds(400));
  EXPECT_TRUE(W.Resets.empty());
  EXPECT_EQ(W.Agents[Holder].Target.Requests, 1U);
}

// Guards against packets that are lost because they come before the routes.
TEST_F(ParkingTest, DeliversWhatCameBeforeTheRoutes) {
  const FlowKey Flow = World::flow(40001);
  W.open(0, Flow);
  W.restartBalancer(1);
  W.listAll();
  W.send(1, Flow);
  W.open(1, World::flow(40002));
  EXPECT_EQ(W.holder(World::flow(40002)), -1);
  setRoutes(1);
  runAndBeat(milliseconds(300));
  const auto Holder = static_cast<size_t>(W.holder(Flow));
  EXPECT_EQ(W.Agents[Holder].Target.Requests, 1U);
  EXPECT_GE(W.holder(World::flow(40002)), 0);
  EXPECT_TRUE(W.Resets.empty());
}

// Guards against an opening packet that waits for its client's next copy while
// a target has become ready.
TEST_F(ParkingTest, PlacesAnOpeningPacketOnceATargetIsReady) {
  W.restartBalancer(1);
  setRoutes(1);
  balancer(1).setStoreFresh(true);
  W.open(1, World::flow(40001)); // no agent is known yet
  EXPECT_TRUE(W.Resets.empty());
  W.listAll();
  runAndBeat(milliseconds(300));
  EXPECT_GE(W.holder(World::flow(40001)), 0);
}

// Guards against a flow that is opened after its client has given up: it would
// hold a place at the target in vain.
TEST_F(ParkingTest, DropsAnOpeningPacketThatHasWaitedTooLong) {
  W.restartBalancer(1);
  setRoutes(1);
  W.Loses = [](base::SocketAddress, FrameKind) { return true; };
  W.open(1, World::flow(40001));
  W.run(ParkedOpeningLife + 2 * Tick);
  W.Loses = nullptr;
  W.listAll();
  runAndBeat(milliseconds(500));
  EXPECT_EQ(W.holder(World::flow(40001)), -1);
  EXPECT_EQ(W.count(DecisionKind::WaitExpired), 1U);
}

// Load pattern: all flows are unknown at once. Guards against searches over the
// limit that are dropped, and so wait for the client, and against a frame for
// each flow and agent, which would fill the links of small VMs.
TEST_F(ParkingTest, SearchesOverTheLimitFollowInSharedFrames) {
  constexpr size_t Over = 500;
  const auto Flows = static_cast<uint16_t>(SearchFrameBurst / 3 + Over);
  size_t Frames = 0;
  W.Loses = [&](base::SocketAddress, FrameKind Kind) {
    Frames += Kind == FrameKind::Search ? 1 : 0;
    return false;
  };
  for (uint16_t Port = 1; Port <= Flows; ++Port)
    W.send(0, World::flow(Port), 0);
  EXPECT_LT(W.Resets.size(), Flows);
  W.run(milliseconds(500));
  EXPECT_EQ(W.Resets.size(), Flows);
  EXPECT_EQ(balancer(0).droppedSearches(), 0U);
  constexpr size_t Shared = 3 * (Over / HeadersPerFrame + 2);
  EXPECT_LE(Frames, static_cast<size_t>(SearchFrameBurst) + Shared);
}

// Guards against a multiple of all packets when agents that have just started
// answer late: each was asked again meanwhile.
TEST_F(ParkingTest, ASecondUnsureAnswerCostsNoPacket) {
  Packet Value;
  Value.Flow = World::flow(40001);
  for (AgentPlace &Place : W.Agents)
    Place.Running = false;
  balancer(0).onClientPacket(W.Book.write(Value), W.Now);
  W.run(Tick);
  size_t Tries = 0;
  W.Loses = [&](base::SocketAddress, FrameKind Kind) {
    Tries += Kind == FrameKind::Try ? 1 : 0;
    return true;
  };
  FrameHeader Header;
  Header.Kind = FrameKind::Unsure;
  for (int Copy = 0; Copy < 3; ++Copy)
    balancer(0).onAgentAnswer(W.Agents[0].Address, Header, W.Book.write(Value),
                              W.Now);
  W.run(ReaskTime + 2 * Tick);
  EXPECT_EQ(Tries, 1U);
}

// Guards against the reset of a flow whose holder falls silent during the
// search, as all agents seem to when the balancer is overloaded.
TEST_F(ParkingTest, ASearchWaitsForAnAgentThatFallsSilent) {
  const FlowKey Flow = World::flow(40001);
  W.open(0, Flow);
  const auto Holder = static_cast<size_t>(W.holder(Flow));
  W.Agents[Holder].Running = false;
  W.run(LostStatus - milliseconds(400));
  W.beatAll();
  W.send(1, Flow);
  W.run(SearchLife - milliseconds(200));
  EXPECT_TRUE(W.Resets.empty());
}

// Guards against the reset of an open flow whose agent was only unheard for a
// while: its answer comes right after those of the others.
TEST_F(ParkingTest, AnAgentThatCountsAsLostIsAskedBeforeAReset) {
  const FlowKey Flow = World::flow(40001);
  W.open(0, Flow);
  const auto Holder = static_cast<size_t>(W.holder(Flow));
  const base::SocketAddress Unheard = W.Agents[Holder].Address;
  W.Agents[Holder].Running = false;
  for (int I = 0; I < 4; ++I)
    runAndBeat(milliseconds(500));
  W.send(0, Flow); // the others answer at once
  EXPECT_TRUE(W.Resets.empty());
  W.run(milliseconds(100));
  W.Agents[Holder].Running = true;
  FrameHeader Header;
  Header.Kind = FrameKind::Held;
  Packet Value;
  Value.Flow = Flow;
  balancer(0).onAgentAnswer(Unheard, Header, W.Book.write(Value), W.Now);
  W.run(seconds(1));
  EXPECT_TRUE(W.Resets.empty());
}

// Guards against a balancer that runs out of memory.
TEST(ParkedPacketsTest, HoldsOneForEachFlowAndNoMoreThanItsLimit) {
  ParkedPackets Parked;
  Packet Value;
  std::vector<uint8_t> Bytes(100);
  Value.Bytes = Bytes;
  const base::TimePoint Now{};
  for (uint16_t Port = 0; Port < 2 * MaxParked; ++Port) {
    Value.Flow = World::flow(Port);
    EXPECT_EQ(Parked.add(Value, WaitFor::Knowledge, Now), Port < MaxParked);
  }
  Value.Flow = World::flow(7);
  EXPECT_TRUE(Parked.add(Value, WaitFor::SettledView, Now));
  EXPECT_EQ(Parked.size(), MaxParked);
  EXPECT_EQ(Parked.take(WaitFor::SettledView).size(), 1U);
}

} // namespace
} // namespace burdockstream::flows::test
