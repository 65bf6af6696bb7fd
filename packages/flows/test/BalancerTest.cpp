// A balancer's handling of packets: placement, searches, resets.
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
      Sim.addAgent();
    Sim.addAgent(Vault);
    start();
  }

  void addBalancers(int Count) {
    for (int I = 0; I < Count; ++I)
      Sim.addBalancer();
  }

  void start() {
    for (size_t I = 0; I < Sim.Balancers.size(); ++I)
      Sim.setRoutes(I, 10,
                    {{ShopAddress, std::string(Shop)},
                     {VaultAddress, std::string(Vault)}});
    Sim.listAll();
    Sim.sendHeartbeats();
    Sim.run(seconds(1));
    Sim.sendHeartbeats();
  }

  Simulation Sim;
};

TEST_F(BalancerTest, OpensAFlowAndKeepsItsPacketsTogether) {
  const FlowKey Flow = Simulation::flow(40001);
  Sim.open(0, Flow);
  const int Holder = Sim.holder(Flow);
  ASSERT_GE(Holder, 0);
  Sim.send(0, Flow);
  EXPECT_EQ(Sim.count(DecisionKind::Searched), 0U);
  EXPECT_EQ(Sim.Agents[static_cast<size_t>(Holder)].Target.Opened.size(), 1U);
}

// Guards against a packet of one service reaching a target of another.
TEST_F(BalancerTest, PlacesFlowsAtTargetsOfTheirService) {
  for (uint16_t Port = 1; Port <= 50; ++Port)
    Sim.openAndRequest(0, Simulation::flow(Port, VaultAddress));
  EXPECT_EQ(Sim.Agents[3].Target.Opened.size(), 50U);
}

// Guards against the loss of a flow that the fabric moves to another balancer.
TEST_F(BalancerTest, FindsTheHolderOfAFlowThatAnotherBalancerPlaced) {
  const FlowKey Flow = Simulation::flow(40001);
  Sim.open(0, Flow);
  Sim.send(1, Flow);
  EXPECT_EQ(Sim.count(DecisionKind::Found), 1U);
  EXPECT_TRUE(Sim.Resets.empty());
  for (const SimulatedAgent &Place : Sim.Agents)
    EXPECT_TRUE(Place.Target.ReturnedPackets.empty())
        << "the packet reached a target that does not hold the flow";
  Sim.send(1, Flow);
  EXPECT_EQ(Sim.count(DecisionKind::Searched), 1U)
      << "the holder was forgotten";
}

// Guards against a client that waits for its deadline although no target holds
// its flow.
TEST_F(BalancerTest, ResetsAFlowThatNoTargetHolds) {
  Sim.run(seconds(1));
  Sim.sendHeartbeats();
  Sim.send(0, Simulation::flow(40001));
  ASSERT_EQ(Sim.Resets.size(), 1U);
  EXPECT_EQ(Sim.Resets[0], Simulation::flow(40001));
}

// Guards against the reset of an open flow: the agent that does not answer may
// be that of its target.
TEST_F(BalancerTest, SendsNoResetWhileAnAgentRestarts) {
  const FlowKey Flow = Simulation::flow(40001);
  Sim.open(0, Flow);
  const auto Holder = static_cast<size_t>(Sim.holder(Flow));
  Sim.Agents[Holder].Core->startLeaving(Sim.Now);
  Sim.run(milliseconds(200));
  Sim.Agents[Holder].Running = false;
  for (int I = 0; I < 10; ++I) {
    Sim.run(milliseconds(300));
    Sim.sendHeartbeats();
    Sim.send(1, Flow);
  }
  EXPECT_TRUE(Sim.Resets.empty());
}

// Guards against a reset with an incomplete list of agents: only a settled list
// proves that no target holds a flow.
TEST_F(BalancerTest, SendsNoResetWhileTheStoreIsAway) {
  Sim.Balancers[0].Core->setStoreFresh(false);
  Sim.send(0, Simulation::flow(40001));
  EXPECT_TRUE(Sim.Resets.empty());
  EXPECT_EQ(Sim.count(DecisionKind::Unsettled), 1U);
}

// Guards against resets after an outage in which all leases expired: a balancer
// that starts then reads an empty or partial list, while targets hold flows.
TEST_F(BalancerTest, SendsNoResetBeforePeersNamedTheirAgents) {
  const FlowKey Flow = Simulation::flow(40001);
  Sim.open(0, Flow);
  Sim.Balancers[1].Running = false; // long enough that agents forget it
  for (int I = 0; I < 4; ++I) {
    Sim.run(seconds(1));
    Sim.sendHeartbeats();
  }
  Sim.restartBalancer(1);
  Sim.setRoutes(1, 10, {{ShopAddress, std::string(Shop)}});
  FlowBalancer &Fresh = *Sim.Balancers[1].Core;
  Fresh.setStoreFresh(true);
  Fresh.setPeersQueried(false);
  const size_t Other = Sim.holder(Flow) == 0 ? 1 : 0;
  Fresh.setAgentEntries({{Sim.Agents[Other].Address, std::string(Shop), "a"}},
                        Sim.Now);
  Sim.run(seconds(2));
  Sim.sendHeartbeats();
  Sim.send(1, Flow);
  EXPECT_TRUE(Sim.Resets.empty());
}

TEST_F(BalancerTest, SendsNoResetWhileTheListIsEmpty) {
  for (SimulatedAgent &Place : Sim.Agents)
    Place.Running = false;
  Sim.restartBalancer(1);
  Sim.setRoutes(1, 10, {{ShopAddress, std::string(Shop)}});
  Sim.Balancers[1].Core->setStoreFresh(true);
  Sim.Balancers[1].Core->setAgentEntries({}, Sim.Now);
  Sim.run(seconds(2));
  Sim.send(1, Simulation::flow(40001));
  EXPECT_TRUE(Sim.Resets.empty());
}

TEST_F(BalancerTest, SendsNoResetRightAfterAnAgentWasListed) {
  Sim.addAgent();
  Sim.listAll();
  Sim.sendHeartbeat(4);
  Sim.run(milliseconds(100));
  Sim.send(0, Simulation::flow(40001));
  EXPECT_TRUE(Sim.Resets.empty());
}

// Guards against searches that wait for agents of ended targets, of which there
// is always one during a release. The agent is asked, since its target may have
// started after its last status, and answers at once or is gone.
TEST_F(BalancerTest, HardlyWaitsForTargetsThatHaveEnded) {
  Sim.Agents[0].Core->onProbe(ProbeResult::NoProcess, Sim.Now, Sim.Now);
  Sim.run(milliseconds(100));
  Sim.send(0, Simulation::flow(40000));
  EXPECT_EQ(Sim.Resets.size(), 1U);
  Sim.Agents[0].Running = false;
  Sim.run(seconds(1));
  for (size_t I = 1; I < Sim.Agents.size(); ++I)
    Sim.sendHeartbeat(I);
  Sim.send(0, Simulation::flow(40001));
  Sim.run(LostAgentAnswerTimeout + Tick);
  EXPECT_EQ(Sim.Resets.size(), 2U);
}

// Guards against searches that each wait in full for an agent that is gone:
// after a power failure every request of an ended flow would be late until the
// agent's lease ends.
TEST_F(BalancerTest, FurtherSearchesHardlyWaitForAnAgentThatIsGone) {
  Sim.Agents[0].Core->onProbe(ProbeResult::NoProcess, Sim.Now, Sim.Now);
  Sim.run(milliseconds(100));
  Sim.Agents[0].Running = false;
  Sim.run(milliseconds(500));
  Sim.send(0, Simulation::flow(40001));
  Sim.run(LostAgentAnswerTimeout - Tick);
  EXPECT_TRUE(Sim.Resets.empty());
  Sim.run(2 * Tick);
  EXPECT_EQ(Sim.Resets.size(), 1U);
  Sim.send(0, Simulation::flow(40002));
  Sim.run(milliseconds(150)); // the latency target of the shortest requests
  EXPECT_EQ(Sim.Resets.size(), 2U);
}

// Guards against the reset of an open flow whose agent has returned after it
// left the questions of an earlier search unanswered.
TEST_F(BalancerTest, AFlowOfAnAgentThatHasReturnedIsFound) {
  Sim.Agents[0].Core->onProbe(ProbeResult::NoProcess, Sim.Now, Sim.Now);
  Sim.run(milliseconds(100));
  Sim.Agents[0].Running = false;
  Sim.send(0, Simulation::flow(40001));
  Sim.run(LostAgentAnswerTimeout + 2 * Tick);
  ASSERT_EQ(Sim.Resets.size(), 1U);
  Sim.DropsFrame = [&](base::SocketAddress To, FrameKind Kind) {
    return To == Sim.Balancers[0].Address && Kind == FrameKind::Status;
  };
  Sim.restartAgent(0);
  Sim.run(HelloInterval);
  Sim.sendHeartbeat(0);
  for (size_t I = 1; I < Sim.Agents.size(); ++I)
    Sim.sendHeartbeat(I, true); // so that the flow opens at the first one
  Sim.open(1, Simulation::flow(40002));
  ASSERT_EQ(Sim.holder(Simulation::flow(40002)), 0);
  Sim.send(0, Simulation::flow(40002));
  Sim.run(seconds(1));
  EXPECT_EQ(Sim.Resets.size(), 1U);
}

// Guards against a short wait for an agent that answers, or that was not asked
// for a while.
TEST(UnansweredQuestionsTest, AnAnswerOrAPauseRestoresTheFullTime) {
  const base::TimePoint Start{seconds(100)};
  UnansweredQuestions Questions;
  Questions.ask(Start);
  EXPECT_EQ(Questions.answerBy(Start), Start + LostAgentAnswerTimeout);
  const base::TimePoint Later = Start + LostAgentAnswerTimeout;
  Questions.ask(Later);
  EXPECT_EQ(Questions.answerBy(Later), Later + FurtherAnswerTimeout);
  const base::TimePoint AfterPause = Later + QuestionPause + milliseconds(1);
  Questions.ask(AfterPause);
  EXPECT_EQ(Questions.answerBy(AfterPause),
            AfterPause + LostAgentAnswerTimeout);
  Questions.recordAnswer();
  Questions.ask(AfterPause + milliseconds(500));
  EXPECT_EQ(Questions.answerBy(AfterPause + milliseconds(500)),
            AfterPause + milliseconds(500) + LostAgentAnswerTimeout);
}

// Guards against an opening packet that is dropped because one target is full.
TEST_F(BalancerTest, OffersARefusedFlowToTheOtherTargets) {
  Sim.Agents[0].Target.Full = Sim.Agents[1].Target.Full = true;
  for (uint16_t Port = 1; Port <= 20; ++Port)
    Sim.openAndRequest(0, Simulation::flow(Port));
  EXPECT_EQ(Sim.Agents[2].Target.Opened.size(), 20U);
  EXPECT_TRUE(Sim.Resets.empty());
}

// Guards against a refusal without a reset: the client would wait for 1.4 s.
TEST_F(BalancerTest, ResetsAnOpeningPacketThatAllTargetsRefuse) {
  for (SimulatedAgent &Place : Sim.Agents)
    Place.Target.Full = true;
  Sim.run(seconds(1));
  Sim.sendHeartbeats();
  Sim.open(0, Simulation::flow(40001));
  EXPECT_EQ(Sim.Resets.size(), 1U);
  EXPECT_EQ(Sim.count(DecisionKind::RefusedNoTarget), 1U);
}

// Guards against the reset of a flow that a target has accepted: the first copy
// of the opening packet went through another balancer.
TEST_F(BalancerTest, SendsNoResetForACopyWhoseFirstItDidNotSee) {
  const FlowKey Flow = Simulation::flow(40001);
  Sim.open(0, Flow);
  for (SimulatedAgent &Place : Sim.Agents)
    Place.Target.Full = true;
  Sim.Agents[static_cast<size_t>(Sim.holder(Flow))].Core->startLeaving(Sim.Now);
  Sim.run(seconds(1));
  Sim.sendHeartbeats();
  Sim.open(1, Flow, 1);
  EXPECT_TRUE(Sim.Resets.empty());
}

TEST_F(BalancerTest, ResetsAnOpeningPacketWithoutARoute) {
  Sim.open(0, Simulation::flow(40001, {0xC6120009, 443}));
  EXPECT_EQ(Sim.count(DecisionKind::RefusedNoRoute), 1U);
  EXPECT_EQ(Sim.Resets.size(), 1U);
}

// Guards against refusing a route that was added while the store is
// unreachable.
TEST_F(BalancerTest, DropsAnOpeningPacketWithoutARouteIfRoutesMayBeOld) {
  Sim.Balancers[0].Core->setStoreFresh(false);
  Sim.open(0, Simulation::flow(40001, {0xC6120009, 443}));
  EXPECT_EQ(Sim.count(DecisionKind::DroppedNoRoute), 1U);
  EXPECT_TRUE(Sim.Resets.empty());
}

// Guards against a return to an older configuration.
TEST_F(BalancerTest, IgnoresRoutesOfALowerRevision) {
  Sim.setRoutes(0, 9, {});
  Sim.open(0, Simulation::flow(40001));
  EXPECT_GE(Sim.holder(Simulation::flow(40001)), 0);
}

// Guards against the loss of an open flow when its route changes to another
// service: open flows stay at their target.
TEST_F(BalancerTest, FindsFlowsOfAServiceThatTheRouteHadBefore) {
  const FlowKey Flow = Simulation::flow(40001);
  Sim.open(0, Flow);
  Sim.setRoutes(1, 11, {{ShopAddress, std::string(Vault)}});
  Sim.send(1, Flow);
  EXPECT_TRUE(Sim.Resets.empty());
  EXPECT_EQ(Sim.count(DecisionKind::Found), 1U);
}

// Guards against placing flows at a target that is listed but sends no
// statuses.
TEST_F(BalancerTest, PlacesNothingAtAnAgentThatFellSilent) {
  Sim.Agents[0].Running = Sim.Agents[1].Running = false;
  Sim.run(seconds(1));
  Sim.sendHeartbeats();
  for (uint16_t Port = 1; Port <= 20; ++Port)
    Sim.openAndRequest(0, Simulation::flow(Port));
  EXPECT_EQ(Sim.Agents[2].Target.Opened.size(), 20U);
}

// Guards against dropping live targets when the store loses their entries.
TEST_F(BalancerTest, KeepsAgentsThatItHearsWhenTheStoreLosesTheirEntries) {
  Sim.Balancers[0].Core->setAgentEntries({}, Sim.Now);
  for (int I = 0; I < 5; ++I) {
    Sim.run(seconds(1));
    Sim.sendHeartbeats();
  }
  Sim.open(0, Simulation::flow(40001));
  EXPECT_GE(Sim.holder(Simulation::flow(40001)), 0);
}

// Guards against resets after a stall of the balancer, during which it could
// not receive statuses.
TEST_F(BalancerTest, StallOfTheBalancerMakesNoAgentLost) {
  const FlowKey Flow = Simulation::flow(40001);
  Sim.open(0, Flow);
  const auto Holder = static_cast<size_t>(Sim.holder(Flow));
  Sim.Now += seconds(5);
  Sim.Agents[Holder].Running = false; // its answer has not arrived yet
  Sim.Balancers[1].Core->tick(Sim.Now);
  Sim.send(1, Flow);
  EXPECT_TRUE(Sim.Resets.empty());
}

// Load pattern: a restart of all balancers, after which each long-lived flow is
// searched. Guards against search frames that displace all other frames.
TEST_F(BalancerTest, SearchesAreLimitedWhenAllFlowsAreUnknown) {
  for (uint16_t Port = 1; Port <= 5000; ++Port)
    Sim.send(0, Simulation::flow(Port), 0);
  EXPECT_LE(Sim.count(DecisionKind::Searched) * 3, SearchFrameBurst);
  EXPECT_GT(Sim.Balancers[0].Core->droppedSearches(), 0U);
  Sim.run(seconds(1));
  Sim.sendHeartbeats();
  const uint64_t Before = Sim.count(DecisionKind::Searched);
  Sim.send(0, Simulation::flow(5001), 0);
  EXPECT_EQ(Sim.count(DecisionKind::Searched), Before + 1);
}

// Guards against a balancer that misses newer routes because its store watch
// delivers no events.
TEST_F(BalancerTest, LearnsOfNewerRoutesThroughAgents) {
  Sim.setRoutes(0, 12, {{ShopAddress, std::string(Shop)}});
  Sim.run(milliseconds(600));
  ASSERT_FALSE(Sim.NewerRoutes.empty());
  EXPECT_EQ(Sim.NewerRoutes.back().first, 12);
  EXPECT_EQ(Sim.NewerRoutes.back().second, Sim.Balancers[0].Address);
}

} // namespace
} // namespace burdockstream::flows::test
