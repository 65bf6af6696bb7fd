// What a balancer does with packets: placement, searches, refusals.
#include "FlowFixture.h"

#include <gtest/gtest.h>

namespace burdockstream::flows::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class BalancerTest : public ::testing::Test {
protected:
  void SetUp() override {
    addBalancers(2);
    for (int I = 0; I < 3; ++I)
      W.addAgent();
    W.addAgent(Vault);
    start();
  }

  void addBalancers(int Count) {
    for (int I = 0; I < Count; ++I)
      W.addBalancer();
  }

  void start() {
    for (size_t I = 0; I < W.Balancers.size(); ++I)
      W.setRoutes(I, 10,
                  {{ShopAddress, std::string(Shop)},
                   {VaultAddress, std::string(Vault)}});
    W.listAll();
    W.beatAll();
    W.run(seconds(1));
    W.beatAll();
  }

  World W;
};

TEST_F(BalancerTest, OpensAFlowAndKeepsItsPacketsTogether) {
  const FlowKey Flow = World::flow(40001);
  W.open(0, Flow);
  const int Holder = W.holder(Flow);
  ASSERT_GE(Holder, 0);
  W.send(0, Flow);
  EXPECT_EQ(W.count(DecisionKind::Searched), 0U);
  EXPECT_EQ(W.Agents[static_cast<size_t>(Holder)].Target.Opened.size(), 1U);
}

// Guards against a packet of one service reaching a target of another.
TEST_F(BalancerTest, PlacesFlowsAtTargetsOfTheirService) {
  for (uint16_t Port = 1; Port <= 50; ++Port)
    W.visit(0, World::flow(Port, VaultAddress));
  EXPECT_EQ(W.Agents[3].Target.Opened.size(), 50U);
}

// Guards against a broken flow when the fabric moves it to another balancer.
TEST_F(BalancerTest, FindsTheHolderOfAFlowThatAnotherBalancerPlaced) {
  const FlowKey Flow = World::flow(40001);
  W.open(0, Flow);
  W.send(1, Flow);
  EXPECT_EQ(W.count(DecisionKind::Found), 1U);
  EXPECT_TRUE(W.Resets.empty());
  for (const AgentPlace &Place : W.Agents)
    EXPECT_TRUE(Place.Target.Tried.empty()) << "the packet wandered";
  W.send(1, Flow);
  EXPECT_EQ(W.count(DecisionKind::Searched), 1U) << "the holder was forgotten";
}

// Guards against a client that waits for its deadline although nobody holds its
// flow.
TEST_F(BalancerTest, ResetsAFlowThatNoTargetHolds) {
  W.run(seconds(1));
  W.beatAll();
  W.send(0, World::flow(40001));
  ASSERT_EQ(W.Resets.size(), 1U);
  EXPECT_EQ(W.Resets[0], World::flow(40001));
}

// Guards against a reset of an open flow: an agent that does not answer may
// stand beside its target.
TEST_F(BalancerTest, SendsNoResetWhileAnAgentRestarts) {
  const FlowKey Flow = World::flow(40001);
  W.open(0, Flow);
  const auto Holder = static_cast<size_t>(W.holder(Flow));
  W.Agents[Holder].Core->beginLeaving(W.Now);
  W.run(milliseconds(200));
  W.Agents[Holder].Running = false;
  for (int I = 0; I < 10; ++I) {
    W.run(milliseconds(300));
    W.beatAll();
    W.send(1, Flow);
  }
  EXPECT_TRUE(W.Resets.empty());
}

// Guards against the wrong end of a search: only a settled view of the agents
// proves that nobody holds a flow.
TEST_F(BalancerTest, SendsNoResetWhileTheStoreIsAway) {
  W.Balancers[0].Core->setStoreFresh(false);
  W.send(0, World::flow(40001));
  EXPECT_TRUE(W.Resets.empty());
  EXPECT_EQ(W.count(DecisionKind::Unsettled), 1U);
}

// Guards against resets after an outage in which all leases lapsed: a balancer
// that starts then finds an empty or partial list, while targets hold flows.
TEST_F(BalancerTest, SendsNoResetBeforePeersNamedTheirAgents) {
  const FlowKey Flow = World::flow(40001);
  W.open(0, Flow);
  W.Balancers[1].Running = false; // until agents have forgotten it
  for (int I = 0; I < 4; ++I) {
    W.run(seconds(1));
    W.beatAll();
  }
  W.restartBalancer(1);
  W.setRoutes(1, 10, {{ShopAddress, std::string(Shop)}});
  FlowBalancer &Fresh = *W.Balancers[1].Core;
  Fresh.setStoreFresh(true);
  Fresh.setPeersAsked(false);
  const size_t Other = W.holder(Flow) == 0 ? 1 : 0;
  Fresh.setAgents({{W.Agents[Other].Address, std::string(Shop), "a"}}, W.Now);
  W.run(seconds(2));
  W.beatAll();
  W.send(1, Flow);
  EXPECT_TRUE(W.Resets.empty());
}

TEST_F(BalancerTest, SendsNoResetWhileTheListIsEmpty) {
  for (AgentPlace &Place : W.Agents)
    Place.Running = false;
  W.restartBalancer(1);
  W.setRoutes(1, 10, {{ShopAddress, std::string(Shop)}});
  W.Balancers[1].Core->setStoreFresh(true);
  W.Balancers[1].Core->setAgents({}, W.Now);
  W.run(seconds(2));
  W.send(1, World::flow(40001));
  EXPECT_TRUE(W.Resets.empty());
}

TEST_F(BalancerTest, SendsNoResetRightAfterAnAgentWasListed) {
  W.addAgent();
  W.listAll();
  W.beat(4);
  W.run(milliseconds(100));
  W.send(0, World::flow(40001));
  EXPECT_TRUE(W.Resets.empty());
}

// Guards against searches that wait for agents which left for good: during a
// release there is always one.
TEST_F(BalancerTest, DoesNotSearchTargetsThatHaveEnded) {
  W.Agents[0].Core->onProbe(ProbeResult::NoProcess, W.Now);
  W.run(milliseconds(100));
  W.Agents[0].Running = false;
  W.run(seconds(1));
  W.beatAll();
  W.send(0, World::flow(40001));
  EXPECT_EQ(W.Resets.size(), 1U);
}

// Guards against an opening packet that is lost because one target is full.
TEST_F(BalancerTest, OffersARefusedFlowToTheOtherTargets) {
  W.Agents[0].Target.Full = W.Agents[1].Target.Full = true;
  for (uint16_t Port = 1; Port <= 20; ++Port)
    W.visit(0, World::flow(Port));
  EXPECT_EQ(W.Agents[2].Target.Opened.size(), 20U);
  EXPECT_TRUE(W.Resets.empty());
}

// Guards against a silent refusal: the client would wait for 1.4 s.
TEST_F(BalancerTest, ResetsAnOpeningPacketThatAllTargetsRefuse) {
  for (AgentPlace &Place : W.Agents)
    Place.Target.Full = true;
  W.run(seconds(1));
  W.beatAll();
  W.open(0, World::flow(40001));
  EXPECT_EQ(W.Resets.size(), 1U);
  EXPECT_EQ(W.count(DecisionKind::RefusedNoTarget), 1U);
}

// Guards against the reset of a flow that a target has accepted: the first copy
// of the opening packet went through another balancer.
TEST_F(BalancerTest, SendsNoResetForACopyWhoseFirstItDidNotSee) {
  const FlowKey Flow = World::flow(40001);
  W.open(0, Flow);
  for (AgentPlace &Place : W.Agents)
    Place.Target.Full = true;
  W.Agents[static_cast<size_t>(W.holder(Flow))].Core->beginLeaving(W.Now);
  W.run(seconds(1));
  W.beatAll();
  W.open(1, Flow, 1);
  EXPECT_TRUE(W.Resets.empty());
}

TEST_F(BalancerTest, ResetsAnOpeningPacketWithoutARoute) {
  W.open(0, World::flow(40001, {0xC6120009, 443}));
  EXPECT_EQ(W.count(DecisionKind::RefusedNoRoute), 1U);
  EXPECT_EQ(W.Resets.size(), 1U);
}

// Guards against refusing a route that was just added while the store is away.
TEST_F(BalancerTest, DropsAnOpeningPacketWithoutARouteIfRoutesMayBeOld) {
  W.Balancers[0].Core->setStoreFresh(false);
  W.open(0, World::flow(40001, {0xC6120009, 443}));
  EXPECT_EQ(W.count(DecisionKind::DroppedNoRoute), 1U);
  EXPECT_TRUE(W.Resets.empty());
}

// Guards against a configuration that goes back to an older one.
TEST_F(BalancerTest, IgnoresRoutesOfALowerRevision) {
  W.setRoutes(0, 9, {});
  W.open(0, World::flow(40001));
  EXPECT_GE(W.holder(World::flow(40001)), 0);
}

// Guards against a lost flow when its route moves to another service: open
// flows stay where they are.
TEST_F(BalancerTest, FindsFlowsOfAServiceThatTheRouteHadBefore) {
  const FlowKey Flow = World::flow(40001);
  W.open(0, Flow);
  W.setRoutes(1, 11, {{ShopAddress, std::string(Vault)}});
  W.send(1, Flow);
  EXPECT_TRUE(W.Resets.empty());
  EXPECT_EQ(W.count(DecisionKind::Found), 1U);
}

// Guards against using a target that the store lists but nobody has heard.
TEST_F(BalancerTest, PlacesNothingAtAnAgentThatFellSilent) {
  W.Agents[0].Running = W.Agents[1].Running = false;
  W.run(seconds(1));
  W.beatAll();
  for (uint16_t Port = 1; Port <= 20; ++Port)
    W.visit(0, World::flow(Port));
  EXPECT_EQ(W.Agents[2].Target.Opened.size(), 20U);
}

// Guards against the loss of all targets when the store loses their entries.
TEST_F(BalancerTest, KeepsAgentsThatItHearsWhenTheStoreLosesTheirEntries) {
  W.Balancers[0].Core->setAgents({}, W.Now);
  for (int I = 0; I < 5; ++I) {
    W.run(seconds(1));
    W.beatAll();
  }
  W.open(0, World::flow(40001));
  EXPECT_GE(W.holder(World::flow(40001)), 0);
}

// Guards against resets after a freeze of the balancer: the silence of the
// agents was its own.
TEST_F(BalancerTest, OwnStandstillMakesNoAgentLost) {
  const FlowKey Flow = World::flow(40001);
  W.open(0, Flow);
  const auto Holder = static_cast<size_t>(W.holder(Flow));
  W.Now += seconds(5);
  W.Agents[Holder].Running = false; // its answer is not here yet
  W.Balancers[1].Core->tick(W.Now);
  W.send(1, Flow);
  EXPECT_TRUE(W.Resets.empty());
}

// Load pattern: a restart of all balancers, after which each long flow is
// searched. Guards against frames of searches that crowd out all others.
TEST_F(BalancerTest, SearchesAreLimitedWhenAllFlowsAreUnknown) {
  for (uint16_t Port = 1; Port <= 5000; ++Port)
    W.send(0, World::flow(Port), 0);
  EXPECT_LE(W.count(DecisionKind::Searched) * 3, SearchFrameBurst);
  EXPECT_GT(W.Balancers[0].Core->droppedSearches(), 0U);
  W.run(seconds(1));
  W.beatAll();
  const uint64_t Before = W.count(DecisionKind::Searched);
  W.send(0, World::flow(5001), 0);
  EXPECT_EQ(W.count(DecisionKind::Searched), Before + 1);
}

// Guards against a balancer that never learns of newer routes because its watch
// of the store is silent.
TEST_F(BalancerTest, LearnsOfNewerRoutesThroughAgents) {
  W.setRoutes(0, 12, {{ShopAddress, std::string(Shop)}});
  W.run(milliseconds(600));
  ASSERT_FALSE(W.NewerRoutes.empty());
  EXPECT_EQ(W.NewerRoutes.back().first, 12);
  EXPECT_EQ(W.NewerRoutes.back().second, W.Balancers[0].Address);
}

} // namespace
} // namespace burdockstream::flows::test
