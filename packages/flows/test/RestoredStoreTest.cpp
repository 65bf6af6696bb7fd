// Balancers and agents after the store has returned from an older copy.
#include "FlowFixture.h"

#include "burdockstream/base/StoreEra.h"

#include <gtest/gtest.h>

namespace burdockstream::flows::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Of the newest routes before the return, and of what the copy holds.
constexpr base::Revision Before = base::orderRevision(1, 1000);
constexpr base::Revision InCopy = base::orderRevision(2, 905);
constexpr base::Revision WrittenAgain = base::orderRevision(2, 906);

const std::map<base::SocketAddress, std::string> ShopOnly = {
    {ShopAddress, std::string(Shop)}};
const std::map<base::SocketAddress, std::string> ShopAndVault = {
    {ShopAddress, std::string(Shop)}, {VaultAddress, std::string(Vault)}};

// Version 5 adds the vault's route.
class RestoredStoreTest : public ::testing::Test {
protected:
  void SetUp() override {
    for (int I = 0; I < 2; ++I)
      Sim.addBalancer();
    Sim.addAgent();
    Sim.addAgent(Vault);
    setRoutes(0, 5, Before);
    setRoutes(1, 5, Before);
    Sim.listAll();
    run();
  }

  void setRoutes(size_t Balancer, uint64_t Version, base::Revision Revision) {
    Sim.RoutesVersion = Version;
    Sim.setRoutes(Balancer, Revision, Version >= 5 ? ShopAndVault : ShopOnly);
  }

  // Long enough for agents to return opening packets of outdated balancers.
  void run() {
    for (int I = 0; I < 4; ++I) {
      Sim.sendHeartbeats();
      Sim.run(milliseconds(400));
    }
    Sim.sendHeartbeats();
  }

  bool opensVaultFlow(size_t Balancer, uint16_t Port) {
    Sim.open(Balancer, Simulation::flow(Port, VaultAddress));
    return Sim.holder(Simulation::flow(Port, VaultAddress)) >= 0;
  }

  Simulation Sim;
};

TEST_F(RestoredStoreTest, OlderConfigurationOfALaterEraReplacesANewerOne) {
  setRoutes(0, 4, InCopy);
  EXPECT_TRUE(opensVaultFlow(0, 40001));
}

// The operators write all configurations again that the copy lacks, one by one.
TEST_F(RestoredStoreTest, ConfigurationWrittenAgainReplacesANewerOne) {
  setRoutes(0, 3, InCopy);
  setRoutes(0, 4, WrittenAgain);
  EXPECT_TRUE(opensVaultFlow(0, 40001));
}

TEST_F(RestoredStoreTest, NewerConfigurationOfAnEarlierEraIsIgnored) {
  Sim.restartBalancer(1);
  Sim.listAll();
  setRoutes(1, 4, InCopy);
  setRoutes(1, 5, Before); // from a peer
  run();
  EXPECT_TRUE(opensVaultFlow(1, 40001));
}

// The first balancer has read the copy, the second one has started from it.
TEST_F(RestoredStoreTest, AgentsReturnPacketsOfTheBalancerWithTheNewestRoutes) {
  setRoutes(0, 4, InCopy);
  Sim.restartBalancer(1);
  Sim.listAll();
  setRoutes(1, 4, InCopy);
  run();
  EXPECT_TRUE(opensVaultFlow(0, 40001));
}

TEST_F(RestoredStoreTest, AgentsAcceptPacketsOfABalancerInAnEarlierEra) {
  setRoutes(0, 5, WrittenAgain);
  run();
  EXPECT_TRUE(opensVaultFlow(0, 40001));
  EXPECT_FALSE(opensVaultFlow(1, 40002));
  ASSERT_FALSE(Sim.NewerRoutes.empty());
  EXPECT_EQ(Sim.NewerRoutes.back().first, WrittenAgain);
}

// The agent started behind the copy; the second balancer has not read its entry
// before the return.
TEST_F(RestoredStoreTest, FlowOfAnAgentThatTheCopyLacksIsReset) {
  const FlowKey Flow = Simulation::flow(40001, VaultAddress);
  const std::vector<AgentEntry> Copy = {
      {Sim.Agents[0].Address, std::string(Shop), "a"},
      {Sim.Agents[1].Address, std::string(Vault), "a"}};
  Sim.sendHeartbeat(1, true);
  const size_t Added = Sim.addAgent(Vault);
  Sim.Balancers[0].Core->applyAgentEntry(
      {Sim.Agents[Added].Address, std::string(Vault), "a"}, Sim.Now);
  Sim.sendHeartbeat(Added);
  Sim.run(milliseconds(1000));
  Sim.sendHeartbeat(Added);
  Sim.openAndRequest(0, Flow);
  ASSERT_EQ(Sim.holder(Flow), static_cast<int>(Added));
  Sim.Balancers[1].Core->onStoreRestored(Sim.Now);
  Sim.Balancers[1].Core->setAgentEntries(Copy, Sim.Now);
  for (int I = 0; I < 4; ++I) {
    Sim.send(1, Flow);
    Sim.run(milliseconds(500));
  }
  Sim.Balancers[1].Core->applyAgentEntry(
      {Sim.Agents[Added].Address, std::string(Vault), "a"}, Sim.Now);
  Sim.run(milliseconds(100));
  Sim.send(1, Flow);
  Sim.run(milliseconds(500));
  EXPECT_TRUE(Sim.Resets.empty());
  EXPECT_EQ(Sim.count(DecisionKind::Found), 1U);
}

} // namespace
} // namespace burdockstream::flows::test
