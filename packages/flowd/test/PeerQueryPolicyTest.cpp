// Tests which peers a balancer queries, and when.
#include "burdockstream/flowd/PeerQueryPolicy.h"

#include <gtest/gtest.h>

namespace burdockstream::flowd {
namespace {

using std::chrono::milliseconds;

constexpr base::SocketAddress peer(uint16_t Number) {
  return {0x0A010000U + Number, 7000};
}

const base::TimePoint Start{std::chrono::seconds(100)};

// Guards against query traffic that grows with the square of the fleet size.
// Load: in a fleet of 300 machines, a balancer discovers 91 others, which all
// answer with agents.
TEST(PeerQueryPolicyTest, StopsAfterSufficientAnswersWithAgents) {
  PeerQueryPolicy Policy;
  int QueryCount = 0;
  for (uint16_t Number = 1; Number <= 91; ++Number)
    if (Policy.onPeerDiscovered(peer(Number))) {
      ++QueryCount;
      Policy.onAnswer(210);
    }
  EXPECT_EQ(QueryCount, 2);
}

// Guards against a balancer that resets flows because it queried only peers
// that had just started and knew no agents.
TEST(PeerQueryPolicyTest, AnswersWithoutAgentsDoNotCount) {
  PeerQueryPolicy Policy;
  for (uint16_t Number = 1; Number <= 5; ++Number) {
    EXPECT_TRUE(Policy.onPeerDiscovered(peer(Number)));
    Policy.onAnswer(0);
  }
  EXPECT_FALSE(Policy.onPeerDiscovered(peer(1))) << "a peer was queried twice";
}

// Guards against a query to a peer on each configuration change although the
// balancer's own watch of the store delivers the routes.
TEST(PeerQueryPolicyTest, NoRoutesQueryIfOwnWatchDeliversThem) {
  PeerQueryPolicy Policy;
  Policy.onNewerRoutes(8, peer(1), Start);
  EXPECT_FALSE(Policy.takeDueRoutesQuery(7, Start));
  EXPECT_FALSE(Policy.takeDueRoutesQuery(8, Start + OwnWatchDelay));
}

// Guards against a second copy of a large configuration on the link that
// delivers the first one, and against copies that add up.
TEST(PeerQueryPolicyTest, OneStateAtATimeAndNoneBesideTheStores) {
  PeerQueryPolicy Policy;
  EXPECT_TRUE(Policy.mayQueryState(false));
  EXPECT_FALSE(Policy.mayQueryState(true));
  Policy.setStateQueryPending(true);
  EXPECT_FALSE(Policy.mayQueryState(false));
  Policy.setStateQueryPending(false);
  EXPECT_TRUE(Policy.mayQueryState(false));
}

// Guards against a balancer that is cut off from the store and keeps old
// routes: agents return its opening packets one second after they know newer
// routes.
TEST(PeerQueryPolicyTest, QueriesForRoutesWithinASecondIfCutOffFromStore) {
  PeerQueryPolicy Policy;
  Policy.onNewerRoutes(8, peer(1), Start);
  Policy.onNewerRoutes(8, peer(2), Start + milliseconds(100));
  EXPECT_EQ(Policy.takeDueRoutesQuery(7, Start + milliseconds(900)), peer(1));
  EXPECT_FALSE(Policy.takeDueRoutesQuery(7, Start + milliseconds(950)));
  Policy.clearNewerRoutes();
  Policy.onNewerRoutes(8, peer(2), Start + milliseconds(1000));
  EXPECT_EQ(Policy.takeDueRoutesQuery(7, Start + milliseconds(1900)), peer(2));
}

} // namespace
} // namespace burdockstream::flowd
