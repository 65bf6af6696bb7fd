#include "NodeFixture.h"

#include <gtest/gtest.h>

namespace burdockstream::nodes {
namespace {

constexpr const char *Record = R"({"schema_version": 2, "service": "shopdesk",
  "team": "retail", "address": "127.0.10.1:5683", "buckets": 4})";

class AgentNodeTest : public ::testing::Test {
protected:
  AgentNodeTest() { Node.start(at(0), Out); }

  static AgentNodeSettings settings() {
    AgentNodeSettings Settings;
    Settings.Self = member(messages::Role::Agent, 0xa1, {0x7f000201, 7000});
    Settings.Service = "shopdesk";
    Settings.ConfiguredBalancers = configuredBalancers();
    return Settings;
  }

  // Delivers the service record in an acknowledgment of a balancer.
  void deliverRecord(int64_t When) {
    messages::AnnounceAck Ack;
    Ack.Balancers = {member(messages::Role::Balancer, 0xb1, BalancerData)};
    Ack.Records = {{"shopdesk", 2, Record}};
    Node.onMessage(Ack, {0xb1}, BalancerData, at(When), Out);
  }

  // Advances time in steps of 50 ms up to Milliseconds, while the endpoint
  // answers every ping.
  void runUntil(int64_t Milliseconds) {
    for (; Time <= Milliseconds; Time += 50) {
      Node.tick(at(Time), Out);
      Node.onEndpointPong(at(Time), Out);
    }
  }

  messages::MemberState state() const { return Node.membership().self().State; }

  base::RandomSource Random{1};
  base::Metrics Registry;
  AgentNode Node{settings(), Random, Registry};
  ActionSink Out;
  int64_t Time = 0;
};

// Guards against an agent that accepts requests before it knows the bucket
// owners: it would answer unknown where it must forward the request.
TEST_F(AgentNodeTest, IsReadyOnceTheOwnersAreKnown) {
  deliverRecord(0);
  runUntil(1000);
  EXPECT_EQ(state(), messages::MemberState::Starting);
  for (const Action &NextAction : ActionSink(Out))
    if (const auto *Read = std::get_if<ReadOwners>(&NextAction))
      Node.onStoreResult(
          {Read->Operation, ownership::StoreOutcome::Success, 0, {}}, at(1000),
          Out);
  EXPECT_EQ(state(), messages::MemberState::Ready);
}

// Guards against an agent that never becomes ready because the store is down
// when it starts.
TEST_F(AgentNodeTest, IsReadyWithoutTheStoreAfterATimeout) {
  deliverRecord(0);
  runUntil(4900);
  EXPECT_EQ(state(), messages::MemberState::Starting);
  runUntil(5100);
  EXPECT_EQ(state(), messages::MemberState::Ready);
}

// Guards against requests to an endpoint that does not answer pings.
TEST_F(AgentNodeTest, IsNotReadyWhenTheEndpointDoesNotAnswer) {
  deliverRecord(0);
  runUntil(5100);
  ASSERT_EQ(state(), messages::MemberState::Ready);
  for (int64_t Later = 5150; Later <= 7000; Later += 50)
    Node.tick(at(Later), Out);
  EXPECT_EQ(state(), messages::MemberState::Starting);
}

// Guards against a crash on datagrams that name a bucket which does not exist
// or that arrive before the service record.
TEST_F(AgentNodeTest, CountsDroppedDatagrams) {
  const messages::Forward Packet{
      base::serviceIdOf("shopdesk"), 9, {1, 1}, BalancerData, 0, {}};
  Node.onMessage(Packet, {0xb1}, BalancerData, at(0), Out);
  deliverRecord(0);
  Node.onMessage(Packet, {0xb1}, BalancerData, at(10), Out);
  const base::Labels Tags{{"service", "shopdesk"}};
  EXPECT_EQ(Registry.counter("dropped_before_record", Tags).value(), 1U);
  EXPECT_EQ(Registry.counter("dropped_bad_bucket", Tags).value(), 1U);
}

} // namespace
} // namespace burdockstream::nodes
