// Flows that are idle for as long as the configuration allows.
#include "FlowFixture.h"

#include <gtest/gtest.h>

namespace burdockstream::flows::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::TimePoint Start{seconds(100)};
constexpr base::Revision Revision = 10;

// Guards against records that are dropped while the target may hold the flow.
TEST(RecordRetentionTest, FollowsTheIdleTimeout) {
  for (const seconds Timeout : {seconds(15), seconds(60), seconds(300)}) {
    RecordRetention Retention;
    Retention.setIdleTimeout(Timeout, Revision, Start);
    base::TimePoint LastAging = Start;
    for (base::TimePoint Now = Start; Now < Start + seconds(2000);
         Now += milliseconds(50))
      if (Retention.isAgingDue(100, Now)) {
        EXPECT_GE(Now - LastAging, std::max(Timeout, seconds(30)));
        LastAging = Now;
        Retention.recordAging(true, Now);
        EXPECT_TRUE(Retention.coversAllFlows(Now));
      }
  }
}

// Guards against a denial of flows that were dropped by the timeout before.
TEST(RecordRetentionTest, ARaisedTimeoutMakesEarlierDropsUncertain) {
  RecordRetention Retention;
  Retention.setIdleTimeout(seconds(15), Revision, Start);
  Retention.recordAging(true, Start + seconds(30));
  const base::TimePoint Raised = Start + seconds(40);
  Retention.setIdleTimeout(seconds(60), Revision + 1, Raised);
  EXPECT_FALSE(Retention.coversAllFlows(Raised));
  EXPECT_FALSE(Retention.isAgingDue(100, Raised + seconds(59)));
  EXPECT_FALSE(Retention.coversAllFlows(Start + seconds(90)));
  EXPECT_TRUE(Retention.coversAllFlows(Start + seconds(91)));
}

TEST(RecordRetentionTest, ALoweredOrUnchangedTimeoutLeavesItCertain) {
  RecordRetention Retention;
  Retention.setIdleTimeout(seconds(60), Revision, Start);
  Retention.recordAging(true, Start + seconds(60));
  Retention.setIdleTimeout(seconds(15), Revision + 1, Start + seconds(61));
  EXPECT_TRUE(Retention.coversAllFlows(Start + seconds(61)));
  // From a balancer that is behind, and from one of a former build.
  Retention.setIdleTimeout(seconds(600), Revision, Start + seconds(62));
  Retention.setIdleTimeout(seconds(0), Revision + 2, Start + seconds(62));
  EXPECT_TRUE(Retention.coversAllFlows(Start + seconds(62)));
  EXPECT_TRUE(Retention.isAgingDue(100, Start + seconds(92)));
}

// Guards against records without a bound, and against denials beyond it.
TEST(RecordRetentionTest, TooManyRecordsAreDroppedAndNotDenied) {
  RecordRetention Retention;
  Retention.setIdleTimeout(seconds(60), Revision, Start);
  Retention.recordAging(false, Start);
  const base::TimePoint Now = Start + seconds(5);
  EXPECT_FALSE(Retention.isAgingDue(MaxFlowRecords, Now));
  EXPECT_TRUE(Retention.isAgingDue(MaxFlowRecords + 1, Now));
  Retention.recordAging(true, Now);
  EXPECT_FALSE(Retention.coversAllFlows(Now + seconds(60)));
  EXPECT_TRUE(Retention.coversAllFlows(Now + seconds(61)));
}

// Guards against denials by an agent that no balancer has told the timeout, as
// beside balancers of former builds.
TEST(RecordRetentionTest, WithoutATimeoutDroppedFlowsAreNotDenied) {
  RecordRetention Retention;
  Retention.recordAging(true, Start);
  EXPECT_FALSE(Retention.coversAllFlows(Start + MaxRecordRetention));
  EXPECT_TRUE(
      Retention.coversAllFlows(Start + MaxRecordRetention + seconds(1)));
}

class IdleFlowTest : public ::testing::Test {
protected:
  void SetUp() override {
    for (size_t I = 0; I < 2; ++I) {
      Sim.addBalancer();
      setTimeout(I, 10, seconds(60));
    }
    Sim.addAgent();
    Sim.addAgent();
    Sim.listAll();
    run(seconds(2));
  }

  void setTimeout(size_t Balancer, base::Revision Routes,
                  base::Duration Timeout) {
    Sim.IdleTimeout = Timeout;
    Sim.RoutesVersion = static_cast<uint64_t>(Routes);
    Sim.setRoutes(Balancer, Routes, {{ShopAddress, std::string(Shop)}});
  }

  void run(base::Duration Time) {
    for (base::Duration Done{0}; Done < Time; Done += seconds(1)) {
      Sim.sendHeartbeats();
      Sim.run(seconds(1));
    }
  }

  // Opens flows, one a second, so that their records have any age at a drop.
  void openFlows() {
    for (uint16_t Port = 1; Port <= Flows; ++Port) {
      Sim.openAndRequest(0, Simulation::flow(Port));
      run(seconds(1));
    }
  }

  // The first balancer is replaced by a new process, and clients go on.
  void expectAllServedAfterRestart() {
    Sim.restartBalancer(0);
    setTimeout(0, 12, Sim.IdleTimeout);
    Sim.listAll();
    run(seconds(2));
    const size_t Before = requests();
    for (uint16_t Port = 1; Port <= Flows; ++Port)
      Sim.send(0, Simulation::flow(Port));
    run(seconds(2));
    EXPECT_TRUE(Sim.Resets.empty()) << Sim.Resets.size();
    EXPECT_EQ(requests(), Before + Flows);
  }

  size_t requests() const {
    return Sim.Agents[0].Target.Requests + Sim.Agents[1].Target.Requests;
  }

  static constexpr uint16_t Flows = 8;
  Simulation Sim;
};

// Guards against the reset of idle flows after the planned restart of a
// balancer, since their agents have dropped the records (review/2).
TEST_F(IdleFlowTest, FlowsIdleWithinTheTimeoutAreFound) {
  openFlows();
  run(seconds(50));
  expectAllServedAfterRestart();
}

TEST_F(IdleFlowTest, FlowsIdleWithinALongTimeoutAreFound) {
  for (size_t I = 0; I < 2; ++I)
    setTimeout(I, 11, seconds(300));
  run(seconds(2));
  openFlows();
  run(seconds(270));
  expectAllServedAfterRestart();
}

// Guards against a denial by the timeout that was in force when the record was
// dropped.
TEST_F(IdleFlowTest, ARaisedTimeoutAppliesToOpenFlows) {
  for (size_t I = 0; I < 2; ++I)
    setTimeout(I, 11, seconds(15));
  run(seconds(2));
  openFlows();
  run(seconds(65)); // beyond two periods
  for (size_t I = 0; I < 2; ++I)
    setTimeout(I, 12, seconds(120));
  run(seconds(2));
  expectAllServedAfterRestart();
}

// Guards against the same while balancers do not send the timeout.
TEST_F(IdleFlowTest, FlowsAreFoundBesideFormerBalancers) {
  Sim.FormerHellos = true;
  Sim.restartAgent(0);
  Sim.restartAgent(1);
  for (SimulatedAgent &Each : Sim.Agents) {
    Each.StartedAtMs += 5000;
    Each.HeartbeatsSent = 0;
    Each.Target.Held.clear();
  }
  run(seconds(2));
  openFlows();
  run(seconds(50));
  expectAllServedAfterRestart();
}

// Bytes 6 and 7 of a hello were zero, and former agents ignore them.
TEST(IdleTimeoutInHelloTest, IsReadByBothBuilds) {
  const Hello Sent{{0x0A010203, 7720}, true, "bc-kam", milliseconds(14'001)};
  auto Body = packHello(Sent);
  const auto Read = unpackHello(Body);
  ASSERT_TRUE(Read.has_value());
  EXPECT_EQ(Read->Control, Sent.Control);
  EXPECT_EQ(Read->IdleTimeout, seconds(15));
  const std::vector<uint8_t> Expected = {0x28, 0x1e, 0x03, 0x02, 0x01,
                                         0x0a, 15,   0,    1,    'b',
                                         'c',  '-',  'k',  'a',  'm'};
  EXPECT_EQ(Body, Expected);
  // As a former agent decodes the address.
  uint64_t Packed = 0;
  for (size_t I = 0; I < 8; ++I)
    Packed |= uint64_t{Body[I]} << (8 * I);
  EXPECT_EQ(static_cast<uint32_t>(Packed >> 16), Sent.Control.Ip);
  EXPECT_EQ(static_cast<uint16_t>(Packed), Sent.Control.Port);
  Body[6] = Body[7] = 0; // of a former balancer
  EXPECT_EQ(unpackHello(Body)->IdleTimeout, seconds(0));
}

} // namespace
} // namespace burdockstream::flows::test
