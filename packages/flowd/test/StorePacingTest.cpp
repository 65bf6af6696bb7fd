// Tests how the rate of store calls depends on the fleet size.
#include "burdockstream/flowd/StorePacing.h"

#include <gtest/gtest.h>
#include <map>

namespace burdockstream::flowd {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against one store call per balancer for each step of a rolling
// release. Load: one target is replaced per second for 25 s, with two changes
// per target.
TEST(StorePacingTest, ReleaseCausesFewerCallsPerBalancerInLargerFleet) {
  const auto Calls = [](size_t Agents) {
    return seconds(25) / agentsBatchDelay(Agents);
  };
  EXPECT_EQ(Calls(10), 25);
  EXPECT_LE(Calls(161), 3);
}

// Guards against targets that get no flows for a long time after their start.
TEST(StorePacingTest, AgentIsKnownWithinTenSecondsInAnyFleet) {
  EXPECT_EQ(agentsBatchDelay(0), MinAgentsBatchDelay);
  EXPECT_EQ(agentsBatchDelay(15000), seconds(10));
}

// Guards against late detection of a configuration change in a small fleet when
// none of its watch calls gets an answer.
TEST(StorePacingTest, SmallFleetWaitsAtMostFiveSeconds) {
  base::RandomSource Random(20261204);
  for (int I = 0; I < 1000; ++I) {
    const base::Duration Wait = watchTimeout(10, Random);
    EXPECT_LE(Wait, seconds(5));
    EXPECT_GT(Wait, milliseconds(2400));
  }
}

// Guards against watch calls that end together because the processes started
// together. Load: 59 balancers start at the same time and are idle for 60 s.
TEST(StorePacingTest, WatchCallsSpreadAfterSimultaneousStart) {
  base::RandomSource Random(20261204);
  std::map<int64_t, int> EndsBySecond;
  for (int Balancer = 0; Balancer < 59; ++Balancer)
    for (base::Duration At = watchTimeout(136, Random); At < seconds(60);
         At += watchTimeout(136, Random))
      ++EndsBySecond[base::toMilliseconds(At) / 1000];
  // A configuration must be in force on all balancers within three seconds, so
  // at least one balancer must call the store in each window of this length.
  for (int64_t Second = 10; Second + 3 < 60; ++Second) {
    const int InWindow = EndsBySecond[Second] + EndsBySecond[Second + 1] +
                         EndsBySecond[Second + 2];
    EXPECT_GT(InWindow, 0) << "no call ended in the three seconds from second "
                           << Second;
    EXPECT_LT(EndsBySecond[Second], 59 / 3)
        << "too many calls ended in second " << Second;
  }
}

} // namespace
} // namespace burdockstream::flowd
