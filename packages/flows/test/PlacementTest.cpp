#include "burdockstream/flows/Placement.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <vector>

namespace burdockstream::flows {
namespace {

Candidate target(uint32_t Index, uint32_t Waiting) {
  Candidate Result;
  Result.Target = Index;
  Result.Slots = 2;
  Result.Waiting = Waiting;
  return Result;
}

// Short requests. Guards against a queue at one target while another is idle.
TEST(PlacementTest, PrefersTheTargetWithTheFewestWaitingRequests) {
  base::RandomSource Random(1);
  const std::vector<Candidate> Choices = {target(0, 4), target(1, 1),
                                          target(2, 3)};
  EXPECT_EQ(chooseTarget(Choices, Random), 1U);
}

// Long-lived flows that open within one status interval. Guards against sending
// all of them to the target that was idle in the last status.
TEST(PlacementTest, CountsItsOwnPlacementsThatNoStatusCovers) {
  base::RandomSource Random(1);
  std::vector<Candidate> Choices = {target(0, 0), target(1, 0), target(2, 0)};
  for (int I = 0; I < 30; ++I)
    ++Choices[*chooseTarget(Choices, Random)].UnreportedFlows;
  for (const Candidate &Each : Choices)
    EXPECT_EQ(Each.UnreportedFlows, 10U);
}

// Guards against ignoring open flows without a request: they bring load later.
TEST(PlacementTest, SpreadsLongFlowsWhileNobodyWaits) {
  base::RandomSource Random(1);
  std::vector<Candidate> Choices = {target(0, 0), target(1, 0)};
  Choices[0].Flows = 40;
  EXPECT_EQ(chooseTarget(Choices, Random), 1U);
}

TEST(PlacementTest, StaysInTheFailureDomainWhileTheLoadIsAlike) {
  base::RandomSource Random(1);
  std::vector<Candidate> Choices = {target(0, 1), target(1, 1)};
  Choices[1].Penalty = RemotePenalty;
  EXPECT_EQ(chooseTarget(Choices, Random), 0U);
  Choices[0].Waiting = 3;
  EXPECT_EQ(chooseTarget(Choices, Random), 1U);
}

// Guards against overloading targets that have just started during a release.
TEST(PlacementTest, ATargetInWarmUpGetsLess) {
  base::RandomSource Random(1);
  std::vector<Candidate> Choices = {target(0, 0), target(1, 1)};
  Choices[0].Warming = true;
  EXPECT_EQ(chooseTarget(Choices, Random), 1U);
  Choices[1].Waiting = 2;
  EXPECT_EQ(chooseTarget(Choices, Random), 0U);
}

RC_GTEST_PROP(PlacementTest, NeverChoosesAMoreLoadedTarget,
              (const std::vector<uint8_t> &Waiting)) {
  std::vector<Candidate> Choices;
  for (size_t I = 0; I < Waiting.size(); ++I)
    Choices.push_back(target(static_cast<uint32_t>(I), Waiting[I]));
  base::RandomSource Random(1);
  const auto Chosen = chooseTarget(Choices, Random);
  RC_ASSERT(Chosen.has_value() == !Choices.empty());
  for (const Candidate &Each : Choices)
    RC_ASSERT(loadOf(Choices[*Chosen]) <= loadOf(Each));
}

} // namespace
} // namespace burdockstream::flows
