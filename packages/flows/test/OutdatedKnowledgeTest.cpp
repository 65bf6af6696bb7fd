// Flows that are held where a balancer or an agent has outdated knowledge of
// the target: a status from before a restart, or an entry from before the
// address was used again.
#include "FlowFixture.h"

#include <gtest/gtest.h>

namespace burdockstream::flows::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr size_t BalancersPerDomain = 2;
constexpr size_t AgentsPerDomain = 6;
constexpr uint16_t Flows = 40;
const std::vector<std::string> Domains{"a", "b", "c"};

// More agents of a service than a balancer subscribes to. Balancer 0 is in
// domain "a"; the last one is in "c".
class OutdatedKnowledgeTest : public ::testing::Test {
protected:
  void SetUp() override {
    for (const std::string &Domain : Domains) {
      for (size_t I = 0; I < BalancersPerDomain; ++I)
        Sim.addBalancer(Domain);
      for (size_t I = 0; I < AgentsPerDomain; ++I)
        Sim.addAgent(Shop, Domain);
    }
    for (size_t I = 0; I < Sim.Balancers.size(); ++I)
      Sim.setRoutes(I, 10,
                    {{ShopAddress, std::string(Shop)},
                     {VaultAddress, std::string(Vault)}});
    Sim.listAll();
  }

  size_t lastBalancer() const { return Sim.Balancers.size() - 1; }

  void runWithHeartbeats(base::Duration Time) {
    for (; Time > seconds(0); Time -= milliseconds(1000)) {
      Sim.sendHeartbeats();
      Sim.run(std::min<base::Duration>(Time, milliseconds(1000)));
    }
    Sim.sendHeartbeats();
  }

  void openFlows(size_t Balancer, base::SocketAddress Service = ShopAddress) {
    for (uint16_t Port = 1; Port <= Flows; ++Port) {
      Sim.openAndRequest(Balancer, Simulation::flow(Port, Service));
      ASSERT_GE(Sim.holder(Simulation::flow(Port, Service)), 0);
      runWithHeartbeats(Tick); // up-to-date statuses spread the flows
    }
  }

  // The fabric gives each flow's next packets to all balancers in turn.
  void sendThroughAll(base::SocketAddress Service = ShopAddress) {
    for (size_t Each = 0; Each < Sim.Balancers.size(); ++Each)
      for (uint16_t Port = 1; Port <= Flows; ++Port)
        Sim.send(Each, Simulation::flow(Port, Service));
    Sim.run(milliseconds(400));
  }

  Simulation Sim;
};

// Guards against the reset of flows of a target that was not running when a
// balancer last had a status of its agent.
TEST_F(OutdatedKnowledgeTest, ATargetThatHasStartedSinceItsLastStatusIsAsked) {
  for (SimulatedAgent &Place : Sim.Agents)
    Place.Core->onProbe(ProbeResult::NoProcess, Sim.Now);
  // The subscriptions of the start end, and agents send the last statuses.
  Sim.run(SubscribeAllPeriod + BalancerTimeout + seconds(1));
  runWithHeartbeats(seconds(2));
  openFlows(lastBalancer());
  sendThroughAll();
  EXPECT_EQ(Sim.Resets.size(), 0U);
}

} // namespace
} // namespace burdockstream::flows::test
