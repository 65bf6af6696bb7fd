// The capacity of a service from the statuses of its targets, and reports of
// shortages, in virtual time.
#include "burdockstream/flows/ServiceCapacity.h"

#include "FlowFixture.h"

#include <gtest/gtest.h>

namespace burdockstream::flows::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const base::ServiceId ShopId = base::serviceIdOf(Shop);
constexpr base::Duration LatencyTarget = milliseconds(300);

TargetStatus status(uint32_t SlotTimeUs, uint32_t Waiting) {
  TargetStatus Result;
  Result.Service = ShopId;
  Result.FailureDomain = "a";
  Result.State = TargetState::Ready;
  Result.Slots = 2;
  Result.SlotTimeUs = SlotTimeUs;
  Result.Waiting = Waiting;
  return Result;
}

class ServiceCapacityTest : public ::testing::Test {
protected:
  void report(uint32_t Agent, TargetStatus Status) {
    Status.Sequence = ++Sequence;
    Targets.update({Agent, 7000}, Status, Now);
  }
  std::optional<ServiceCapacity> capacity() const {
    return capacityOf(Targets, ShopId, Now);
  }
  double waitMs() const {
    const auto Known = capacity();
    using Milliseconds = std::chrono::duration<double, std::milli>;
    return Known ? Milliseconds(Known->ExpectedWait).count() : -1;
  }
  // 16 targets that take 60 ms per request and 32 that take 24 ms, each with a
  // queue in proportion to its rate; only those with an even number if OnlyEven
  // is set.
  void reportUneven(bool OnlyEven) {
    for (uint32_t I = 0; I < 48; I += OnlyEven ? 2 : 1)
      report(I + 1, I % 3 == 0 ? status(60'000, 6) : status(24'000, 12));
  }

  TargetTable Targets;
  base::TimePoint Now{seconds(100)};
  uint64_t Sequence = 0;
};

// Guards against an estimate that counts a slow target as much as a fast one.
TEST_F(ServiceCapacityTest, UnevenTargetsCountByTheirRate) {
  reportUneven(false);
  const auto Known = capacity();
  ASSERT_TRUE(Known.has_value());
  EXPECT_NEAR(Known->RatePerSecond, 16 * 2 / 0.060 + 32 * 2 / 0.024, 0.1);
  EXPECT_EQ(Known->WorkAhead, 16U * 6 + 32 * 12);
  EXPECT_EQ(Known->Targets, 48U);
  EXPECT_NEAR(waitMs(), 120, 1); // 4 of 60 ms, or 10 of 24 ms, on 2 slots
}

// Guards against refusals by a balancer that gets the statuses of few targets.
TEST_F(ServiceCapacityTest, MissingStatusesDoNotChangeTheWait) {
  reportUneven(false);
  const double Complete = waitMs();
  Targets = TargetTable();
  reportUneven(true);
  EXPECT_EQ(capacity()->Targets, 24U);
  EXPECT_NEAR(waitMs(), Complete, 1);
}

// Guards against conclusions from no statuses, or from those of one target.
TEST_F(ServiceCapacityTest, ABalancerThatHasJustStartedConcludesNothing) {
  Targets.setEntries(
      {{{1, 7000}, "shopdesk", "a"}, {{2, 7000}, "shopdesk", "a"}}, Now);
  EXPECT_FALSE(capacity().has_value());
  report(1, status(30'000, 200));
  EXPECT_FALSE(capacity().has_value());
  report(2, status(30'000, 200));
  EXPECT_TRUE(capacity().has_value());
}

// Guards against counting capacity that cannot be reached, and against a wait
// that jumps when a failure domain is cut off.
TEST_F(ServiceCapacityTest, ACutOffFailureDomainLeavesBothSums) {
  const auto ReportDomain = [&](uint32_t First) {
    for (uint32_t I = 0; I < 4; ++I)
      report(First + I, status(30'000, 12));
  };
  ReportDomain(1);
  ReportDomain(11);
  const double Before = waitMs();
  const double Rate = capacity()->RatePerSecond;
  Now += StatusStaleAfter;
  ReportDomain(11);
  Now += milliseconds(1);
  EXPECT_EQ(capacity()->Targets, 4U);
  EXPECT_DOUBLE_EQ(capacity()->RatePerSecond, Rate / 2);
  EXPECT_EQ(waitMs(), Before);
  Now += StatusStaleAfter;
  EXPECT_FALSE(capacity().has_value()) << "the other one is cut off, too";
}

// Guards against refusals after a power failure: the targets are slow for the
// rest of their warm-up only, not for the whole backlog.
TEST_F(ServiceCapacityTest, TheRateRisesWhenTheWarmUpEnds) {
  TargetStatus Warming = status(48'000, 162); // 30 ms when warm
  Warming.WarmupMs = 2000;
  report(1, Warming);
  report(2, Warming);
  Now += milliseconds(800);
  EXPECT_EQ(capacity()->Warming, 2U);
  EXPECT_NEAR(capacity()->RatePerSecond, 4 / 0.048, 0.1);
  // 320 requests: 100 in the last 1.2 s of the warm-up, then 133.3 per second.
  EXPECT_NEAR(waitMs(), 1200 + 220 / 133.333 * 1000, 2);
  Now += milliseconds(1300);
  report(1, status(30'000, 162));
  report(2, status(30'000, 162));
  EXPECT_EQ(capacity()->Warming, 0U);
}

// Former builds, and targets that have answered too few requests, send no slot
// time. Guards against a wait that leaves out idle targets, and against one
// that is made up.
TEST_F(ServiceCapacityTest, AnUnknownSlotTimeCountsAsTheMedian) {
  for (uint32_t I = 1; I <= 4; ++I)
    report(I, status(0, 62));
  EXPECT_FALSE(capacity().has_value());
  report(1, status(30'000, 62));
  EXPECT_FALSE(capacity().has_value());
  report(2, status(30'000, 62));
  report(3, status(0, 0));
  report(4, status(0, 0));
  EXPECT_NEAR(waitMs(), 116 / (8 / 0.030) * 1000, 1);
}

// Guards against a held opening that is counted as waiting and as held, and
// against late ones that are not counted at all.
TEST_F(ServiceCapacityTest, CountsEachHeldOpeningOnce) {
  TargetStatus Holding = status(30'000, 6); // 2 run, 4 are held and on time
  Holding.HeldOpenings = 10;
  report(1, Holding);
  report(2, Holding);
  EXPECT_EQ(capacity()->WorkAhead, 24U);
}

// Guards against a target that fails requests at once, and so seems fast.
TEST_F(ServiceCapacityTest, LeavesOutEjectedTargets) {
  TargetStatus Failing = status(100, 0);
  Failing.EjectedMs = 1000;
  report(1, status(30'000, 32));
  report(2, status(30'000, 32));
  report(3, Failing);
  EXPECT_EQ(capacity()->Targets, 2U);
  EXPECT_NEAR(waitMs(), 450, 1);
}

// Guards against a balancer that concludes from other data than its statuses,
// or before its list of agents is settled.
TEST(BalancerCapacityTest, StatesTheExpectedWait) {
  Simulation Sim;
  FlowBalancer &Core = *Sim.Balancers[Sim.addBalancer()].Core;
  EXPECT_EQ(Core.expectedWait(ShopId, Sim.Now), std::nullopt);
  for (uint32_t Agent : {1, 2})
    Core.onStatus({Agent, 7000}, status(30'000, 32), Sim.Now);
  EXPECT_EQ(Core.expectedWait(ShopId, Sim.Now), std::nullopt);
  Core.setStoreFresh(true);
  Core.setAgentEntries({{{1, 7000}, std::string(Shop), "a"},
                        {{2, 7000}, std::string(Shop), "a"}},
                       Sim.Now);
  Sim.run(InitialSettleTime);
  EXPECT_EQ(Core.expectedWait(ShopId, Sim.Now), milliseconds(450));
}

// Four targets of 2 slots and 50 ms: 160 requests per second. They get as many
// as a test says, and send statuses every 50 ms.
class ShortageTest : public ServiceCapacityTest {
protected:
  void run(double RequestsPerSecond, base::Duration Time) {
    for (const base::TimePoint End = Now + Time; Now < End; Now += Tick) {
      const double Seconds = std::chrono::duration<double>(Tick).count();
      Work = std::max(Work + (RequestsPerSecond - 160) * Seconds, 0.0);
      for (uint32_t I = 1; I <= 4; ++I)
        report(I, status(50'000, static_cast<uint32_t>(Work / 4)));
      observe();
    }
  }
  void observe() {
    if (const auto Change =
            Monitor.update(ShopId, capacity(), LatencyTarget, Now))
      Changes.emplace_back(Now, *Change);
  }

  ShortageMonitor Monitor;
  double Work = 0; // requests without an answer
  std::vector<std::pair<base::TimePoint, ShortageChange>> Changes;
};

// Guards against a shortage that is reported late, never ends, or is said to
// last for much longer or shorter than it does.
TEST_F(ShortageTest, BuildsUpAndEnds) {
  run(150, seconds(5));
  EXPECT_TRUE(Changes.empty());
  run(200, seconds(4)); // the wait rises by 0.25 s per second, from 0.2 s on
  ASSERT_EQ(Changes.size(), 1U);
  EXPECT_EQ(Changes[0].second, ShortageChange::Began);
  EXPECT_GT(waitMs(), 900);
  EXPECT_FALSE(Monitor.expectedToLast(ShopId).has_value()) << "it still grows";
  run(80, milliseconds(1100));
  const auto Left = Monitor.expectedToLast(ShopId);
  ASSERT_TRUE(Left.has_value());
  const base::TimePoint Predicted = Now + *Left;
  run(80, seconds(5));
  ASSERT_EQ(Changes.size(), 2U);
  EXPECT_EQ(Changes[1].second, ShortageChange::Ended);
  EXPECT_LE(std::chrono::abs(Changes[1].first - Predicted), milliseconds(200));
  EXPECT_FALSE(Monitor.shortFor(ShopId, Now).has_value());
}

// Load in waves. Guards against a report per wave near the limit, and against
// more than one per second where waves cross both limits.
TEST_F(ShortageTest, WavesCauseFewReports) {
  Work = 60; // a wait of 325 ms; the limit is 250 ms
  for (int I = 0; I < 20; ++I) {
    run(110, milliseconds(250));
    run(210, milliseconds(250));
  }
  EXPECT_EQ(Changes.size(), 1U);
  for (int I = 0; I < 100; ++I) {
    Work = I % 2 == 0 ? 200 : 0;
    run(160, milliseconds(100));
  }
  EXPECT_GE(Changes.size(), 2U);
  for (size_t I = 1; I < Changes.size(); ++I)
    EXPECT_GE(Changes[I].first - Changes[I - 1].first, ShortageReportInterval);
}

// Guards against a service that stays short for operators after its targets
// have fallen silent.
TEST_F(ShortageTest, EndsAsUnknownWithoutStatuses) {
  Work = 200;
  run(160, seconds(2));
  Now += seconds(2);
  observe();
  ASSERT_EQ(Changes.size(), 2U);
  EXPECT_EQ(Changes[1].second, ShortageChange::Unknown);
}

// Guards against limits that fit one service only.
TEST(ShortageLimitsTest, FollowTheLatencyTargetOrTheSlotTime) {
  ServiceCapacity Known;
  Known.SlotTime = milliseconds(40);
  EXPECT_EQ(shortageLimits(Known, milliseconds(300)).Begin, milliseconds(260));
  EXPECT_EQ(shortageLimits(Known, milliseconds(300)).End, milliseconds(130));
  EXPECT_EQ(shortageLimits(Known, milliseconds(30)).Begin, milliseconds(40));
  EXPECT_EQ(shortageLimits(Known, std::nullopt).Begin, milliseconds(160));
  RouteTable Table;
  Table.Routes[ShopAddress] = {"long",
                               {{ShopId, 1}},
                               {},
                               WorkClass::Download,
                               RequestTime{milliseconds(800), seconds(10)}};
  Table.Routes[VaultAddress] = {"short",
                                {{ShopId, 1}},
                                {},
                                WorkClass::Idempotent,
                                RequestTime{LatencyTarget, seconds(4)}};
  const std::unordered_map<base::ServiceId, base::Duration> Expected{
      {ShopId, LatencyTarget}};
  EXPECT_EQ(latencyTargets(Table), Expected);
}

} // namespace
} // namespace burdockstream::flows::test
