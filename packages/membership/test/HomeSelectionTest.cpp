#include "burdockstream/membership/HomeSelection.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace burdockstream::membership {
namespace {

std::vector<BalancerLocation> entries(size_t Count, size_t Domains) {
  std::vector<BalancerLocation> Result;
  for (size_t I = 0; I < Count; ++I)
    Result.push_back({{static_cast<uint32_t>(100 + I), 7000},
                      "domain-" + std::to_string(I % Domains)});
  return Result;
}

bool anyBalancer(size_t) { return true; }

// Guards against a balancer and an agent that disagree about the agent's homes:
// failures of the agent would not be detected.
TEST(HomeSelection, BalancersAndAgentsAgree) {
  for (size_t Domains : {1U, 2U, 3U, 5U})
    for (size_t Count : {1U, 2U, 3U, 20U}) {
      const auto All = entries(Count, Domains);
      for (uint64_t Agent = 1; Agent < 200; ++Agent) {
        const auto Homes = chooseHomes({Agent}, All, anyBalancer);
        EXPECT_EQ(Homes.size(), std::min<size_t>(Count, 2));
        for (size_t I = 0; I < Count; ++I)
          EXPECT_EQ(isHome({Agent}, All[I], All),
                    std::find(Homes.begin(), Homes.end(), I) != Homes.end());
      }
    }
}

// Guards against two homes in one failure domain, which fail together, and
// against balancers that are homes of many more agents than others.
TEST(HomeSelection, UsesTwoDomainsAndSpreadsAgents) {
  const auto All = entries(20, 4);
  std::vector<int> Agents(All.size());
  for (uint64_t Agent = 1; Agent <= 2000; ++Agent) {
    const auto Homes = chooseHomes({Agent * 7919}, All, anyBalancer);
    EXPECT_NE(All[Homes[0]].FailureDomain, All[Homes[1]].FailureDomain);
    ++Agents[Homes[0]];
    ++Agents[Homes[1]];
  }
  EXPECT_LT(*std::max_element(Agents.begin(), Agents.end()), 260);
  EXPECT_GT(*std::min_element(Agents.begin(), Agents.end()), 140);
}

// Guards against a failure of one balancer that changes the homes of agents
// whose homes are still alive.
TEST(HomeSelection, KeepsTheHomesThatAreAlive) {
  const auto All = entries(20, 1);
  for (uint64_t Agent = 1; Agent < 200; ++Agent) {
    const auto Before = chooseHomes({Agent}, All, anyBalancer);
    const auto After =
        chooseHomes({Agent}, All, [&](size_t I) { return I != Before[0]; });
    EXPECT_EQ(After[0], Before[1]);
  }
}

} // namespace
} // namespace burdockstream::membership
