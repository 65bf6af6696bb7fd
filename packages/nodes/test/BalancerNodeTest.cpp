#include "NodeFixture.h"
#include "burdockstream/ownership/ArbiterSelection.h"

#include <gtest/gtest.h>

namespace burdockstream::nodes {
namespace {

class BalancerNodeTest : public ::testing::Test {
protected:
  BalancerNodeTest() { Node.start(at(0), Out); }

  void runUntil(int64_t Milliseconds) {
    for (; Time <= Milliseconds; Time += 50)
      Node.tick(at(Time), Out);
  }

  // Returns whether the sink holds an action of type ActionT.
  template <typename ActionT> bool hasAction() const {
    for (const Action &NextAction : Out)
      if (std::get_if<ActionT>(&NextAction))
        return true;
    return false;
  }

  base::RandomSource Random{1};
  base::Metrics Registry;
  BalancerNode Node{{member(messages::Role::Balancer, 0xb1, BalancerData),
                     configuredBalancers(), 77},
                    Random,
                    Registry,
                    at(0)};
  ActionSink Out;
  int64_t Time = 0;
};

// Guards against a rolling restart that goes on to the next balancer while this
// one's arbiter does not answer yet, which could leave a service without a
// majority of arbiters.
TEST_F(BalancerNodeTest, IsReadyOnceItsArbiterAnswers) {
  runUntil(7900);
  EXPECT_FALSE(Node.isReady(at(7900)));
  runUntil(8100);
  EXPECT_TRUE(Node.isReady(at(8100)));
}

// Guards against a crash of a balancer that is shutting down and knows no other
// balancer: an announcement of an agent made it choose from an empty list.
TEST_F(BalancerNodeTest, AnswersAgentsDuringShutdown) {
  runUntil(9000);
  Node.beginShutdown(at(9000), Out);
  messages::MemberInfo Agent =
      member(messages::Role::Agent, 0xa1, {0x7f000201, 7000});
  Agent.Service = base::serviceIdOf("shopdesk");
  Node.onMessage(messages::Announce{Agent, 0, 1'009'000}, Agent.Data, at(9000),
                 Out);
  runUntil(11600);
  EXPECT_TRUE(hasAction<ShutdownComplete>());
}

// Guards against an arbiter that grants leases right after a restart, when it
// no longer knows its earlier grants, and against one that never grants again.
TEST_F(BalancerNodeTest, GrantsLeasesAfterTheRestartDelay) {
  const auto Service = base::serviceIdOf("shopdesk");
  const std::vector<base::SocketAddress> Balancers{BalancerData};
  const uint64_t Hash = ownership::selectArbiters(Balancers, Service).Hash;
  const messages::LeaseRequest Request{{0xa1}, Service, 1, Hash};
  runUntil(7000);
  Out.clear();
  Node.onMessage(Request, {0x7f000201, 7000}, at(7000), Out);
  EXPECT_FALSE(hasAction<SendDatagram>());
  runUntil(8100);
  Out.clear();
  Node.onMessage(Request, {0x7f000201, 7000}, at(8100), Out);
  EXPECT_TRUE(hasAction<SendDatagram>());
}

} // namespace
} // namespace burdockstream::nodes
