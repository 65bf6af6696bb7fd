// Which packets an agent delivers to its target, and how it answers searches.
#include "FlowFixture.h"

#include <algorithm>
#include <gtest/gtest.h>

namespace burdockstream::flows::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class AgentTest : public ::testing::Test {
protected:
  void SetUp() override {
    Sim.addBalancer();
    Sim.addBalancer();
    Sim.addAgent();
    for (size_t I = 0; I < 2; ++I)
      Sim.setRoutes(I, 10, {{ShopAddress, std::string(Shop)}});
    Sim.listAll();
    Sim.sendHeartbeat(0);
    Sim.run(milliseconds(1200));
    Sim.sendHeartbeat(0);
  }

  SimulatedAgent &agent() { return Sim.Agents[0]; }

  // Sends the agent an opening packet, bypassing the checks of balancers.
  void forwardOpening(uint16_t Port, std::string_view Service,
                      base::Revision Routes) {
    Packet Value;
    Value.Flow = Simulation::flow(Port);
    Value.Opens = true;
    FrameHeader Header;
    Header.Service = base::serviceIdOf(Service);
    Header.Routes = Routes;
    agent().Core->onFrame(Sim.Balancers[0].Address, Header,
                          Sim.Registry.write(Value), Sim.Now);
  }

  Simulation Sim;
};

// Guards against new flows at a draining target.
TEST_F(AgentTest, DeliversNoNewFlowToADrainingTarget) {
  Sim.sendHeartbeat(0, true);
  Sim.open(0, Simulation::flow(1));
  forwardOpening(2, Shop, 10);
  EXPECT_TRUE(agent().Target.Opened.empty());
}

// Guards against a draining target that gets new flows after a delayed
// heartbeat without the draining flag.
TEST_F(AgentTest, ADrainingTargetStaysSoUntilItStartsAnew) {
  Sim.sendHeartbeat(0, true);
  Sim.sendHeartbeat(0, false);
  EXPECT_EQ(agent().Core->state(), TargetState::Draining);
  agent().StartedAtMs += 5000;
  agent().HeartbeatsSent = 0;
  Sim.sendHeartbeat(0);
  EXPECT_EQ(agent().Core->state(), TargetState::Ready);
}

// Guards against delivery to an address that was reassigned to another service.
TEST_F(AgentTest, DeliversNoFlowOfAnotherService) {
  forwardOpening(1, Vault, 10);
  EXPECT_TRUE(agent().Target.Opened.empty());
}

// Guards against delivery to a silent target: its address may be reassigned
// after two seconds. The check must not depend on a tick, because after a stall
// of the process packets are handled first.
TEST_F(AgentTest, DeliversNoNewFlowWhenHeartbeatsAreOverdue) {
  Sim.Now += milliseconds(1900);
  forwardOpening(1, Shop, 10);
  EXPECT_TRUE(agent().Target.Opened.empty());
}

// Guards against delivery before the agent knows whether its target drains.
TEST_F(AgentTest, DeliversNoNewFlowAfterARestartBeforeItHeardItsTarget) {
  Sim.restartAgent(0);
  forwardOpening(1, Shop, 10);
  EXPECT_TRUE(agent().Target.Opened.empty());
  agent().Core->onProbe(ProbeResult::Unwilling, Sim.Now, Sim.Now);
  forwardOpening(2, Shop, 10);
  EXPECT_TRUE(agent().Target.Opened.empty());
  agent().Core->onProbe(ProbeResult::Healthy, Sim.Now, Sim.Now);
  forwardOpening(3, Shop, 10);
  EXPECT_EQ(agent().Target.Opened.size(), 1U);
}

// Guards against new flows from a balancer with outdated routes.
TEST_F(AgentTest, SendsBackNewFlowsOfABalancerWithOldRoutes) {
  Sim.setRoutes(1, 12, {});
  Sim.run(milliseconds(300));
  forwardOpening(1, Shop, 10);
  EXPECT_EQ(agent().Target.Opened.size(), 1U)
      << "returned within the grace period";
  Sim.sendHeartbeat(0);
  Sim.run(milliseconds(1000));
  Sim.sendHeartbeat(0);
  forwardOpening(2, Shop, 10);
  EXPECT_EQ(agent().Target.Opened.size(), 1U);
  forwardOpening(3, Shop, 12);
  EXPECT_EQ(agent().Target.Opened.size(), 2U);
}

// Guards against a delayed heartbeat of an earlier run of the target.
TEST_F(AgentTest, IgnoresHeartbeatsOfAnEarlierRun) {
  agent().StartedAtMs = 9000;
  agent().HeartbeatsSent = 0;
  Sim.sendHeartbeat(0, true);
  EXPECT_EQ(agent().Core->state(), TargetState::Draining);
  Heartbeat Late;
  Late.TargetId = "i-0";
  Late.Service = Shop;
  Late.Address = {agent().Address.Ip, 8080};
  Late.StartedAtMs = 1000;
  Late.Sequence = 99;
  EXPECT_EQ(agent().Core->onHeartbeat(Late, Sim.Now), HeartbeatVerdict::Late);
  EXPECT_EQ(agent().Core->state(), TargetState::Draining);
}

TEST_F(AgentTest, IgnoresHeartbeatsForAnotherTarget) {
  Heartbeat Foreign;
  Foreign.Service = Vault;
  Foreign.Address = {agent().Address.Ip, 8080};
  EXPECT_EQ(agent().Core->onHeartbeat(Foreign, Sim.Now),
            HeartbeatVerdict::Foreign);
}

// Guards against clients that wait for a target whose process has ended.
TEST_F(AgentTest, ResetsOpenFlowsWhenTheTargetStartsAnew) {
  Sim.open(0, Simulation::flow(1));
  Sim.send(0, Simulation::flow(1));
  agent().Target.Held.clear();
  agent().StartedAtMs += 5000;
  agent().HeartbeatsSent = 0;
  Sim.sendHeartbeat(0);
  ASSERT_EQ(Sim.Resets.size(), 1U);
  EXPECT_EQ(Sim.Resets[0], Simulation::flow(1));
}

// Guards against the loss of a flow by a restart of its agent while the target
// keeps running.
TEST_F(AgentTest, FindsFlowsAgainAfterItsOwnRestart) {
  Sim.open(0, Simulation::flow(1));
  Sim.send(0, Simulation::flow(1));
  Sim.restartAgent(0);
  Sim.sendHeartbeat(0);
  Sim.send(0, Simulation::flow(1)); // the balancer knows the flow
  Sim.send(1, Simulation::flow(1)); // this one must search for it
  EXPECT_TRUE(Sim.Resets.empty());
  EXPECT_EQ(agent().Core->flows(), 1U);
  EXPECT_TRUE(agent().Target.ReturnedPackets.empty());
}

// Guards against the denial of a held flow because a balancer names the service
// that its address had before: after a restart only the target knows its flows.
TEST_F(AgentTest, DoesNotDenyAnUnknownFlowForTheNameOfAService) {
  Sim.open(0, Simulation::flow(1));
  Sim.send(0, Simulation::flow(1));
  Sim.restartAgent(0);
  Sim.sendHeartbeat(0);
  Packet Value;
  Value.Flow = Simulation::flow(1);
  Value.Acknowledged = Sim.acknowledged(Value.Flow);
  Value.DataBytes = 100;
  FrameHeader Header;
  Header.Service = base::serviceIdOf(Vault);
  std::vector<FrameKind> Answers;
  Sim.DropsFrame = [&](base::SocketAddress, FrameKind Kind) {
    Answers.push_back(Kind);
    return true;
  };
  const Packet Sent = Sim.Registry.write(Value);
  agent().Core->onSearches(Sim.Balancers[1].Address, {&Sent, 1});
  const size_t Before = agent().Target.Requests;
  agent().Core->onFrame(Sim.Balancers[1].Address, Header,
                        Sim.Registry.write(Value), Sim.Now);
  Sim.run(Tick);
  EXPECT_EQ(agent().Target.Requests, Before + 1);
  EXPECT_EQ(std::count(Answers.begin(), Answers.end(), FrameKind::Undecided),
            1);
  EXPECT_EQ(std::count(Answers.begin(), Answers.end(), FrameKind::NotHeld), 0);
  EXPECT_EQ(std::count(Answers.begin(), Answers.end(), FrameKind::Returned), 0);
}

// Guards against an agent that goes on by the time that it was started with.
TEST_F(AgentTest, AChangedOverdueTimeIsInForceAtOnce) {
  Sim.run(milliseconds(1000));
  EXPECT_EQ(agent().Core->state(), TargetState::Ready);
  agent().Core->setHeartbeatTimes(milliseconds(600), milliseconds(900));
  Sim.run(Tick);
  EXPECT_EQ(agent().Core->state(), TargetState::Silent);
}

// Guards against a request that is delayed by 1.5 s after a restart of all
// balancers and agents: the search starts with a packet that the target does
// not answer, and the request arrives while the search runs.
TEST_F(AgentTest, ARequestDuringASearchReachesTheHolderAtOnce) {
  Sim.open(0, Simulation::flow(1));
  Sim.send(0, Simulation::flow(1));
  Sim.restartAgent(0);
  Sim.sendHeartbeat(0);
  Sim.restartBalancer(1);
  Sim.setRoutes(1, 10, {{ShopAddress, std::string(Shop)}});
  Sim.listAll();
  Sim.run(milliseconds(200));
  agent().Target.Unresponsive = true;
  Sim.send(1, Simulation::flow(1), 1);
  const size_t Before = agent().Target.Requests;
  Sim.send(1, Simulation::flow(1), 2);
  EXPECT_EQ(agent().Target.Requests, Before + 1);
}

// Guards against a search that never ends because the target holds the flow but
// does not answer the trial packet.
TEST_F(AgentTest, APacketThatTheTargetKeepsProvesThatItHoldsTheFlow) {
  Sim.open(0, Simulation::flow(1));
  Sim.send(0, Simulation::flow(1));
  Sim.restartAgent(0);
  Sim.sendHeartbeat(0);
  agent().Target.Unresponsive = true;
  Sim.send(1, Simulation::flow(1));
  Sim.run(milliseconds(250));
  EXPECT_EQ(Sim.count(DecisionKind::Found), 1U);
}

// Guards against repeated trial deliveries: after a restart of the agent only
// the target knows its flows, but one trial per flow is enough.
TEST_F(AgentTest, SendsOneTrialForAnUnknownFlowAfterItsOwnRestart) {
  Sim.restartAgent(0);
  Sim.sendHeartbeat(0);
  for (int I = 0; I < 5; ++I)
    Sim.send(1, Simulation::flow(1));
  EXPECT_EQ(agent().Target.ReturnedPackets.size(), 1U);
}

// Guards against trial deliveries to a target that cannot hold the flow,
// because the agent has observed its run from the first heartbeat on.
TEST_F(AgentTest, SendsNoTrialIfItHasSeenTheTargetsFirstHeartbeat) {
  Sim.restartAgent(0);
  agent().StartedAtMs += 5000;
  agent().HeartbeatsSent = 0;
  Sim.sendHeartbeat(0);
  Sim.send(1, Simulation::flow(1));
  EXPECT_TRUE(agent().Target.ReturnedPackets.empty());
}

// Guards against an overestimated load: the retransmission of an answered
// request is not a new request.
TEST_F(AgentTest, CountsARequestOnce) {
  agent().Target.Unresponsive = true;
  Sim.open(0, Simulation::flow(1));
  Sim.send(0, Simulation::flow(1));
  Sim.send(0, Simulation::flow(1));
  EXPECT_EQ(agent().Core->waiting(), 1U);
  agent().Target.Unresponsive = false;
  Sim.send(0, Simulation::flow(1));
  EXPECT_EQ(agent().Core->waiting(), 0U);
  agent().Target.Unresponsive = true;
  Sim.send(0, Simulation::flow(1));
  EXPECT_EQ(agent().Core->waiting(), 0U);
}

// Load pattern: many clients open flows within one status interval. Guards
// against a status that reports an idle target while their first requests are
// in transit, and against opening flows that count as load indefinitely.
TEST_F(AgentTest, CountsAFlowAsWorkFromItsOpeningPacketOn) {
  agent().Target.Unresponsive = true;
  for (uint16_t Port = 1; Port <= 5; ++Port)
    Sim.open(0, Simulation::flow(Port));
  EXPECT_EQ(agent().Core->waiting(), 5U);
  Sim.send(0, Simulation::flow(1));
  EXPECT_EQ(agent().Core->waiting(), 5U) << "a request was counted twice";
  Sim.run(milliseconds(700));
  EXPECT_EQ(agent().Core->waiting(), 1U)
      << "abandoned opening flows still count";
  agent().Target.Full = true;
  Sim.open(0, Simulation::flow(9));
  EXPECT_EQ(agent().Core->waiting(), 1U)
      << "a refused opening flow still counts";
}

// Guards against an agent entry that the store has lost without a notification.
TEST_F(AgentTest, LearnsFromBalancersThatItsEntryIsMissing) {
  EXPECT_TRUE(Sim.MissingEntryReports.empty());
  Sim.Balancers[0].Core->setAgentEntries({}, Sim.Now);
  Sim.run(milliseconds(2500));
  EXPECT_FALSE(Sim.MissingEntryReports.empty());
}

// Guards against a target that seems busy for as long as its flows are
// remembered, because its clients disappeared without closing them.
TEST_F(AgentTest, UnansweredRequestsStopCounting) {
  Sim.Agents[0].Target.Unresponsive = true;
  for (uint16_t Port = 1; Port <= 5; ++Port) {
    Sim.open(0, Simulation::flow(Port));
    Sim.send(0, Simulation::flow(Port));
  }
  EXPECT_EQ(Sim.Agents[0].Core->waiting(), 5U);
  Sim.run(UnansweredRequestTimeout + 2 * Tick);
  EXPECT_EQ(Sim.Agents[0].Core->waiting(), 0U);
}

} // namespace
} // namespace burdockstream::flows::test
