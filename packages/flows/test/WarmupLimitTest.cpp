// The limit of new flows at targets that are warming up.
#include "FlowFixture.h"

#include <algorithm>
#include <gtest/gtest.h>

namespace burdockstream::flows::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against a burst across the border of two fixed windows.
TEST(WarmupLimitTest, HoldsForAnySpan) {
  WarmupLimit Limit;
  Limit.set(3);
  std::vector<base::TimePoint> Admitted;
  for (base::TimePoint Now(seconds(1)); Now < base::TimePoint(seconds(6));
       Now += milliseconds(Now.time_since_epoch().count() % 7 + 1))
    if (Limit.admits(Now)) {
      Limit.record(Now);
      Admitted.push_back(Now);
    }
  for (size_t I = 3; I < Admitted.size(); ++I)
    EXPECT_GT(Admitted[I] - Admitted[I - 3], WarmupWindow);
  EXPECT_GE(Admitted.size(), 12U) << "it admits less than the limit";
}

// Two failure domains with a balancer and two targets each. Flows open at 60 a
// second, and targets in warm-up can take 5 each.
class WarmupTest : public ::testing::Test {
protected:
  static constexpr uint32_t Limit = 5;

  void SetUp() override {
    for (const char *Domain : {"a", "b"}) {
      Sim.addBalancer(Domain);
      Sim.addAgent(Shop, Domain);
      Sim.addAgent(Shop, Domain);
    }
    Sim.WarmupFlowsPerSecond[base::serviceIdOf(std::string(Shop))] = Limit;
    for (size_t I = 0; I < 2; ++I)
      Sim.setRoutes(I, 10, {{ShopAddress, std::string(Shop)}});
    Sim.listAll();
    Sim.sendHeartbeats();
    Sim.run(seconds(1));
    Sim.sendHeartbeats();
  }

  // Opens flows for one second and returns the largest number that one target
  // of domain a got.
  size_t busiestOfA() {
    const size_t First = opened(0);
    const size_t Second = opened(1);
    for (int I = 0; I < 20; ++I) {
      for (size_t Balancer : {0, 1, 0})
        Sim.openAndRequest(Balancer, Simulation::flow(NextPort++));
      Sim.run(Tick);
    }
    Sim.sendHeartbeats();
    return std::max(opened(0) - First, opened(1) - Second);
  }

  size_t opened(size_t Agent) const {
    return Sim.Agents[Agent].Target.Opened.size();
  }

  void evacuate(base::Revision Revision, bool Evacuated) {
    Sim.Balancers[0].Core->applyEvacuation("a", {Revision, Evacuated}, Sim.Now);
    Sim.run(Tick);
  }

  uint16_t NextPort = 1;
  Simulation Sim;
};

// Guards against too many flows at a target that has just started.
TEST_F(WarmupTest, ATargetInWarmUpGetsNoMoreThanItsLimit) {
  ASSERT_GT(busiestOfA(), Limit);
  for (size_t I = 0; I < 2; ++I)
    Sim.Agents[I].WarmupMs = 2000;
  Sim.sendHeartbeats();
  EXPECT_LE(busiestOfA(), Limit);
  EXPECT_GT(busiestOfA(), 0U);
  for (size_t I = 0; I < 2; ++I)
    Sim.Agents[I].WarmupMs = 0;
  Sim.sendHeartbeats();
  EXPECT_GT(busiestOfA(), Limit) << "the warm-up has ended";
  EXPECT_EQ(Sim.count(DecisionKind::RefusedNoTarget), 0U);
}

// Guards against a burst when a failure domain opens again: its targets may
// have to warm up, and their next heartbeats come a second later.
TEST_F(WarmupTest, ADomainThatOpensAgainStartsSlowly) {
  evacuate(20, true);
  Sim.run(seconds(1));
  Sim.sendHeartbeats();
  evacuate(21, false);
  EXPECT_LE(busiestOfA(), Limit);
}

// Guards against an agent that does not know the limit after a restart, and
// against one that keeps a limit which operators have removed.
TEST_F(WarmupTest, AgentsLearnTheLimitFromBalancers) {
  Sim.restartAgent(0);
  Sim.Agents[0].WarmupMs = 2000;
  Sim.sendHeartbeats();
  Sim.run(seconds(1));
  Sim.sendHeartbeats();
  EXPECT_LE(busiestOfA(), 60U);
  const size_t Before = opened(0);
  busiestOfA();
  EXPECT_LE(opened(0) - Before, Limit);
  Sim.WarmupFlowsPerSecond.clear();
  for (size_t I = 0; I < 2; ++I)
    Sim.setRoutes(I, 11, {{ShopAddress, std::string(Shop)}});
  Sim.run(seconds(1));
  Sim.sendHeartbeats();
  const size_t Limited = opened(0);
  busiestOfA();
  EXPECT_GT(opened(0) - Limited, Limit);
}

} // namespace
} // namespace burdockstream::flows::test
