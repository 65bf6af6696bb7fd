// Which heartbeats an agent accepts, and what it concludes from them about the
// target's flows.
#include "FlowFixture.h"

#include <gtest/gtest.h>
#include <limits>

namespace burdockstream::flows::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int64_t TooLargeStart = std::numeric_limits<int64_t>::max();
constexpr uint64_t TooLargeSequence = std::numeric_limits<int64_t>::max();

class HeartbeatFilterTest : public ::testing::Test {
protected:
  void SetUp() override {
    Sim.addBalancer();
    Sim.addAgent();
    Sim.setRoutes(0, 10, {{ShopAddress, std::string(Shop)}});
    Sim.listAll();
    runWithHeartbeats(seconds(12));
    Sim.openAndRequest(0, Simulation::flow(1));
    ASSERT_EQ(Sim.holder(Simulation::flow(1)), 0);
  }

  SimulatedAgent &agent() { return Sim.Agents[0]; }

  void runWithHeartbeats(base::Duration Time) {
    for (; Time > seconds(0); Time -= milliseconds(1200)) {
      Sim.sendHeartbeat(0);
      Sim.run(std::min<base::Duration>(Time, milliseconds(1200)));
    }
  }

  // A heartbeat like the target's next one.
  Heartbeat next() {
    Heartbeat Beat;
    Beat.TargetId = "i-0";
    Beat.Service = Shop;
    Beat.Address = {agent().Address.Ip, 8080};
    Beat.StartedAtMs = agent().StartedAtMs;
    Beat.Sequence = agent().HeartbeatsSent + 1;
    return Beat;
  }

  void deliver(const Heartbeat &Beat) {
    agent().Core->onHeartbeat(Beat, Sim.Now);
  }

  // Whether the target gets a new flow.
  bool opens(uint16_t Port) {
    Sim.run(milliseconds(300));
    Sim.sendHeartbeat(0);
    Sim.open(0, Simulation::flow(Port));
    return Sim.holder(Simulation::flow(Port)) == 0;
  }

  Simulation Sim;
};

// Guards against a number that is higher than that of all valid heartbeats.
TEST_F(HeartbeatFilterTest, ASequenceThatIsTooLargeDoesNotOutrankForGood) {
  Heartbeat Odd = next();
  Odd.Sequence = TooLargeSequence;
  deliver(Odd);
  EXPECT_TRUE(Sim.Resets.empty());
  runWithHeartbeats(seconds(5));
  EXPECT_TRUE(opens(2));
  EXPECT_TRUE(Sim.Resets.empty());
  Sim.send(0, Simulation::flow(1));
  EXPECT_TRUE(Sim.Resets.empty());
}

// Guards against a start that is later than that of all valid runs, and against
// the reset of the flows of the run that it seems to replace.
TEST_F(HeartbeatFilterTest, AStartInTheFutureDoesNotReplaceARunThatIsAlive) {
  Heartbeat Odd = next();
  Odd.TargetId = "i-odd";
  Odd.StartedAtMs = TooLargeStart;
  Odd.StartsInFuture = true;
  deliver(Odd);
  EXPECT_TRUE(Sim.Resets.empty());
  EXPECT_TRUE(opens(2));
}

TEST_F(HeartbeatFilterTest, AStartInTheFutureThatIsHeardFirstIsReplaced) {
  Sim.restartAgent(0);
  Heartbeat Odd = next();
  Odd.StartedAtMs = TooLargeStart;
  Odd.StartsInFuture = true;
  Odd.Sequence = TooLargeSequence;
  deliver(Odd);
  runWithHeartbeats(seconds(5));
  EXPECT_TRUE(opens(2));
  Sim.send(0, Simulation::flow(1));
  EXPECT_TRUE(Sim.Resets.empty());
}

// Guards against a valid target that is left out because its clock is ahead.
TEST_F(HeartbeatFilterTest, AStartInTheFutureIsUsedOnceTheEarlierRunIsSilent) {
  Sim.run(seconds(3));
  agent().Target.Held.clear();
  agent().StartedAtMs += 1'000'000;
  agent().HeartbeatsSent = 0;
  Heartbeat New = next();
  New.StartsInFuture = true;
  deliver(New);
  EXPECT_EQ(agent().Core->state(), TargetState::Ready);
}

// Guards against a delayed heartbeat of an earlier run that takes over because
// the target's own are missing for a moment.
TEST_F(HeartbeatFilterTest, SingleHeartbeatsOfAnEarlierRunDoNotTakeOver) {
  Heartbeat Late = next();
  Late.StartedAtMs -= 500;
  Sim.run(seconds(3)); // the recorded run is silent
  for (int I = 0; I < 3; ++I) {
    ++Late.Sequence;
    EXPECT_EQ(agent().Core->onHeartbeat(Late, Sim.Now), HeartbeatVerdict::Late);
  }
  Sim.sendHeartbeat(0);
  EXPECT_EQ(agent().Core->state(), TargetState::Ready);
}

// Guards against the reset of flows that the target holds: a heartbeat of its
// earlier run, delayed on its way, is the first that a restarted agent gets.
TEST_F(HeartbeatFilterTest, ALateHeartbeatAfterARestartDoesNotEndTheRun) {
  Sim.restartAgent(0);
  Heartbeat Late = next();
  Late.StartedAtMs -= 500;
  Late.Sequence = 1;
  deliver(Late);
  Sim.sendHeartbeat(0);
  Sim.send(0, Simulation::flow(1)); // delivered, and known from its answer
  ASSERT_EQ(agent().Core->flows(), 1U);
  EXPECT_TRUE(Sim.Resets.empty());
  Sim.restartBalancer(0);
  Sim.setRoutes(0, 10, {{ShopAddress, std::string(Shop)}});
  Sim.listAll();
  runWithHeartbeats(seconds(2));
  Sim.send(0, Simulation::flow(1));
  Sim.run(milliseconds(300));
  EXPECT_TRUE(Sim.Resets.empty());
}

// The same with flows that the restarted agent has no record of.
TEST_F(HeartbeatFilterTest, ALateFirstHeartbeatIsNoProofOfAllFlows) {
  Sim.restartAgent(0);
  Heartbeat Late = next();
  Late.StartedAtMs -= 500;
  Late.Sequence = 1;
  deliver(Late);
  Sim.sendHeartbeat(0);
  Sim.restartBalancer(0);
  Sim.setRoutes(0, 10, {{ShopAddress, std::string(Shop)}});
  Sim.listAll();
  runWithHeartbeats(seconds(2));
  Sim.send(0, Simulation::flow(1));
  Sim.run(milliseconds(300));
  EXPECT_TRUE(Sim.Resets.empty());
}

// Guards against the reset of all flows by a health check that was refused
// before the target started.
TEST_F(HeartbeatFilterTest, AHealthCheckFromBeforeAHeartbeatEndsNothing) {
  const base::TimePoint StartedAt = Sim.Now - milliseconds(100);
  Sim.sendHeartbeat(0);
  agent().Core->onProbe(ProbeResult::NoProcess, StartedAt, Sim.Now);
  EXPECT_TRUE(Sim.Resets.empty());
  EXPECT_EQ(agent().Core->state(), TargetState::Ready);
}

// Guards against the end of a run by the deregistration of a former one with
// the same id, which a partition has delayed and which names no start
// (review/14).
TEST_F(HeartbeatFilterTest, ALateDeregistrationEndsNoLaterRun) {
  const int Probes = agent().Probes;
  EXPECT_EQ(agent().Core->onDeregister("i-0", 0, Sim.Now),
            EndVerdict::Unproven);
  EXPECT_EQ(agent().Core->state(), TargetState::Silent); // no new flows
  EXPECT_EQ(agent().Probes, Probes + 1);
  agent().Core->onProbe(ProbeResult::Healthy, Sim.Now, Sim.Now);
  for (size_t I = 0; I < Sim.Balancers.size(); ++I)
    Sim.send(I, Simulation::flow(1));
  runWithHeartbeats(milliseconds(300));
  EXPECT_EQ(agent().Core->state(), TargetState::Ready);
  EXPECT_TRUE(opens(2));
  EXPECT_TRUE(Sim.Resets.empty());
}

// Guards against flows to a target that has ended, if its announcements of that
// do not name its start.
TEST_F(HeartbeatFilterTest, ADeregistrationWithoutAStartEndsTheRun) {
  agent().Core->onDeregister("i-0", 0, Sim.Now);
  Sim.run(milliseconds(50));
  agent().Core->onProbe(ProbeResult::NoProcess, Sim.Now, Sim.Now);
  EXPECT_EQ(agent().Core->state(), TargetState::Stopped);

  Simulation Other;
  Other.addAgent();
  Other.sendHeartbeat(0);
  Other.sendHeartbeat(0, true);
  EXPECT_EQ(Other.Agents[0].Core->onDeregister("i-0", 0, Other.Now),
            EndVerdict::Ended);
  EXPECT_EQ(Other.Agents[0].Core->state(), TargetState::Stopped);
}

// Guards against a target that is out of use for good after another writer has
// deregistered it.
TEST_F(HeartbeatFilterTest, ATargetThatGoesOnAfterItsDeregistrationIsUsed) {
  ASSERT_EQ(agent().Core->onDeregister("i-0", agent().StartedAtMs, Sim.Now),
            EndVerdict::Ended);
  runWithHeartbeats(milliseconds(1200));
  EXPECT_EQ(agent().Core->state(), TargetState::Stopped);
  runWithHeartbeats(seconds(5));
  EXPECT_TRUE(opens(2));
  EXPECT_TRUE(Sim.Resets.empty());
}

} // namespace
} // namespace burdockstream::flows::test
