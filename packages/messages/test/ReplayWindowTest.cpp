#include "burdockstream/messages/ReplayWindow.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>
#include <set>

namespace burdockstream::messages {
namespace {

constexpr base::DaemonId Sender{1};

// Compares with a reference model that keeps all accepted sequence numbers:
// each is accepted once, and only if it is less than 4,096 below the highest.
RC_GTEST_PROP(ReplayWindowTest, MatchesAReferenceModel, ()) {
  ReplayWindow Window;
  uint64_t Highest = 100'000;
  std::set<uint64_t> Seen{Highest};
  RC_ASSERT(Window.accept(Sender, Highest));
  const auto Steps = *rc::gen::container<std::vector<int>>(
      300,
      rc::gen::oneOf(rc::gen::inRange(-20, 20), rc::gen::inRange(-4200, 4200)));
  for (const int Step : Steps) {
    const uint64_t Sequence = Highest + static_cast<uint64_t>(Step);
    const bool ExpectAccepted =
        !Seen.contains(Sequence) &&
        (Sequence > Highest || Highest - Sequence < 4096);
    RC_ASSERT(Window.accept(Sender, Sequence) == ExpectAccepted);
    Highest = std::max(Highest, Sequence);
    if (ExpectAccepted)
      Seen.insert(Sequence);
  }
}

// Guards against rejecting a restarted daemon because its sequence numbers
// start at 1 again.
TEST(ReplayWindowTest, RestartedDaemonHasItsOwnWindow) {
  ReplayWindow Window;
  EXPECT_TRUE(Window.accept(Sender, 900'000));
  EXPECT_TRUE(Window.accept(base::DaemonId{2}, 1));
  EXPECT_FALSE(Window.accept(Sender, 1));
}

// Guards against faults at both ends of the range of sequence numbers, where
// the window's arithmetic wraps around.
TEST(ReplayWindowTest, RejectsExtremeNumbers) {
  ReplayWindow Window;
  EXPECT_FALSE(Window.accept(Sender, 0));
  EXPECT_FALSE(Window.accept(Sender, UINT64_MAX));
  EXPECT_TRUE(Window.accept(Sender, UINT64_MAX - 1));
  EXPECT_FALSE(Window.accept(Sender, UINT64_MAX - 1));
  EXPECT_TRUE(Window.accept(Sender, UINT64_MAX - 2));
}

// Guards against unbounded memory use: at the limit, the least recently active
// sender is evicted.
TEST(ReplayWindowTest, NumberOfSendersIsBounded) {
  ReplayWindow Window(2);
  EXPECT_TRUE(Window.accept(base::DaemonId{1}, 5));
  EXPECT_TRUE(Window.accept(base::DaemonId{2}, 5));
  EXPECT_TRUE(Window.accept(base::DaemonId{1}, 6));
  EXPECT_TRUE(Window.accept(base::DaemonId{3}, 5));
  EXPECT_EQ(Window.senders(), 2U);
  EXPECT_FALSE(Window.accept(base::DaemonId{1}, 5));
  EXPECT_TRUE(Window.accept(base::DaemonId{2}, 5));
}

} // namespace
} // namespace burdockstream::messages
