#include "Model.h"

#include <gtest/gtest.h>

namespace burdockstream::ownership::model {
namespace {

// A schedule takes about 1 ms, with the address sanitizer over 40 ms.
#ifdef __SANITIZE_ADDRESS__
constexpr uint64_t Schedules = 1'000;
#else
constexpr uint64_t Schedules = 10'000;
#endif

// Runs schedules with seeds 1 to Count until one ends with the violation
// Wanted, or with any violation if Wanted is empty. Returns its seed and the
// violation; seed zero if there is none.
std::pair<uint64_t, std::string>
search(uint64_t Count, Protections Enabled, const std::string &Wanted,
       const std::function<void(const Coverage &)> &Observe) {
  for (uint64_t Seed = 1; Seed <= Count; ++Seed) {
    Model Schedule(Seed, Enabled);
    const std::string Violation = Schedule.run();
    if (!Violation.empty() && (Wanted.empty() || Violation == Wanted))
      return {Seed, Violation};
    Observe(Schedule.Observed);
  }
  return {};
}

// Guards against a bucket with two owners, a request that runs twice, a request
// that runs although it was refused as not run, and buckets that remain without
// an owner after all faults have ended.
TEST(ScheduleSearchTest, InvariantsHoldInEverySchedule) {
  uint64_t Claims = 0, Handovers = 0, Reclaims = 0, Lapses = 0, Provisional = 0,
           Rejections = 0, Drains = 0, LateWrites = 0, Starts = 0, Refusals = 0;
  const auto [Seed, Violation] =
      search(Schedules, {}, "", [&](const Coverage &Observed) {
        Claims += Observed.Claims > 0;
        Handovers += Observed.Handovers > 0;
        Reclaims += Observed.Reclaims > 0;
        Lapses += Observed.Lapses > 0;
        Provisional += Observed.Provisional > 0;
        Rejections += Observed.Rejections > 0;
        Drains += Observed.Drains > 0;
        LateWrites += Observed.LateWrites > 0;
        Starts += Observed.Starts;
        Refusals += Observed.Refusals;
      });
  EXPECT_EQ(Violation, "") << "seed " << Seed;
  std::cout << "schedules with: claim " << Claims << ", handover " << Handovers
            << ", reclaim " << Reclaims << ", lapse " << Lapses
            << ", provisional " << Provisional << ", rejected late start "
            << Rejections << ", drain " << Drains << ", late write "
            << LateWrites << "; requests started " << Starts
            << ", refused as not run " << Refusals << "\n";
  EXPECT_GT(Claims, Schedules / 10);
  EXPECT_GT(Handovers, Schedules / 10);
  EXPECT_GT(Lapses, Schedules / 10);
  EXPECT_GT(Provisional, Schedules / 10);
  EXPECT_GT(Rejections, Schedules / 100);
}

struct Mutation {
  const char *Name;
  Protections Enabled;
  const char *Violation;
};

// Guards against a search that does not detect a broken protocol: with one
// safety mechanism disabled it must find a violation. Without the not-after
// check no request runs twice, because a claimant answers all older requests as
// unknown, but requests start at an agent that is no longer the owner.
class MutationTest : public testing::TestWithParam<Mutation> {};

TEST_P(MutationTest, SearchFindsTheViolation) {
  const auto [Seed, Violation] =
      search(10'000, GetParam().Enabled, GetParam().Violation,
             [](const Coverage &) {});
  EXPECT_EQ(Violation, GetParam().Violation);
  std::cout << GetParam().Name << " disabled: seed " << Seed << ": "
            << Violation << "\n";
}

constexpr const char *StartedTwice = "request started twice";
constexpr const char *StartedAfterClaim =
    "request started after its bucket was claimed by another agent";

INSTANTIATE_TEST_SUITE_P(
    Protections, MutationTest,
    testing::Values(
        Mutation{
            "not-after check", {.NotAfterCheck = false}, StartedAfterClaim},
        Mutation{"arbiter restart delay",
                 {.ArbiterRestartDelay = false},
                 StartedAfterClaim},
        Mutation{"arbiter restart delay",
                 {.ArbiterRestartDelay = false, .ReportLateStarts = false},
                 StartedTwice},
        Mutation{"affirmation",
                 {.Affirmation = false, .ReportLateStarts = false},
                 StartedTwice},
        Mutation{"lease",
                 {.Lease = false, .ReportLateStarts = false},
                 StartedTwice}));

} // namespace
} // namespace burdockstream::ownership::model
