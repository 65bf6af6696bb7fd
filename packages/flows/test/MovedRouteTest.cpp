// Flows whose route an operator has sent to another service since they opened.
// They stay at their target, whichever processes remember the earlier route.
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
      W.addBalancer();
    for (int I = 0; I < 3; ++I)
      W.addAgent();
    for (int I = 0; I < 3; ++I)
      W.addAgent(Vault);
    sendRouteTo(Shop);
    W.listAll();
    settle();
  }

  // Writes the next configuration, which sends the route to Service.
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
    for (size_t I = 0; I < W.Balancers.size(); ++I)
      W.setRoutes(I, Revision, Routes);
  }

  // The new process learns the newest routes and the list, and no more.
  void restartBalancers() {
    for (size_t I = 0; I < W.Balancers.size(); ++I) {
      W.restartBalancer(I);
      W.setRoutes(I, Revision, Routes);
    }
    W.listAll();
  }

  void settle() {
    for (int I = 0; I < 3; ++I) {
      W.beatAll();
      W.run(milliseconds(500));
    }
    W.beatAll();
  }

  size_t open(const FlowKey &Flow) {
    W.open(0, Flow);
    W.send(0, Flow);
    return static_cast<size_t>(W.holder(Flow));
  }

  // Sends a request by each balancer; it must reach the target Holder.
  void expectServed(const FlowKey &Flow, size_t Holder) {
    for (size_t I = 0; I < W.Balancers.size(); ++I) {
      const size_t Before = W.Agents[Holder].Target.Requests;
      W.send(I, Flow);
      W.run(milliseconds(300));
      EXPECT_EQ(W.Agents[Holder].Target.Requests, Before + 1)
          << "balancer " << I;
    }
    EXPECT_TRUE(W.Resets.empty());
  }

  World W;
  base::Revision Revision = 10;
  std::map<base::SocketAddress, std::string> Routes;
};

// Guards against the reset of an open flow by a balancer that was added or
// restarted after the route had moved.
TEST_F(MovedRouteTest, ABalancerThatStartsAfterTheMoveFindsTheFlow) {
  const FlowKey Flow = World::flow(40001);
  const size_t Holder = open(Flow);
  sendRouteTo(Vault);
  restartBalancers();
  settle();
  expectServed(Flow, Holder);
}

// The same for a route that moves there and back, so that flows of one address
// are open at targets of both services.
TEST_F(MovedRouteTest, FlowsOfBothServicesStayAfterAMoveThereAndBack) {
  const FlowKey First = World::flow(40001);
  const FlowKey Second = World::flow(40002);
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

// Guards against a reset when a configuration drops the route and a later one
// brings it back for another service.
TEST_F(MovedRouteTest, AFlowIsFoundWhenItsRouteComesBack) {
  const FlowKey Flow = World::flow(40001);
  const size_t Holder = open(Flow);
  dropRoute();
  settle();
  sendRouteTo(Vault);
  settle();
  expectServed(Flow, Holder);
}

// The hardest case: no balancer and no agent remembers anything. Only the
// target knows, and returns what it does not hold.
TEST_F(MovedRouteTest, AFlowIsFoundAfterAllProcessesRestart) {
  const FlowKey Flow = World::flow(40001);
  const size_t Holder = open(Flow);
  sendRouteTo(Vault);
  restartBalancers();
  for (size_t I = 0; I < W.Agents.size(); ++I)
    W.restartAgent(I);
  settle();
  expectServed(Flow, Holder);
}

// Guards against a reset while the agent of a former target restarts: it cannot
// answer, and nobody else knows.
TEST_F(MovedRouteTest, NoResetWhileTheAgentOfTheFormerTargetRestarts) {
  const FlowKey Flow = World::flow(40001);
  const size_t Holder = open(Flow);
  sendRouteTo(Vault);
  restartBalancers();
  settle();
  W.Agents[Holder].Core->beginLeaving(W.Now);
  W.run(milliseconds(200));
  W.Agents[Holder].Running = false;
  for (int I = 0; I < 8; ++I) {
    W.send(1, Flow);
    W.run(milliseconds(300));
    W.beatAll();
  }
  EXPECT_TRUE(W.Resets.empty());
  W.restartAgent(Holder);
  settle();
  expectServed(Flow, Holder);
}

// Guards against a reset by a balancer that is alone with the store away.
TEST_F(MovedRouteTest, NoResetWhileTheStoreIsAway) {
  const FlowKey Flow = World::flow(40001);
  const size_t Holder = open(Flow);
  sendRouteTo(Vault);
  restartBalancers();
  for (BalancerPlace &Place : W.Balancers)
    Place.Core->setStoreFresh(false);
  settle();
  expectServed(Flow, Holder);
  W.send(0, World::flow(40009));
  W.run(milliseconds(300));
  EXPECT_TRUE(W.Resets.empty()) << "an unsettled view proves nothing";
}

// Guards against a client that waits for its time limit although its target,
// of the former service, has ended.
TEST_F(MovedRouteTest, AFlowOfAFormerTargetThatEndedIsReset) {
  const FlowKey Flow = World::flow(40001);
  const size_t Holder = open(Flow);
  sendRouteTo(Vault);
  restartBalancers();
  settle();
  W.Agents[Holder].Core->onProbe(ProbeResult::NoProcess, W.Now);
  W.Agents[Holder].Target.Held.clear();
  W.Resets.clear(); // the agent has reset what it knew to be open
  W.run(milliseconds(100));
  W.send(1, Flow);
  W.run(milliseconds(100));
  EXPECT_EQ(W.Resets.size(), 1U);
}

// The price of certainty: a flow that nobody holds costs a frame to each agent,
// one that a likely target holds costs frames to those only.
TEST_F(MovedRouteTest, OtherServicesAreAskedOnlyBeforeAReset) {
  const FlowKey Flow = World::flow(40001);
  open(Flow);
  size_t Asked = 0;
  W.Loses = [&](base::SocketAddress, FrameKind Kind) {
    Asked += Kind == FrameKind::Search ? 1 : 0;
    return false;
  };
  W.send(1, Flow);
  EXPECT_EQ(Asked, 3U);
  Asked = 0;
  W.send(1, World::flow(40002));
  EXPECT_EQ(Asked, W.Agents.size());
  EXPECT_EQ(W.Resets.size(), 1U);
}

} // namespace
} // namespace burdockstream::flows::test
