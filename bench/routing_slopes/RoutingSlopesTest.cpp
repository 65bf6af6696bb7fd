#include "RoutingSlopes.h"

#include <gtest/gtest.h>

#include <cstdio>

namespace burdockstream::bench {
namespace {

// Guards against table memory above the design: two bytes per bucket and one
// entry of 24 bytes per endpoint.
TEST(RoutingSlopes, TableBytesAreLinear) {
  for (size_t Endpoints : {3U, 7U, 15U, 100U}) {
    const TableCosts Costs = measureTable(Endpoints, 256);
    std::printf("%3zu endpoints, 256 buckets: build %.0f us, route %.1f ns, "
                "%zu bytes\n",
                Endpoints, Costs.BuildMicroseconds, Costs.RouteNanoseconds,
                Costs.TableBytes);
    EXPECT_EQ(Costs.TableBytes, 512 + 24 * Endpoints);
  }
}

// Guards against a simulation whose results differ between runs with the same
// seed.
TEST(RoutingSlopes, GossipFiguresAreReproducible) {
  const GossipCosts First = measureGossip(30, 0.05, 3, 5);
  const GossipCosts Second = measureGossip(30, 0.05, 3, 5);
  std::printf("30 balancers, 5%% loss: %.0f ms, idle %.0f B/s, %.0f bytes per "
              "change\n",
              First.ConvergenceMilliseconds, First.IdleBytesPerSecond,
              First.BytesPerChange);
  EXPECT_EQ(First.ConvergenceMilliseconds, Second.ConvergenceMilliseconds);
  EXPECT_EQ(First.BytesPerChange, Second.BytesPerChange);
  EXPECT_LT(First.ConvergenceMilliseconds, 3000);
}

} // namespace
} // namespace burdockstream::bench
