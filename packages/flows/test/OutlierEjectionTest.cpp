// Targets that fail requests: when they are ejected, and where flows go.
#include "FlowFixture.h"

#include "burdockstream/flows/OutlierEjection.h"

#include <gtest/gtest.h>

namespace burdockstream::flows::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against an ejection for single failures between answers, which any
// target has.
TEST(OutlierEjectionTest, OnlyConsecutiveFailuresEject) {
  OutlierEjection Ejection;
  const base::TimePoint Now(seconds(100));
  for (int I = 0; I < 10; ++I) {
    for (uint32_t Failure = 1; Failure < FailuresToEject; ++Failure)
      EXPECT_FALSE(Ejection.recordFailure(Now));
    Ejection.recordAnswer();
  }
  EXPECT_EQ(Ejection.remaining(Now), base::Duration(0));
}

// Guards against a target that fails and recovers in turns, and gets flows at
// each turn.
TEST(OutlierEjectionTest, RepeatedEjectionsLastLonger) {
  OutlierEjection Ejection;
  base::TimePoint Now(seconds(100));
  for (uint32_t Failure = 1; Failure < FailuresToEject; ++Failure)
    EXPECT_FALSE(Ejection.recordFailure(Now));
  EXPECT_TRUE(Ejection.recordFailure(Now));
  for (base::Duration Expected = MinEjectionTime; Expected <= MaxEjectionTime;
       Expected *= 2) {
    ASSERT_EQ(Ejection.remaining(Now), Expected);
    EXPECT_FALSE(Ejection.recordFailure(Now)) << "it is ejected already";
    Now += Expected + seconds(1);
    Ejection.recordAnswer();
    EXPECT_TRUE(Ejection.recordFailure(Now)) << "one failure must suffice";
  }
  EXPECT_EQ(Ejection.remaining(Now), MaxEjectionTime);
  Now += MaxEjectionTime + EjectionMemory + seconds(1);
  EXPECT_FALSE(Ejection.recordFailure(Now)) << "old ejections still count";
}

// Replays a target that accepts flows and resets each request, while the others
// serve. Its work in progress is always zero.
class FailingTargetTest : public ::testing::Test {
protected:
  static constexpr int Targets = 6;
  static constexpr int Requests = 600;

  void SetUp() override {
    Sim.addBalancer();
    for (int I = 0; I < Targets; ++I)
      Sim.addAgent();
    Sim.setRoutes(0, 10, {{ShopAddress, std::string(Shop)}});
    Sim.listAll();
    Sim.sendHeartbeats();
    Sim.run(seconds(1));
    Sim.sendHeartbeats();
  }

  // Sends 100 requests a second, each on a flow of its own, and returns how
  // many are reset.
  size_t resets() {
    for (uint16_t Port = 1; Port <= Requests; ++Port) {
      Sim.openAndRequest(0, Simulation::flow(Port));
      if (Port % 5 == 0)
        Sim.run(Tick);
      if (Port % 100 == 0)
        Sim.sendHeartbeats();
    }
    size_t Count = 0;
    for (const SimulatedAgent &Each : Sim.Agents)
      Count += Each.Target.Aborted;
    return Count;
  }

  Simulation Sim;
};

// Guards against a failing target that attracts flows because it has no work.
TEST_F(FailingTargetTest, LosesFewRequests) {
  Sim.Agents[2].Target.Aborts = true;
  EXPECT_LE(resets(), 3 * FailuresToEject);
}

// Guards against a refusal of all requests if most targets fail for a time.
TEST_F(FailingTargetTest, AreUsedIfMostAreEjected) {
  for (size_t I = 1; I < Targets; ++I)
    Sim.Agents[I].Target.Aborts = true;
  resets();
  EXPECT_EQ(Sim.count(DecisionKind::RefusedNoTarget), 0U);
  EXPECT_LT(Sim.Agents[0].Target.Opened.size(), size_t{Requests} / 2)
      << "one target got the flows of all";
}

} // namespace
} // namespace burdockstream::flows::test
