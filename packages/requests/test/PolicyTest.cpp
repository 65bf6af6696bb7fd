#include "burdockstream/requests/SchedulingPolicy.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace burdockstream::requests {
namespace {

using namespace std::chrono_literals;
using records::WorkClass;

QueuedWork work(uint64_t Id, WorkClass Class, base::Duration Arrived,
                base::Duration Deadline) {
  return {Id, Class, base::TimePoint{} + Arrived, base::TimePoint{} + Deadline,
          100ms};
}

const std::vector<QueuedWork> Mixed = {
    work(1, WorkClass::Long, 0ms, 9s), work(2, WorkClass::Short, 10ms, 8s),
    work(3, WorkClass::Short, 20ms, 5s), work(4, WorkClass::Long, 30ms, 4s)};

// Guards against a FIFO policy that deviates from the order of arrival.
TEST(PolicyTest, FifoTakesTheOldest) {
  EXPECT_EQ(makeFifoPolicy().PickNext(Mixed, {2, 0, 0}, {}), 0U);
}

// Guards against short work waiting behind long work: the reserved slot stays
// free for short work even if only long work is queued.
TEST(PolicyTest, ShortFirstKeepsItsReserve) {
  const SchedulingPolicy Policy = makeShortFirstPolicy(0.5);
  const std::vector<QueuedWork> LongOnly = {Mixed[0]};
  EXPECT_EQ(Policy.PickNext(Mixed, {2, 0, 0}, {}), 1U);
  EXPECT_EQ(Policy.PickNext(LongOnly, {2, 0, 0}, {}), 0U);
  EXPECT_EQ(Policy.PickNext(LongOnly, {2, 0, 1}, {}), std::nullopt);
  EXPECT_EQ(Policy.PickNext(LongOnly, {1, 0, 0}, {}), 0U);
}

// Guards against missing a deadline that another order would meet.
TEST(PolicyTest, DeadlinePolicyTakesTheMostUrgentOfAClass) {
  const SchedulingPolicy Policy = makeDeadlinePolicy(0.5, 2s);
  const base::TimePoint Now = base::TimePoint{} + 100ms;
  EXPECT_EQ(Policy.PickNext(Mixed, {2, 0, 0}, Now), 2U);
  const std::vector<QueuedWork> LongOnly = {Mixed[0], Mixed[3]};
  EXPECT_EQ(Policy.PickNext(LongOnly, {2, 0, 0}, Now), 1U);
}

// Guards against a reservation that limits the throughput of long work, and
// against a slot that stays idle: RetryAt returns the time from which long work
// may use it.
TEST(PolicyTest, LongWorkBorrowsTheReserveAfterItsWait) {
  const SchedulingPolicy Policy = makeBorrowPolicy(0.5, 5s, 20s);
  const std::vector<QueuedWork> LongOnly = {Mixed[0]};
  const base::TimePoint Limit = base::TimePoint{} + 5s;
  EXPECT_EQ(Policy.PickNext(LongOnly, {2, 0, 1}, Limit - 1us), std::nullopt);
  EXPECT_EQ(Policy.PickNext(LongOnly, {2, 0, 1}, Limit), 0U);
  EXPECT_EQ(Policy.PickNext(Mixed, {2, 0, 1}, Limit), 2U);
  EXPECT_EQ(Policy.RetryAt(Mixed), Limit);
  EXPECT_EQ(Policy.RetryAt({}), base::Never);
}

// Guards against starvation: every entry starts within a bounded time, even if
// short work arrives faster than it is served.
TEST(PolicyTest, NothingStarvesUnderPoliciesWithAging) {
  EXPECT_TRUE(rc::check([](uint8_t Slots, bool Borrow) {
    const SchedulingPolicy Policy =
        Borrow ? makeBorrowPolicy(0.5, 1s, 2s) : makeDeadlinePolicy(0.5, 2s);
    const SlotUse Use{1U + Slots % 4, 0, 0};
    std::vector<QueuedWork> Queue = {work(0, WorkClass::Long, 0ms, 100s)};
    base::Duration Now{0};
    for (uint64_t Step = 1; Step < 100; ++Step) {
      Now += 100ms;
      Queue.push_back(work(Step, WorkClass::Short, Now, Now + 5s));
      const auto Picked = Policy.PickNext(Queue, Use, base::TimePoint{} + Now);
      RC_ASSERT(Picked.has_value());
      if (Queue[*Picked].Id == 0) {
        RC_ASSERT(Now <= 2100ms);
        return;
      }
      Queue.erase(Queue.begin() + static_cast<ptrdiff_t>(*Picked));
    }
    RC_FAIL("long entry was not started within 99 steps");
  }));
}

} // namespace
} // namespace burdockstream::requests
