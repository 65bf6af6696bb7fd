#include "burdockstream/ownership/Arbiter.h"

#include <gtest/gtest.h>

namespace burdockstream::ownership {
namespace {

using std::chrono::seconds;

const std::vector<base::SocketAddress> BalancerAddresses{
    {1, 7000}, {2, 7000}, {3, 7000}, {4, 7000}};
constexpr base::ServiceId Service{5};

base::Now after(base::Duration Time) { return {base::TimePoint(Time), {}}; }

struct ArbiterTest : testing::Test {
  ArbiterList List = selectArbiters(BalancerAddresses, Service);
  Arbiter Node{List.Arbiters[0], BalancerAddresses, base::TimePoint()};

  auto grant(uint64_t Agent, base::Duration Time) {
    return Node.handle(messages::LeaseRequest{{Agent}, Service, 1, List.Hash},
                       after(Time));
  }
  auto fence(uint64_t Agent, base::Duration Time) {
    return Node.handle(
        messages::FenceRequest{{9}, {Agent}, Service, 1, List.Hash},
        after(Time));
  }
};

// Guards against a list that depends on the configured order, and against an
// even number of arbiters, which needs a larger majority without being safer.
TEST_F(ArbiterTest, SelectionIsOddAndIndependentOfOrder) {
  EXPECT_EQ(List.Arbiters.size(), 3U);
  const std::vector<base::SocketAddress> Shuffled{
      {3, 7000}, {1, 7000}, {4, 7000}, {2, 7000}, {3, 7000}};
  EXPECT_EQ(selectArbiters(Shuffled, Service).Hash, List.Hash);
  std::vector<base::SocketAddress> Fewer = BalancerAddresses;
  std::erase(Fewer, List.Arbiters[0]);
  EXPECT_NE(selectArbiters(Fewer, Service).Hash, List.Hash);
  EXPECT_TRUE(selectArbiters({}, Service).Arbiters.empty());
}

// Guards against a restarted arbiter that has lost its grants and consents to a
// fence while one of them is still valid.
TEST_F(ArbiterTest, IsSilentAfterStart) {
  EXPECT_FALSE(grant(1, seconds(7)));
  EXPECT_FALSE(fence(1, seconds(7)));
  EXPECT_TRUE(grant(1, seconds(8))->Granted);
}

// Guards against a consent while the agent may still hold its lease, and
// against a grant while a claimant may still rely on a consent.
TEST_F(ArbiterTest, GrantsAndConsentsExcludeEachOther) {
  EXPECT_TRUE(grant(1, seconds(10))->Granted);
  EXPECT_FALSE(fence(1, seconds(17))->Consented);
  EXPECT_TRUE(fence(1, seconds(18))->Consented);
  EXPECT_FALSE(grant(1, seconds(27))->Granted);
  EXPECT_TRUE(grant(1, seconds(28))->Granted);
}

// Guards against an answer to a request with another arbiter list, whose
// majorities need not intersect with those of this list.
TEST_F(ArbiterTest, IgnoresAnotherList) {
  List.Hash ^= 1;
  EXPECT_FALSE(grant(1, seconds(10)));
  EXPECT_FALSE(fence(1, seconds(10)));
}

// Guards against memory use that grows with every agent ever seen.
TEST_F(ArbiterTest, ForgetsAgents) {
  for (uint64_t Agent = 1; Agent <= 1'000; ++Agent)
    grant(Agent, seconds(10));
  EXPECT_EQ(Node.agentCount(), 1'000U);
  grant(1, seconds(20));
  EXPECT_EQ(Node.agentCount(), 1U);
}

} // namespace
} // namespace burdockstream::ownership
