#include "burdockstream/http/ResponseDeadline.h"

#include <gtest/gtest.h>

namespace burdockstream::http {
namespace {

using std::chrono::milliseconds;

base::TimePoint at(int64_t Ms) { return base::TimePoint(milliseconds(Ms)); }

// Load pattern: 1.4 MB over 10 Mbit/s, beside traffic that takes half of it.
// Guards against a time limit for the whole response.
TEST(ResponseDeadlineTest, AResponseThatArrivesMayTakeLonger) {
  ResponseDeadline Deadline(at(1000), milliseconds(1000));
  Deadline.onHeaders(at(10));
  constexpr int64_t BytesPerMs = 625;
  for (int64_t Ms = 10; Ms * BytesPerMs < 1'400'000; Ms += 5) {
    ASSERT_LT(at(Ms), Deadline.latest());
    Deadline.onBytes(5 * BytesPerMs, at(Ms));
  }
}

// Guards against an outage that is detected later than without an extension.
TEST(ResponseDeadlineTest, AStallEndsTheResponseAfterItsTimeout) {
  ResponseDeadline Deadline(at(1000), milliseconds(1000));
  Deadline.onHeaders(at(10));
  Deadline.onBytes(500'000, at(900));
  EXPECT_EQ(Deadline.latest(), at(1900));
}

// Guards against a server that occupies a call with single bytes.
TEST(ResponseDeadlineTest, SingleBytesDoNotExtendIt) {
  ResponseDeadline Deadline(at(1000), milliseconds(1000));
  Deadline.onHeaders(at(10));
  for (int64_t Ms = 11; Ms < 1010; ++Ms)
    Deadline.onBytes(1, at(Ms));
  EXPECT_EQ(Deadline.latest(), at(1010));
}

// A waiting watch call, whose answer may begin at any time before its limit.
TEST(ResponseDeadlineTest, IsNeverBeforeTheTimeout) {
  ResponseDeadline Deadline(at(6000), milliseconds(1000));
  Deadline.onHeaders(at(10));
  Deadline.onBytes(500'000, at(20));
  EXPECT_EQ(Deadline.latest(), at(6000));
  Deadline.onBytes(500'000, at(5990));
  EXPECT_EQ(Deadline.latest(), at(6990));
}

TEST(ResponseDeadlineTest, WithoutAStallTimeoutTheTimeoutIsFinal) {
  ResponseDeadline Deadline(at(250), milliseconds(0));
  Deadline.onHeaders(at(240));
  Deadline.onBytes(500'000, at(249));
  EXPECT_EQ(Deadline.latest(), at(250));
}

} // namespace
} // namespace burdockstream::http
