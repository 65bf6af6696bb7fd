// Flows whose route was changed to another service after they opened. They stay
// at their target, regardless of which processes know the earlier route.
#include "FlowFixture.h"

#include <gtest/gtest.h>

namespace burdockstream::flows::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class MovedRouteTest : public ::testing::Test {
protected:
  void SetUp() override {
    for (int I = 0; I < 2; ++I)
      Sim.addBalancer();
    for (int I = 0; I < 3; ++I)
      Sim.addAgent();
    for (int I = 0; I < 3; ++I)
      Sim.addAgent(Vault);
    sendRouteTo(Shop);
    Sim.listAll();
    settle();
  }

  // Applies the next configuration, in which the route leads to Service.
  void sendRouteTo(std::string_view Service) {
    Routes = {{ShopAddress, std::string(Service)}};
    applyRoutes();
  }

  void dropRoute() {
    Routes = {{VaultAddress, std::string(Vault)}};
    applyRoutes();
  }

  void applyRoutes() {
    ++Revision;
    for (size_t I = 0; I < Sim.Balancers.size(); ++I)
      Sim.setRoutes(I, Revision, Routes);
  }

  // The new processes get only the newest routes and the list of agents.
  void restartBalancers() {
    for (size_t I = 0; I < Sim.Balancers.size(); ++I) {
      Sim.restartBalancer(I);
      Sim.setRoutes(I, Revision, Routes);
    }
    Sim.listAll();
  }

  void settle() {
    for (int I = 0; I < 3; ++I) {
      Sim.sendHeartbeats();
      Sim.run(milliseconds(500));
    }
    Sim.sendHeartbeats();
  }

  size_t open(const FlowKey &Flow) {
    Sim.open(0, Flow);
    Sim.send(0, Flow);
    return static_cast<size_t>(Sim.holder(Flow));
  }

  // Sends a request through each balancer; it must reach the target Holder.
  void expectServed(const FlowKey &Flow, size_t Holder) {
    for (size_t I = 0; I < Sim.Balancers.size(); ++I) {
      const size_t Before = Sim.Agents[Holder].Target.Requests;
      Sim.send(I, Flow);
      Sim.run(milliseconds(300));
      EXPECT_EQ(Sim.Agents[Holder].Target.Requests, Before + 1)
          << "balancer " << I;
    }
    EXPECT_TRUE(Sim.Resets.empty());
  }

  Simulation Sim;
  base::Revision Revision = 10;
  std::map<base::SocketAddress, std::string> Routes;
};

// Guards against the reset of an open flow by a balancer that was started after
// the change of the route.
TEST_F(MovedRouteTest, ABalancerThatStartsAfterTheMoveFindsTheFlow) {
  const FlowKey Flow = Simulation::flow(40001);
  const size_t Holder = open(Flow);
  sendRouteTo(Vault);
  restartBalancers();
  settle();
  expectServed(Flow, Holder);
}

// The same for a route that is changed and changed back, so that flows of one
// address are open at targets of both services.
TEST_F(MovedRouteTest, FlowsOfBothServicesStayAfterAMoveThereAndBack) {
  const FlowKey First = Simulation::flow(40001);
  const FlowKey Second = Simulation::flow(40002);
  const size_t AtShop = open(First);
  sendRouteTo(Vault);
  settle();
  const size_t AtVault = open(Second);
  ASSERT_GE(AtVault, 3U);
  sendRouteTo(Shop);
  restartBalancers();
  settle();
  expectServed(First, AtShop);
  expectServed(Second, AtVault);
}

// Guards against a reset when one configuration removes the route and a later
// one adds it again for another service.
TEST_F(MovedRouteTest, AFlowIsFoundWhenItsRouteComesBack) {
  const FlowKey Flow = Simulation::flow(40001);
  const size_t Holder = open(Flow);
  dropRoute();
  settle();
  sendRouteTo(Vault);
  settle();
  expectServed(Flow, Holder);
}

// Guards against a reset when no balancer and no agent has any state. Only the
// targets know the flow; those that do not hold it return its packets.
TEST_F(MovedRouteTest, AFlowIsFoundAfterAllProcessesRestart) {
  const FlowKey Flow = Simulation::flow(40001);
  const size_t Holder = open(Flow);
  sendRouteTo(Vault);
  restartBalancers();
  for (size_t I = 0; I < Sim.Agents.size(); ++I)
    Sim.restartAgent(I);
  settle();
  expectServed(Flow, Holder);
}

// Guards against a reset while the agent of a former target restarts and cannot
// answer, and no other process knows the flow.
TEST_F(MovedRouteTest, NoResetWhileTheAgentOfTheFormerTargetRestarts) {
  const FlowKey Flow = Simulation::flow(40001);
  const size_t Holder = open(Flow);
  sendRouteTo(Vault);
  restartBalancers();
  settle();
  Sim.Agents[Holder].Core->startLeaving(Sim.Now);
  Sim.run(milliseconds(200));
  Sim.Agents[Holder].Running = false;
  for (int I = 0; I < 8; ++I) {
    Sim.send(1, Flow);
    Sim.run(milliseconds(300));
    Sim.sendHeartbeats();
  }
  EXPECT_TRUE(Sim.Resets.empty());
  Sim.restartAgent(Holder);
  settle();
  expectServed(Flow, Holder);
}

// Guards against a reset by a balancer that cannot reach the store.
TEST_F(MovedRouteTest, NoResetWhileTheStoreIsAway) {
  const FlowKey Flow = Simulation::flow(40001);
  const size_t Holder = open(Flow);
  sendRouteTo(Vault);
  restartBalancers();
  for (SimulatedBalancer &Place : Sim.Balancers)
    Place.Core->setStoreFresh(false);
  settle();
  expectServed(Flow, Holder);
  Sim.send(0, Simulation::flow(40009));
  Sim.run(milliseconds(300));
  EXPECT_TRUE(Sim.Resets.empty()) << "reset without a settled list of agents";
}

// Guards against a client that waits for its time limit although its target, of
// the former service, has ended.
TEST_F(MovedRouteTest, AFlowOfAFormerTargetThatEndedIsReset) {
  const FlowKey Flow = Simulation::flow(40001);
  const size_t Holder = open(Flow);
  sendRouteTo(Vault);
  restartBalancers();
  settle();
  Sim.Agents[Holder].Core->onProbe(ProbeResult::NoProcess, Sim.Now, Sim.Now);
  Sim.Agents[Holder].Target.Held.clear();
  Sim.Resets.clear(); // the agent has reset the flows that it knew
  Sim.run(milliseconds(100));
  Sim.send(1, Flow);
  Sim.run(milliseconds(100));
  EXPECT_EQ(Sim.Resets.size(), 1U);
}

// Guards against searches that ask more agents than needed: for a flow held by
// a preferred target only these are asked, and all agents only before a reset.
TEST_F(MovedRouteTest, OtherServicesAreAskedOnlyBeforeAReset) {
  const FlowKey Flow = Simulation::flow(40001);
  open(Flow);
  size_t Asked = 0;
  Sim.DropsFrame = [&](base::SocketAddress, FrameKind Kind) {
    Asked += Kind == FrameKind::Search ? 1 : 0;
    return false;
  };
  Sim.send(1, Flow);
  EXPECT_EQ(Asked, 3U);
  Asked = 0;
  Sim.send(1, Simulation::flow(40002));
  EXPECT_EQ(Asked, Sim.Agents.size());
  EXPECT_EQ(Sim.Resets.size(), 1U);
}

} // namespace
} // namespace burdockstream::flows::test
