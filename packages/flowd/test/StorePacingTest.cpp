// How the calls of balancers to the store follow the size of the fleet.
#include "burdockstream/flowd/StorePacing.h"

#include <gtest/gtest.h>
#include <map>

namespace burdockstream::flowd {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against a release whose every step costs a call of each balancer.
// Pattern: a target is replaced each second for 25 s; two changes a target.
TEST(StorePacingTest, AReleaseCostsFewerCallsInALargerFleet) {
  const auto Calls = [](size_t Agents) {
    return seconds(25) / agentsPause(Agents);
  };
  EXPECT_EQ(Calls(10), 25);
  EXPECT_LE(Calls(161), 3);
}

// Guards against targets that nobody uses for long after their start.
TEST(StorePacingTest, AnAgentIsKnownWithinTenSecondsInAnyFleet) {
  EXPECT_EQ(agentsPause(0), ShortestAgentsPause);
  EXPECT_EQ(agentsPause(15000), seconds(10));
}

// Guards against a small fleet that learns late of a configuration because all
// its calls have gone silent.
TEST(StorePacingTest, ASmallFleetNeverWaitsLongerThanFiveSeconds) {
  base::RandomSource Random(20261204);
  for (int I = 0; I < 1000; ++I) {
    const base::Duration Wait = watchWait(10, Random);
    EXPECT_LE(Wait, seconds(5));
    EXPECT_GT(Wait, milliseconds(2400));
  }
}

// Guards against calls that end together because the processes started
// together. Pattern: 59 balancers start at once and stay at rest for 60 s.
TEST(StorePacingTest, CallsOfAFleetThatStartedTogetherSpread) {
  base::RandomSource Random(20261204);
  std::map<int64_t, int> EndsBySecond;
  for (int Balancer = 0; Balancer < 59; ++Balancer)
    for (base::Duration At = watchWait(136, Random); At < seconds(60);
         At += watchWait(136, Random))
      ++EndsBySecond[base::toMilliseconds(At) / 1000];
  // A configuration is to be in force everywhere within three seconds, so some
  // balancer must ask in each such window.
  for (int64_t Second = 10; Second + 3 < 60; ++Second) {
    const int InWindow = EndsBySecond[Second] + EndsBySecond[Second + 1] +
                         EndsBySecond[Second + 2];
    EXPECT_GT(InWindow, 0) << "nobody asked from second " << Second;
    EXPECT_LT(EndsBySecond[Second], 59 / 3) << "in second " << Second;
  }
}

} // namespace
} // namespace burdockstream::flowd
