#include "../src/FenceTracker.h"
#include "burdockstream/ownership/LeaseClient.h"

#include <gtest/gtest.h>

namespace burdockstream::ownership {
namespace {

using std::chrono::seconds;

const ArbiterList List{{{1, 1}, {2, 1}, {3, 1}}, 77};

base::Now after(base::Duration Time) { return {base::TimePoint(Time), {}}; }

// Guards against a lease that starts at the arrival of a grant instead of at
// the send time of the request, or that is based on a request granted by a
// minority.
TEST(LeaseClientTest, EndsAfterTheMajoritysNewestRequest) {
  LeaseClient Lease({5}, {1}, List);
  const uint64_t First = Lease.tick(after(seconds(0)))->Sequence;
  Lease.handle({{5}, {1, 1}, First, true}, after(seconds(1)));
  EXPECT_FALSE(Lease.held(after(seconds(1)).Monotonic));
  Lease.handle({{5}, {2, 1}, First, true}, after(seconds(1)));
  EXPECT_EQ(Lease.leaseEnd(), base::TimePoint(seconds(6)));
  const uint64_t Second = Lease.tick(after(seconds(3)))->Sequence;
  Lease.handle({{5}, {1, 1}, Second, true}, after(seconds(3)));
  EXPECT_EQ(Lease.leaseEnd(), base::TimePoint(seconds(6)));
  Lease.handle({{5}, {3, 1}, Second, false}, after(seconds(3)));
  EXPECT_EQ(Lease.leaseEnd(), base::TimePoint(seconds(6)));
}

// Guards against a process that is paused beyond the end of its lease and
// treats a grant queued meanwhile as an uninterrupted continuation.
TEST(LeaseClientTest, GrantAfterTheEndStartsANewPeriod) {
  LeaseClient Lease({5}, {1}, List);
  const auto Extend = [&](uint64_t Sequence, base::Duration Time) {
    Lease.handle({{5}, {1, 1}, Sequence, true}, after(Time));
    Lease.handle({{5}, {2, 1}, Sequence, true}, after(Time));
  };
  Extend(Lease.tick(after(seconds(0)))->Sequence, seconds(0));
  const uint64_t Queued = Lease.tick(after(seconds(2)))->Sequence;
  EXPECT_EQ(Lease.period(), 1U);
  Extend(Queued, seconds(7));
  EXPECT_EQ(Lease.leaseEnd(), base::TimePoint(seconds(8)));
  EXPECT_EQ(Lease.period(), 2U);
}

// Guards against a claim based on consents that may have expired: the agent may
// have a new lease and have confirmed its ownership in the record since.
TEST(FenceTrackerTest, ConsentsExpire) {
  internal::FenceTracker Fences({5}, {1}, List);
  const base::DaemonId Dead{6};
  Fences.setTargets({&Dead, 1});
  const uint64_t Sequence = Fences.tick(base::TimePoint()).at(0).Sequence;
  Fences.handle({Dead, {1, 1}, Sequence, true});
  EXPECT_TRUE(Fences.activeFences(base::TimePoint(seconds(1))).empty());
  Fences.handle({Dead, {2, 1}, Sequence, true});
  EXPECT_EQ(Fences.activeFences(base::TimePoint(seconds(4))).size(), 1U);
  EXPECT_TRUE(Fences.activeFences(base::TimePoint(seconds(5))).empty());
}

} // namespace
} // namespace burdockstream::ownership
