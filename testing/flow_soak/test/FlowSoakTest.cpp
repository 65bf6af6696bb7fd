#include "FlowSoak.h"

#include <gtest/gtest.h>

namespace burdockstream::flowsoak {
namespace {

// Guards against what the cores' tests cannot see: sockets, signals and the
// store together. Seeds that ever failed stay here.
class FlowSoakTest : public ::testing::TestWithParam<uint64_t> {};

TEST_P(FlowSoakTest, KeepsThePromises) {
  const SoakReport Report = runSoak(
      {GetParam(), std::chrono::milliseconds(5000), ::testing::TempDir()});
  for (const std::string &Each : Report.Found)
    ADD_FAILURE() << Each;
  EXPECT_EQ(Report.Unserved, 0U);
  EXPECT_GT(Report.Answers, 0U);
}

INSTANTIATE_TEST_SUITE_P(Seeds, FlowSoakTest, ::testing::Values(1, 2, 3, 4));

} // namespace
} // namespace burdockstream::flowsoak
