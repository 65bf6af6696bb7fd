#include "RequestStates.h"

#include <gtest/gtest.h>

#include <tuple>

namespace burdockstream::requests {
namespace {

using S = RequestState;
using E = RequestEvent;

// Guards against a chart change that lets a request leave a final outcome, or
// that removes a transition on which the core relies.
TEST(ChartTest, TheChartHasExactlyTheseTransitions) {
  const std::vector<std::tuple<S, E, S>> Expected = {
      {S::Received, E::Enqueue, S::Queued},
      {S::Received, E::Start, S::Running},
      {S::Received, E::Refuse, S::Refused},
      {S::Received, E::LoseTrack, S::Unknown},
      {S::Queued, E::Start, S::Running},
      {S::Queued, E::Refuse, S::Refused},
      {S::Queued, E::LoseTrack, S::Unknown},
      {S::Queued, E::Cancel, S::Cancelled},
      {S::Running, E::Requeue, S::Queued},
      {S::Running, E::Respond, S::Answered},
      {S::Running, E::LoseTrack, S::Unknown},
      {S::Running, E::Cancel, S::Cancelled},
      {S::Running, E::Refuse, S::Refused},
      {S::Unknown, E::Respond, S::Answered},
      {S::Answered, E::Forget, S::Forgotten},
      {S::Refused, E::Forget, S::Forgotten},
      {S::Unknown, E::Forget, S::Forgotten},
      {S::Cancelled, E::Forget, S::Forgotten}};
  std::vector<std::tuple<S, E, S>> Found;
  for (uint8_t From = 0; From < 8; ++From)
    for (uint8_t On = 0; On < 8; ++On)
      if (const auto To = nextState(S{From}, E{On}))
        Found.emplace_back(S{From}, E{On}, *To);
  EXPECT_EQ(Found.size(), Expected.size());
  for (const auto &[From, On, To] : Expected)
    EXPECT_EQ(nextState(From, On), To) << toString(From) << " " << toString(On);
}

} // namespace
} // namespace burdockstream::requests
