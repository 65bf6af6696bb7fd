#include "burdockstream/network/ProxyHeader.h"
#include "burdockstream/standins/ControlPort.h"
#include "burdockstream/standins/FabricStandin.h"

#include "TestLoop.h"

#include <gtest/gtest.h>

namespace burdockstream::standins {
namespace {

using Bytes = std::vector<uint8_t>;

constexpr base::SocketAddress AnyPort{0x7f000001, 0};

// A fabric with one service, one caller and one balancer that echoes every
// payload to the caller.
class FabricTest : public ::testing::Test {
protected:
  void SetUp() override {
    Balancer = std::move(network::UdpSocket::open(AnyPort).value());
    Caller = std::move(network::UdpSocket::open(AnyPort).value());
    FabricOptions Options;
    Options.Services = {AnyPort};
    Options.Balancers = {Balancer->localAddress()};
    Fabric = std::move(FabricStandin::open(Loop.context(), Options).value());
    Balancer->attach(Loop.context(), [this](std::span<uint8_t> Datagram,
                                            base::SocketAddress From) {
      ++BalancerDatagrams;
      auto Parsed = network::parseProxyHeader(Datagram);
      ASSERT_TRUE(Parsed.has_value());
      EXPECT_EQ(Parsed->Header.Source, Caller->localAddress());
      EXPECT_EQ(Parsed->Header.Destination, service());
      EXPECT_EQ(From, Fabric->uplinkAddress());
      network::writeProxyHeader(
          Datagram, {Parsed->Header.Destination, Parsed->Header.Source});
      Balancer->send(Datagram, From);
    });
    Caller->attach(Loop.context(), [this](std::span<uint8_t> Datagram,
                                          base::SocketAddress From) {
      EXPECT_EQ(From, service());
      Received.emplace_back(Datagram.begin(), Datagram.end());
    });
  }

  base::SocketAddress service() const {
    return Fabric->serviceAddresses().at(0);
  }

  void command(const std::string &Text) {
    const Json::Value Answer = executeCommand(
        [this](const Json::Value &Parsed) { return Fabric->execute(Parsed); },
        Text);
    ASSERT_FALSE(Answer.isMember("error")) << toJsonLine(Answer);
  }

  testing::TestLoop Loop;
  std::unique_ptr<network::UdpSocket> Balancer;
  std::unique_ptr<network::UdpSocket> Caller;
  std::unique_ptr<FabricStandin> Fabric;
  int BalancerDatagrams = 0;
  std::vector<Bytes> Received;
};

// Guards against a response sent from an address other than the service
// address, which callers would ignore.
TEST_F(FabricTest, ForwardsInBothDirections) {
  const Bytes Payload{1, 2, 3};
  Caller->send(Payload, service());
  ASSERT_TRUE(Loop.runUntil([this] { return !Received.empty(); }));
  EXPECT_EQ(Received.at(0), Payload);
}

// Guards against a cut link that still forwards datagrams or that cannot be
// restored.
TEST_F(FabricTest, CutLinkDropsUntilRestored) {
  command("{\"command\":\"set_link\",\"balancer\":\"*\",\"cut_to\":true}");
  Caller->send(Bytes(1), service());
  ASSERT_TRUE(
      Loop.runUntil([this] { return Fabric->counters().CutDrops == 1; }));
  command("{\"command\":\"set_link\",\"balancer\":\"*\",\"cut_to\":false,"
          "\"cut_from\":true}");
  Caller->send(Bytes(1), service());
  ASSERT_TRUE(
      Loop.runUntil([this] { return Fabric->counters().CutDrops == 2; }));
  EXPECT_EQ(BalancerDatagrams, 1);
  EXPECT_TRUE(Received.empty());
  command("{\"command\":\"set_link\",\"balancer\":\"*\",\"cut\":false}");
  Caller->send(Bytes(1), service());
  EXPECT_TRUE(Loop.runUntil([this] { return Received.size() == 1; }));
}

// Guards against link impairments that have no effect.
TEST_F(FabricTest, DuplicatesDelaysAndDrops) {
  command("{\"command\":\"set_link\",\"balancer\":\"*\","
          "\"duplicate_percent\":100,\"delay_ms\":20,\"jitter_ms\":5}");
  const auto Start = monotonicNow();
  Caller->send(Bytes(1), service());
  ASSERT_TRUE(Loop.runUntil([this] { return Received.size() == 4; }));
  EXPECT_GE(monotonicNow() - Start, std::chrono::milliseconds(40));
  command("{\"command\":\"set_link\",\"balancer\":\"callers\","
          "\"drop_percent\":100}");
  Caller->send(Bytes(1), service());
  ASSERT_TRUE(
      Loop.runUntil([this] { return Fabric->counters().RandomDrops == 1; }));
}

// Guards against forwarding a response from an unknown service address, and
// against invalid commands that are not reported.
TEST_F(FabricTest, RefusesBadResponsesAndCommands) {
  Balancer->send(Bytes(40), Fabric->uplinkAddress());
  Bytes Datagram(network::ProxyHeaderBytes);
  network::writeProxyHeader(Datagram,
                            {{0x7f000001, 9}, Caller->localAddress()});
  Balancer->send(Datagram, Fabric->uplinkAddress());
  ASSERT_TRUE(
      Loop.runUntil([this] { return Fabric->counters().BadResponse == 2; }));
  for (const char *Text :
       {"", "[]", "{}", "{\"command\":\"set_link\",\"balancer\":\"x\"}",
        "{\"command\":\"set_link\",\"balancer\":\"*\",\"cut\":\"maybe\"}",
        "{\"command\":\"set_balancers\",\"balancers\":[7]}"})
    EXPECT_TRUE(executeCommand(
                    [this](const Json::Value &Parsed) {
                      return Fabric->execute(Parsed);
                    },
                    Text)
                    .isMember("error"))
        << Text;
}

} // namespace
} // namespace burdockstream::standins
