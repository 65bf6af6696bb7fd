#include "burdockstream/flowd/StateAnswerLimit.h"

#include <gtest/gtest.h>

namespace burdockstream::flowd {
namespace {

using std::chrono::milliseconds;

constexpr double Link10Mbps = 1.25e6; // bytes per second

// Load: the store is away, and 20 balancers without routes query a peer with a
// link of 10 Mbit/s for a state of 1 MB every 300 ms. Guards against answers
// that fill the link, so that none is complete and no client is served.
TEST(StateAnswerLimitTest, AnswersLeaveHalfOfTheLink) {
  StateAnswerLimit Limit(Link10Mbps);
  constexpr size_t StateBytes = 1'200'000;
  size_t Sent = 0;
  for (int Ms = 0; Ms < 60'000; Ms += 15)
    if (Limit.admit(StateBytes, base::TimePoint(milliseconds(Ms))))
      Sent += StateBytes;
  EXPECT_LE(static_cast<double>(Sent), (0.5 * 60 + 1) * Link10Mbps);
  EXPECT_GE(Sent, 25 * StateBytes);
}

// Guards against a state that is never sent because it exceeds what the link
// carries in a second.
TEST(StateAnswerLimitTest, ALargeStateIsSentOnASmallLink) {
  StateAnswerLimit Limit(1.25e5);
  EXPECT_TRUE(Limit.admit(5'000'000, base::TimePoint(milliseconds(0))));
  EXPECT_FALSE(Limit.admit(5'000'000, base::TimePoint(milliseconds(1))));
  EXPECT_TRUE(Limit.admit(5'000'000, base::TimePoint(milliseconds(2100))));
}

// Guards against refusals among the answers of an ordinary configuration.
TEST(StateAnswerLimitTest, SmallStatesAreNotLimited) {
  StateAnswerLimit Limit(Link10Mbps);
  for (int I = 0; I < 20; ++I)
    EXPECT_TRUE(Limit.admit(50'000, base::TimePoint(milliseconds(I))));
}

} // namespace
} // namespace burdockstream::flowd
