// Agents that are away for a planned restart while a balancer starts.
#include "FlowFixture.h"

#include <gtest/gtest.h>

namespace burdockstream::flows::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class RestartingAgentTest : public ::testing::Test {
protected:
  void SetUp() override {
    for (int I = 0; I < 4; ++I)
      Sim.addAgent();
    for (size_t I = 0; I < 2; ++I) {
      Sim.addBalancer();
      Sim.setRoutes(I, 10, {{ShopAddress, std::string(Shop)}});
    }
    Sim.listAll();
    Sim.sendHeartbeats();
    Sim.run(milliseconds(1200));
    Sim.sendHeartbeats();
  }

  Simulation Sim;
};

// Guards against a balancer that has just started and takes an agent that is
// being restarted for gone: it reset the open flows of that agent's target,
// after 1.5 s without a status (review/9).
TEST_F(RestartingAgentTest, ANewBalancerWaitsForAnAgentThatRestarts) {
  const FlowKey Flow = Simulation::flow(1);
  Sim.openAndRequest(0, Flow);
  const auto Holder = static_cast<size_t>(Sim.holder(Flow));
  Sim.Agents[Holder].Running = false;
  Sim.restartBalancer(1);
  Sim.setRoutes(1, 10, {{ShopAddress, std::string(Shop)}});
  Sim.listAll();
  Sim.Balancers[1].Core->applyAgentEntry(
      {Sim.Agents[Holder].Address, std::string(Shop), "a", false, true},
      Sim.Now);
  const auto Run = [&](int Steps) {
    for (int Step = 0; Step < Steps; ++Step) {
      for (size_t I = 0; I < Sim.Agents.size(); ++I)
        if (Sim.Agents[I].Running)
          Sim.sendHeartbeat(I);
      Sim.run(milliseconds(500));
      Sim.send(1, Flow);
    }
  };
  Run(8);
  EXPECT_TRUE(Sim.Resets.empty());
  Sim.restartAgent(Holder);
  const size_t Before = Sim.Agents[Holder].Target.Requests;
  Run(4);
  EXPECT_TRUE(Sim.Resets.empty());
  EXPECT_GT(Sim.Agents[Holder].Target.Requests, Before);
}

// Guards against a flow that is kept for good, since the agent does not return
// from its restart.
TEST_F(RestartingAgentTest, AnAgentThatDoesNotReturnFromItsRestartIsLost) {
  Sim.Agents[0].Running = false;
  Sim.restartBalancer(1);
  Sim.setRoutes(1, 10, {{ShopAddress, std::string(Shop)}});
  Sim.listAll();
  Sim.Balancers[1].Core->applyAgentEntry(
      {Sim.Agents[0].Address, std::string(Shop), "a", false, true}, Sim.Now);
  const base::TimePoint Start = Sim.Now;
  while (Sim.Resets.empty() && Sim.Now - Start < seconds(20)) {
    for (size_t I = 1; I < Sim.Agents.size(); ++I)
      Sim.sendHeartbeat(I);
    Sim.run(milliseconds(500));
    Sim.send(1, Simulation::flow(40001));
  }
  EXPECT_GE(Sim.Now - Start, RestartGracePeriod);
  EXPECT_LE(Sim.Now - Start, RestartGracePeriod + seconds(3));
}

} // namespace
} // namespace burdockstream::flows::test
