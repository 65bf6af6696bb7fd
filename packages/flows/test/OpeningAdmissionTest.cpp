// The urgency of a request, its admission at a target, and the service time
// estimate that both use.
#include "burdockstream/flows/OpeningAdmission.h"
#include "burdockstream/flows/ServiceTimeEstimate.h"

#include <gtest/gtest.h>

namespace burdockstream::flows {
namespace {

using std::chrono::milliseconds;

constexpr TargetLoad Busy{4, 2, milliseconds(30), milliseconds(10)};

TEST(OpeningAdmissionTest, UrgencyFollowsWhatIsLeft) {
  struct Row {
    std::optional<RequestTime> Left;
    Urgency Expected;
  };
  const auto Left = [](int ToTarget, int ToLimit) {
    return RequestTime{milliseconds(ToTarget), milliseconds(ToLimit)};
  };
  const Row Rows[] = {
      {std::nullopt, Urgency::NoDeadline},
      {Left(100, 0), Urgency::Expired},
      {Left(0, 500), Urgency::Late},
      {Left(95, 500), Urgency::Late}, // 20 transit, 45 queue, 30 service
      {Left(96, 500), Urgency::OnTime},
  };
  for (const Row &Each : Rows)
    EXPECT_EQ(urgencyOf(Busy, Each.Left), Each.Expected);
}

// Guards against a queue at the target that makes all requests late, and
// against idle slots while handshakes are in transit.
TEST(OpeningAdmissionTest, ATargetGetsWhatKeepsItsSlotsBusy) {
  struct Row {
    milliseconds Service;
    milliseconds Handshake;
    uint32_t Limit; // of requests in progress on two slots
  };
  constexpr Row Rows[] = {
      {milliseconds(0), milliseconds(10), 4}, // not measured yet
      {milliseconds(200), milliseconds(10), 3},
      {milliseconds(20), milliseconds(20), 4},
      {milliseconds(1), milliseconds(20), 10}, // the queue limit of targets
  };
  for (const Row &Each : Rows) {
    TargetLoad Load{0, 2, std::nullopt, Each.Handshake};
    if (Each.Service.count() > 0)
      Load.ServiceTime = Each.Service;
    Load.InProgress = Each.Limit - 1;
    EXPECT_TRUE(admits(Load, Urgency::OnTime));
    EXPECT_FALSE(admits(Load, Urgency::Late));
    EXPECT_FALSE(admits(Load, Urgency::Expired));
    Load.InProgress = Each.Limit;
    EXPECT_FALSE(admits(Load, Urgency::OnTime));
    Load.InProgress = Load.Slots - 1;
    EXPECT_TRUE(admits(Load, Urgency::Late));
  }
}

// Guards against an admission limit that grows with the target's queue because
// queueing time is counted as service time.
TEST(ServiceTimeEstimateTest, LeavesOutTheTimeInTheQueue) {
  ServiceTimeEstimate Estimate;
  base::TimePoint Now(std::chrono::seconds(5));
  Estimate.advance(0, Now);
  EXPECT_FALSE(Estimate.value().has_value());
  for (int I = 0; I < 200; ++I) { // two busy slots: an answer every 15 ms
    Now += milliseconds(15);
    Estimate.advance(2, Now);
    Estimate.recordAnswer();
  }
  EXPECT_NEAR(static_cast<double>(Estimate.value()->count()), 30'000, 1'000);
  for (int I = 0; I < 200; ++I) { // the warm-up has ended; one slot is idle
    Now += milliseconds(20);
    Estimate.advance(1, Now);
    Estimate.recordAnswer();
  }
  EXPECT_NEAR(static_cast<double>(Estimate.value()->count()), 20'000, 1'000);
}

} // namespace
} // namespace burdockstream::flows
