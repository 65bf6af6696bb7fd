#include "PolicyBenchmarks.h"

#include <gtest/gtest.h>

namespace burdockstream::bench {
namespace {

std::string format(const BenchmarkResult &Result) {
  return toJson(Result.Tables) + toSvg(Result.Figure);
}

// Guards against results that depend on anything but the options, such as
// memory addresses or the time of day.
TEST(PolicyBenchTest, OneSeedPrintsOneResult) {
  const BenchmarkOptions Options{7, std::chrono::seconds(20)};
  for (const auto Benchmark : {measureBalance, measureSurge, measureShortWait})
    EXPECT_EQ(format(Benchmark(Options)), format(Benchmark(Options)));
}

// Guards against a benchmark that ignores its seed.
TEST(PolicyBenchTest, SeedsDiffer) {
  EXPECT_NE(format(measureShortWait({7, std::chrono::seconds(20)})),
            format(measureShortWait({8, std::chrono::seconds(20)})));
}

} // namespace
} // namespace burdockstream::bench
