#include "burdockstream/bench/RelayBench.h"

#include <gtest/gtest.h>

#include <vector>

namespace burdockstream::bench {
namespace {

// Guards against throughput that counts datagrams that did not reach the sink.
TEST(RelayBenchTest, EveryRelayDeliversWhatItWasOffered) {
  const std::vector<uint8_t> Payload(100, 1);
  for (const auto Measure :
       {measureBareRelay, measureSocketRelay, measureForwardRelay}) {
    const RelayResult Result = Measure(Payload, 1000);
    EXPECT_EQ(Result.Offered, 1000U);
    EXPECT_EQ(Result.Delivered, 1000U);
    EXPECT_GT(Result.datagramsPerSecond(), 0);
  }
}

} // namespace
} // namespace burdockstream::bench
