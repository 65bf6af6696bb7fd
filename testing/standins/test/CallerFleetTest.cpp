// Tests callers, fabric and endpoint together. A relay replaces the balancers
// and agents; it uses one socket per caller to talk to the endpoint.
#include "burdockstream/standins/CallerFleet.h"
#include "burdockstream/network/ProxyHeader.h"
#include "burdockstream/standins/ControlPort.h"
#include "burdockstream/standins/EndpointStandin.h"
#include "burdockstream/standins/FabricStandin.h"

#include "TestLoop.h"

#include <gtest/gtest.h>

namespace burdockstream::standins {
namespace {

constexpr base::SocketAddress AnyPort{0x7f000001, 0};
constexpr RetransmitOptions FastRetransmit{std::chrono::milliseconds(30), 8};

class Relay {
public:
  Relay(GMainContext *InitContext, base::SocketAddress InitEndpoint)
      : Context(InitContext), Endpoint(InitEndpoint),
        Socket(std::move(network::UdpSocket::open(AnyPort).value())) {
    Socket->attach(Context, [this](std::span<uint8_t> Datagram,
                                   base::SocketAddress From) {
      const auto Parsed = network::parseProxyHeader(Datagram);
      if (Parsed)
        endpointSocket(Parsed->Header, From).send(Parsed->Payload, Endpoint);
    });
  }

  base::SocketAddress address() const { return Socket->localAddress(); }

private:
  network::UdpSocket &endpointSocket(const network::ProxyHeader &Header,
                                     base::SocketAddress Fabric) {
    auto &Entry = Callers[Header.Source];
    if (Entry)
      return *Entry;
    Entry = std::move(network::UdpSocket::open(AnyPort).value());
    Entry->attach(Context, [this, Header, Fabric](std::span<uint8_t> Datagram,
                                                  base::SocketAddress) {
      std::vector<uint8_t> Out(network::ProxyHeaderBytes);
      network::writeProxyHeader(Out, {Header.Destination, Header.Source});
      Out.insert(Out.end(), Datagram.begin(), Datagram.end());
      Socket->send(Out, Fabric);
    });
    return *Entry;
  }

  GMainContext *Context;
  base::SocketAddress Endpoint;
  std::unique_ptr<network::UdpSocket> Socket;
  std::unordered_map<base::SocketAddress, std::unique_ptr<network::UdpSocket>>
      Callers;
};

class CallerFleetTest : public ::testing::Test {
protected:
  void SetUp() override {
    EndpointOptions Server;
    Server.Service = "shop";
    Server.Jobs.Slots = 8;
    Server.Jobs.QueueLimit = 1000;
    Server.Jobs.RunTimes["/booking"] = std::chrono::milliseconds(60);
    Server.Retransmit = FastRetransmit;
    Endpoint = std::move(EndpointStandin::open(Loop.context(), Server).value());
    Balancer =
        std::make_unique<Relay>(Loop.context(), Endpoint->localAddress());
    FabricOptions Net;
    Net.Services = {AnyPort};
    Net.Balancers = {Balancer->address()};
    Fabric = std::move(FabricStandin::open(Loop.context(), Net).value());
    Options.Caller.Service = Fabric->serviceAddresses().at(0);
    Options.Caller.Retransmit = FastRetransmit;
    Options.Caller.EarlyBlock2 = true;
    Options.ServiceName = "shop";
    Options.Callers = 5;
    Options.Mix = {{"echo", 1}, {"sheet", 1}, {"put", 1}, {"booking", 2}};
  }

  void openFleet() {
    Fleet = std::move(CallerFleet::open(Loop.context(), Options).value());
  }

  void setLink(const std::string &Parameters) {
    Json::Value Answer = executeCommand(
        [this](const Json::Value &Command) { return Fabric->execute(Command); },
        "{\"command\":\"set_link\",\"balancer\":\"*\"," + Parameters + "}");
    ASSERT_FALSE(Answer.isMember("error")) << toJsonLine(Answer);
  }

  // Sends 20 requests of each kind and waits for all outcomes.
  void sendAll() {
    for (size_t I = 0; I < 20; ++I)
      for (const auto &[Kind, Weight] : Options.Mix)
        Fleet->sendRequest(I % Options.Callers, Kind);
    ASSERT_TRUE(Loop.runUntil([this] { return Fleet->outstanding() == 0; }));
  }

  void expectAllCorrect() {
    const Json::Value Results = Fleet->results();
    for (const auto &[Kind, Weight] : Options.Mix)
      EXPECT_EQ(Results["kinds"][Kind]["correct"].asUInt(), 20U)
          << toJsonLine(Results);
    std::map<std::string, int> Runs;
    for (const JournalEntry &Entry : Endpoint->jobs().journal())
      if (Entry.Path == "/booking")
        ++Runs[Entry.RequestId];
    EXPECT_EQ(Runs.size(), 20U);
    for (const auto &[RequestId, Count] : Runs)
      EXPECT_EQ(Count, 1) << RequestId;
  }

  testing::TestLoop Loop;
  std::unique_ptr<EndpointStandin> Endpoint;
  std::unique_ptr<Relay> Balancer;
  std::unique_ptr<FabricStandin> Fabric;
  FleetOptions Options;
  std::unique_ptr<CallerFleet> Fleet;
};

// Guards against callers or an endpoint that fail when datagrams are lost,
// duplicated, reordered or delayed.
TEST_F(CallerFleetTest, AllResponsesAreCorrectOnImpairedNetwork) {
  setLink("\"drop_percent\":10,\"duplicate_percent\":10,\"reorder_percent\":20,"
          "\"delay_ms\":1,\"jitter_ms\":3");
  openFleet();
  sendAll();
  expectAllCorrect();
  const Json::Value Messages = Fleet->results()["messages"];
  EXPECT_GT(Messages["retransmissions"].asUInt(), 0U);
  EXPECT_EQ(Messages["malformed"].asUInt(), 0U);
  EXPECT_EQ(Messages["foreign_source"].asUInt(), 0U);
}

// Guards against lost, duplicate or reordered updates, and against a checker
// that receives no updates.
TEST_F(CallerFleetTest, BoardsDeliverEveryUpdateInOrder) {
  setLink("\"drop_percent\":15,\"duplicate_percent\":15,"
          "\"reorder_percent\":20");
  Options.Boards = {"a", "b"};
  openFleet();
  const auto AllHave = [this](uint32_t Number) {
    return Loop.runUntil([this, Number] {
      const Json::Value Boards = Fleet->results()["boards"];
      for (const char *Board : {"a", "b"})
        if (Boards[Board]["registered"].asUInt() != 5 ||
            Boards[Board]["lowest_last"].asUInt() != Number)
          return false;
      return true;
    });
  };
  ASSERT_TRUE(AllHave(0));
  for (uint32_t I = 0; I < 20; ++I)
    for (const char *Board : {"a", "b"})
      Endpoint->boards().publish(Board, 0);
  ASSERT_TRUE(AllHave(20));
  const Json::Value Boards = Fleet->results()["boards"];
  for (const char *Board : {"a", "b"}) {
    EXPECT_EQ(Boards[Board]["updates"].asUInt(), 100U);
    for (const char *Fault :
         {"lost", "duplicates", "out_of_order", "wrong_bodies"})
      EXPECT_EQ(Boards[Board][Fault].asUInt(), 0U) << Board << " " << Fault;
  }
}

// Guards against a checker that accepts the response of another service.
TEST_F(CallerFleetTest, WrongServiceIsReported) {
  Options.ServiceName = "other";
  openFleet();
  Fleet->sendRequest(0, "echo");
  ASSERT_TRUE(Loop.runUntil([this] { return Fleet->outstanding() == 0; }));
  const Json::Value Results = Fleet->results();
  EXPECT_EQ(Results["kinds"]["echo"]["wrong"].asUInt(), 1U);
  EXPECT_EQ(Results["wrong_answers"].size(), 1U);
}

// Guards against a request that never gets an outcome when nothing responds.
TEST_F(CallerFleetTest, CutNetworkIsReported) {
  setLink("\"cut\":true");
  Options.Caller.Retransmit = {std::chrono::milliseconds(5), 2};
  openFleet();
  Fleet->sendRequest(0, "booking");
  ASSERT_TRUE(Loop.runUntil([this] { return Fleet->outstanding() == 0; }));
  ASSERT_EQ(Fleet->requests().size(), 1U);
  EXPECT_EQ(Fleet->requests()[0].Outcome, CallOutcome::NoResponse);
  EXPECT_EQ(Endpoint->jobs().journal().size(), 0U);
}

} // namespace
} // namespace burdockstream::standins
