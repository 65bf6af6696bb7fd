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

  // The fabric gives each flow's next packets to all balancers in turn,
  // starting with different ones.
  void sendThroughAll(base::SocketAddress Service = ShopAddress) {
    for (size_t Each = 0; Each < Sim.Balancers.size(); ++Each)
      for (uint16_t Port = 1; Port <= Flows; ++Port)
        Sim.send((Each + Port) % Sim.Balancers.size(),
                 Simulation::flow(Port, Service));
    Sim.run(milliseconds(400));
  }

  Simulation Sim;
};

// Guards against the reset of flows of a target that was not running when a
// balancer last had a status of its agent.
TEST_F(OutdatedKnowledgeTest, ATargetThatHasStartedSinceItsLastStatusIsAsked) {
  for (SimulatedAgent &Place : Sim.Agents)
    Place.Core->onProbe(ProbeResult::NoProcess, Sim.Now, Sim.Now);
  // The subscriptions of the start end, and agents send the last statuses.
  Sim.run(SubscribeAllPeriod + BalancerTimeout + seconds(1));
  runWithHeartbeats(seconds(2));
  openFlows(lastBalancer());
  sendThroughAll();
  EXPECT_EQ(Sim.Resets.size(), 0U);
}

// Guards against resets by balancers of former builds, which take the status of
// a stopped target for current after their subscription has ended.
TEST_F(OutdatedKnowledgeTest, AStartOfTheTargetIsReportedToFormerSubscribers) {
  for (SimulatedAgent &Place : Sim.Agents)
    Place.Core->onProbe(ProbeResult::NoProcess, Sim.Now, Sim.Now);
  Sim.run(SubscribeAllPeriod + BalancerTimeout + seconds(1));
  runWithHeartbeats(seconds(1));
  for (const SimulatedBalancer &Place : Sim.Balancers)
    for (const auto &Each : Place.Core->targets().all())
      EXPECT_EQ(Each->Status.State, TargetState::Ready);
  // Agents send nothing to these balancers for good.
  Sim.run(BalancerTimeout);
  for (const SimulatedAgent &Place : Sim.Agents)
    EXPECT_LT(Place.Core->balancers(), Sim.Balancers.size());
}

// The address of a Shop target goes to one of Vault, by which flows are opened.
class ReusedAddressTest : public OutdatedKnowledgeTest {
protected:
  // Index of an agent in the last domain, to which the first balancers have no
  // subscription.
  static constexpr size_t Reused = 3 * AgentsPerDomain - 1;

  void SetUp() override {
    OutdatedKnowledgeTest::SetUp();
    runWithHeartbeats(SubscribeAllPeriod + BalancerTimeout + seconds(1));
    Sim.Agents[Reused].Running = false;
    Sim.run(seconds(2));
    SimulatedAgent &Place = Sim.Agents[Reused];
    Place.Service = Vault;
    Place.StartedAtMs += 100'000;
    Place.HeartbeatsSent = 0;
    Sim.restartAgent(Reused);
    runWithHeartbeats(seconds(1));
  }

  void listEntry() {
    for (SimulatedBalancer &Place : Sim.Balancers)
      Place.Core->applyAgentEntry(
          {Sim.Agents[Reused].Address, std::string(Vault), Domains.back()},
          Sim.Now);
    runWithHeartbeats(seconds(1));
  }

  base::ServiceId serviceAt(size_t Balancer) const {
    const TargetTable &Known = Sim.Balancers[Balancer].Core->targets();
    return Known.at(Known.indexOf(Sim.Agents[Reused].Address))->Service;
  }
};

// Guards against the reset of flows whose agent has restarted and does not know
// them, by a balancer that has a status from the address's former service.
TEST_F(ReusedAddressTest, FlowsAreFoundAfterTheAgentHasRestarted) {
  listEntry();
  openFlows(lastBalancer(), VaultAddress);
  Sim.restartAgent(Reused);
  Sim.sendHeartbeats();
  sendThroughAll(VaultAddress);
  EXPECT_EQ(Sim.Resets.size(), 0U);
}

// The same without the new entry, as at a balancer that has not read it yet.
TEST_F(ReusedAddressTest, FlowsAreFoundWithoutTheNewEntry) {
  Sim.Balancers[lastBalancer()].Core->applyAgentEntry(
      {Sim.Agents[Reused].Address, std::string(Vault), Domains.back()},
      Sim.Now);
  runWithHeartbeats(seconds(1));
  openFlows(lastBalancer(), VaultAddress);
  Sim.restartAgent(Reused);
  Sim.sendHeartbeats();
  sendThroughAll(VaultAddress);
  EXPECT_EQ(Sim.Resets.size(), 0U);
}

// Guards against the service of an old status in place of that of a new entry.
TEST_F(ReusedAddressTest, AnEntryReplacesAnOldStatus) {
  listEntry();
  for (size_t Each = 0; Each < Sim.Balancers.size(); ++Each)
    EXPECT_EQ(serviceAt(Each), base::serviceIdOf(Vault)) << Each;
}

// Guards against an entry that is older than the agent's own statement: a new
// agent sends statuses before a watch reports its entry.
TEST_F(ReusedAddressTest, ARecentStatusReplacesAnEntry) {
  listEntry();
  FlowBalancer &Near = *Sim.Balancers[lastBalancer()].Core;
  Near.applyAgentEntry(
      {Sim.Agents[Reused].Address, std::string(Shop), Domains.back()}, Sim.Now);
  EXPECT_EQ(serviceAt(lastBalancer()), base::serviceIdOf(Vault));
  runWithHeartbeats(seconds(3));
  EXPECT_EQ(serviceAt(lastBalancer()), base::serviceIdOf(Vault));
}

// Guards against a reset on the answer of a former build, whose agents deny
// flows of another service even if they have restarted and do not know.
TEST_F(OutdatedKnowledgeTest, ADenialThatNamesAnotherServiceIsNoProof) {
  runWithHeartbeats(seconds(3));
  const base::SocketAddress Agent = Sim.Agents[0].Address;
  Sim.Agents[0].Running = false; // answered for by the test
  std::vector<base::ServiceId> Asked;
  Sim.DropsFrame = [&](base::SocketAddress To, FrameKind Kind) {
    if (To == Agent && Kind == FrameKind::Search)
      Asked.push_back(Sim.LastService);
    return false;
  };
  const FlowKey Flow = Simulation::flow(1);
  Sim.send(0, Flow);
  ASSERT_EQ(Asked.size(), 1U);
  FrameHeader Denial;
  Denial.Kind = FrameKind::NotHeld;
  Denial.Service = base::serviceIdOf(Vault);
  Packet Value;
  Value.Flow = Flow;
  const Packet Header = Sim.Registry.write(Value);
  Sim.Balancers[0].Core->onAgentAnswer(Agent, Denial, Header, Sim.Now);
  Sim.run(milliseconds(200));
  EXPECT_TRUE(Sim.Resets.empty());
  ASSERT_GE(Asked.size(), 2U);
  EXPECT_EQ(Asked.back(), Denial.Service);
  Sim.Balancers[0].Core->onAgentAnswer(Agent, Denial, Header, Sim.Now);
  Sim.run(milliseconds(100));
  EXPECT_EQ(Sim.Resets.size(), 1U);
}

} // namespace
} // namespace burdockstream::flows::test
