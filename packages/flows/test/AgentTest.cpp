// What an agent lets through to its target.
#include "FlowFixture.h"

#include <gtest/gtest.h>

namespace burdockstream::flows::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class AgentTest : public ::testing::Test {
protected:
  void SetUp() override {
    W.addBalancer();
    W.addBalancer();
    W.addAgent();
    for (size_t I = 0; I < 2; ++I)
      W.setRoutes(I, 10, {{ShopAddress, std::string(Shop)}});
    W.listAll();
    W.beat(0);
    W.run(milliseconds(1200));
    W.beat(0);
  }

  AgentPlace &agent() { return W.Agents[0]; }

  // An opening packet past all checks of the balancers.
  void forwardOpening(uint16_t Port, std::string_view Service,
                      base::Revision Routes) {
    Packet Value;
    Value.Flow = World::flow(Port);
    Value.Opens = true;
    FrameHeader Header;
    Header.Service = base::serviceIdOf(Service);
    Header.Routes = Routes;
    agent().Core->onFrame(W.Balancers[0].Address, Header, W.Book.write(Value),
                          W.Now);
  }

  World W;
};

// Guards against new work at a target that leaves.
TEST_F(AgentTest, DeliversNoNewFlowToADrainingTarget) {
  W.beat(0, true);
  W.open(0, World::flow(1));
  forwardOpening(2, Shop, 10);
  EXPECT_TRUE(agent().Target.Opened.empty());
}

// Guards against a target that drains and is used again after a late heartbeat
// says ready.
TEST_F(AgentTest, ADrainingTargetStaysSoUntilItStartsAnew) {
  W.beat(0, true);
  W.beat(0, false);
  EXPECT_EQ(agent().Core->state(), TargetState::Draining);
  agent().StartedAtMs += 5000;
  agent().Beats = 0;
  W.beat(0);
  EXPECT_EQ(agent().Core->state(), TargetState::Ready);
}

// Guards against delivery to an address that belongs to another service now.
TEST_F(AgentTest, DeliversNoFlowOfAnotherService) {
  forwardOpening(1, Vault, 10);
  EXPECT_TRUE(agent().Target.Opened.empty());
}

// Guards against delivery after the target fell silent: its address may be in
// other hands after two seconds. The check must not wait for a tick, because
// after a freeze packets come first.
TEST_F(AgentTest, DeliversNoNewFlowWhenHeartbeatsAreOverdue) {
  W.Now += milliseconds(1900);
  forwardOpening(1, Shop, 10);
  EXPECT_TRUE(agent().Target.Opened.empty());
}

// Guards against delivery before the agent knows whether its target drains.
TEST_F(AgentTest, DeliversNoNewFlowAfterARestartBeforeItHeardItsTarget) {
  W.restartAgent(0);
  forwardOpening(1, Shop, 10);
  EXPECT_TRUE(agent().Target.Opened.empty());
  agent().Core->onProbe(ProbeResult::Unwilling, W.Now);
  forwardOpening(2, Shop, 10);
  EXPECT_TRUE(agent().Target.Opened.empty());
  agent().Core->onProbe(ProbeResult::Healthy, W.Now);
  forwardOpening(3, Shop, 10);
  EXPECT_EQ(agent().Target.Opened.size(), 1U);
}

// Guards against a balancer that applies routes which the others have replaced.
TEST_F(AgentTest, SendsBackNewFlowsOfABalancerWithOldRoutes) {
  W.setRoutes(1, 12, {});
  W.run(milliseconds(300));
  forwardOpening(1, Shop, 10);
  EXPECT_EQ(agent().Target.Opened.size(), 1U) << "the grace was not granted";
  W.beat(0);
  W.run(milliseconds(1000));
  W.beat(0);
  forwardOpening(2, Shop, 10);
  EXPECT_EQ(agent().Target.Opened.size(), 1U);
  forwardOpening(3, Shop, 12);
  EXPECT_EQ(agent().Target.Opened.size(), 2U);
}

// Guards against a heartbeat that was delayed and belongs to the run before.
TEST_F(AgentTest, IgnoresHeartbeatsOfAnEarlierRun) {
  agent().StartedAtMs = 9000;
  agent().Beats = 0;
  W.beat(0, true);
  EXPECT_EQ(agent().Core->state(), TargetState::Draining);
  Heartbeat Late;
  Late.TargetId = "i-0";
  Late.Service = Shop;
  Late.Address = {agent().Address.Ip, 8080};
  Late.StartedAtMs = 1000;
  Late.Sequence = 99;
  EXPECT_EQ(agent().Core->onHeartbeat(Late, W.Now), HeartbeatVerdict::Late);
  EXPECT_EQ(agent().Core->state(), TargetState::Draining);
}

TEST_F(AgentTest, IgnoresHeartbeatsForAnotherTarget) {
  Heartbeat Foreign;
  Foreign.Service = Vault;
  Foreign.Address = {agent().Address.Ip, 8080};
  EXPECT_EQ(agent().Core->onHeartbeat(Foreign, W.Now),
            HeartbeatVerdict::Foreign);
}

// Guards against clients that wait for a target which has ended.
TEST_F(AgentTest, ResetsOpenFlowsWhenTheTargetStartsAnew) {
  W.open(0, World::flow(1));
  W.send(0, World::flow(1));
  agent().Target.Held.clear();
  agent().StartedAtMs += 5000;
  agent().Beats = 0;
  W.beat(0);
  ASSERT_EQ(W.Resets.size(), 1U);
  EXPECT_EQ(W.Resets[0], World::flow(1));
}

// Guards against a flow that is cut by a restart of the agent while its target
// lives.
TEST_F(AgentTest, FindsFlowsAgainAfterItsOwnRestart) {
  W.open(0, World::flow(1));
  W.send(0, World::flow(1));
  W.restartAgent(0);
  W.beat(0);
  W.send(0, World::flow(1)); // known to the balancer
  W.send(1, World::flow(1)); // must be searched
  EXPECT_TRUE(W.Resets.empty());
  EXPECT_EQ(agent().Core->flows(), 1U);
  EXPECT_TRUE(agent().Target.Tried.empty());
}

// Guards against a request that waits for 1.5 s after a restart of all
// processes while the targets live: the first packet of a flow may be one that
// its target does not answer, and the request comes while the search runs.
TEST_F(AgentTest, ARequestDuringASearchReachesTheHolderAtOnce) {
  W.open(0, World::flow(1));
  W.send(0, World::flow(1));
  W.restartAgent(0);
  W.beat(0);
  W.restartBalancer(1);
  W.setRoutes(1, 10, {{ShopAddress, std::string(Shop)}});
  W.listAll();
  W.run(milliseconds(200));
  agent().Target.Mute = true;
  W.send(1, World::flow(1), 1);
  const size_t Before = agent().Target.Requests;
  W.send(1, World::flow(1), 2);
  EXPECT_EQ(agent().Target.Requests, Before + 1);
}

// Guards against a search that never ends because the target keeps the packet
// without an answer.
TEST_F(AgentTest, APacketThatTheTargetKeepsProvesThatItHoldsTheFlow) {
  W.open(0, World::flow(1));
  W.send(0, World::flow(1));
  W.restartAgent(0);
  W.beat(0);
  agent().Target.Mute = true;
  W.send(1, World::flow(1));
  W.run(milliseconds(250));
  EXPECT_EQ(W.count(DecisionKind::Found), 1U);
}

// Guards against packets that wander: after a restart only the target knows its
// flows, but it is asked once for each.
TEST_F(AgentTest, TriesAnUnknownFlowOnceAfterItsOwnRestart) {
  W.restartAgent(0);
  W.beat(0);
  for (int I = 0; I < 5; ++I)
    W.send(1, World::flow(1));
  EXPECT_EQ(agent().Target.Tried.size(), 1U);
}

// Guards against tries at targets that cannot hold the flow: the agent has seen
// the first heartbeat of the run.
TEST_F(AgentTest, TriesNothingIfItHasSeenTheTargetsFirstHeartbeat) {
  W.restartAgent(0);
  agent().StartedAtMs += 5000;
  agent().Beats = 0;
  W.beat(0);
  W.send(1, World::flow(1));
  EXPECT_TRUE(agent().Target.Tried.empty());
}

// Guards against a load that stays too high: a retransmitted request that has
// its answer is no new one.
TEST_F(AgentTest, CountsARequestOnce) {
  agent().Target.Mute = true;
  W.open(0, World::flow(1));
  W.send(0, World::flow(1));
  W.send(0, World::flow(1));
  EXPECT_EQ(agent().Core->waiting(), 1U);
  agent().Target.Mute = false;
  W.send(0, World::flow(1));
  EXPECT_EQ(agent().Core->waiting(), 0U);
  agent().Target.Mute = true;
  W.send(0, World::flow(1));
  EXPECT_EQ(agent().Core->waiting(), 0U);
}

// Load pattern: many clients open flows within one status interval. Guards
// against a status that calls the target idle while their requests are on the
// way, and against openings that count forever.
TEST_F(AgentTest, CountsAFlowAsWorkFromItsOpeningPacketOn) {
  agent().Target.Mute = true;
  for (uint16_t Port = 1; Port <= 5; ++Port)
    W.open(0, World::flow(Port));
  EXPECT_EQ(agent().Core->waiting(), 5U);
  W.send(0, World::flow(1));
  EXPECT_EQ(agent().Core->waiting(), 5U) << "a request was counted twice";
  W.run(milliseconds(700));
  EXPECT_EQ(agent().Core->waiting(), 1U) << "abandoned openings stay";
  agent().Target.Full = true;
  W.open(0, World::flow(9));
  EXPECT_EQ(agent().Core->waiting(), 1U) << "a refused opening stays";
}

// Guards against an entry that the store has lost without telling anybody.
TEST_F(AgentTest, LearnsFromBalancersThatItsEntryIsMissing) {
  EXPECT_TRUE(W.Missing.empty());
  W.Balancers[0].Core->setAgents({}, W.Now);
  W.run(milliseconds(2500));
  EXPECT_FALSE(W.Missing.empty());
}

// Guards against a target that seems busy for as long as its flows are
// remembered, because its clients went away without a word.
TEST_F(AgentTest, RequestsWithoutAnAnswerDoNotCountForGood) {
  W.Agents[0].Target.Mute = true;
  for (uint16_t Port = 1; Port <= 5; ++Port) {
    W.open(0, World::flow(Port));
    W.send(0, World::flow(Port));
  }
  EXPECT_EQ(W.Agents[0].Core->waiting(), 5U);
  W.run(WaitingLife + 2 * Tick);
  EXPECT_EQ(W.Agents[0].Core->waiting(), 0U);
}

} // namespace
} // namespace burdockstream::flows::test
