#include "burdockstream/standins/ControlPort.h"
#include "burdockstream/standins/EndpointStandin.h"
#include "burdockstream/standins/ExpectedBodies.h"

#include "TestLoop.h"

#include <gtest/gtest.h>

namespace burdockstream::standins {
namespace {

constexpr base::SocketAddress AnyPort{0x7f000001, 0};

// An endpoint with one slot and a peer that sends and receives CoAP messages
// without retransmission or duplicate detection.
class EndpointTest : public ::testing::Test {
protected:
  void SetUp() override {
    EndpointOptions Options;
    Options.Service = "shop";
    Options.Jobs.Slots = 1;
    Options.Jobs.QueueLimit = 1;
    Options.Jobs.DefaultRunTime = std::chrono::milliseconds(1);
    Options.Jobs.RunTimes["/booking"] = std::chrono::hours(1);
    Options.AckDelay = std::chrono::milliseconds(10);
    Options.Retransmit.AckTimeout = std::chrono::milliseconds(20);
    Endpoint =
        std::move(EndpointStandin::open(Loop.context(), Options).value());
    Peer = std::move(network::UdpSocket::open(AnyPort).value());
    Peer->attach(Loop.context(),
                 [this](std::span<uint8_t> Datagram, base::SocketAddress) {
                   Received.push_back(coap::parseMessage(Datagram).value());
                 });
  }

  void send(const coap::CoapMessage &Message) {
    Peer->send(coap::serializeMessage(Message).value(),
               Endpoint->localAddress());
  }

  static coap::CoapMessage request(uint16_t Id, coap::Code Method,
                                   const std::string &Path) {
    coap::CoapMessage Message;
    Message.MessageId = Id;
    Message.MessageCode = Method;
    Message.Token = {static_cast<uint8_t>(Id)};
    Message.Path = coap::splitPath(Path);
    return Message;
  }

  void answer(uint16_t Id, coap::MessageType Type) {
    coap::CoapMessage Message;
    Message.Type = Type;
    Message.MessageId = Id;
    send(Message);
  }

  bool waitFor(size_t Count) {
    return Loop.runUntil([this, Count] { return Received.size() >= Count; });
  }

  static std::string body(const coap::CoapMessage &Message) {
    return {Message.Payload.begin(), Message.Payload.end()};
  }

  testing::TestLoop Loop;
  std::unique_ptr<EndpointStandin> Endpoint;
  std::unique_ptr<network::UdpSocket> Peer;
  std::vector<coap::CoapMessage> Received;
};

// Guards against running a request twice when its message is retransmitted.
TEST_F(EndpointTest, RetransmittedRequestRunsOnce) {
  auto Request = request(7, coap::Code::Post, "/order");
  Request.Query = {"rid=r1"};
  send(Request);
  ASSERT_TRUE(waitFor(1));
  send(Request);
  ASSERT_TRUE(waitFor(2));
  EXPECT_EQ(Received[0], Received[1]);
  EXPECT_EQ(Received[0].Type, coap::MessageType::Acknowledgement);
  EXPECT_EQ(body(Received[0]), runBody("shop", "/order", "r1"));
  ASSERT_EQ(Endpoint->jobs().journal().size(), 1U);
  EXPECT_EQ(Endpoint->jobs().journal()[0].RequestId, "r1");
  EXPECT_EQ(Endpoint->counters().Duplicates, 1U);
}

// Guards against losing a slow response: it must be sent as a separate
// confirmable message and be retransmitted.
TEST_F(EndpointTest, SlowResponseIsSeparateAndRetransmitted) {
  Endpoint->jobs().options().DefaultRunTime = std::chrono::milliseconds(30);
  send(request(8, coap::Code::Get, "/echo"));
  ASSERT_TRUE(waitFor(3));
  EXPECT_EQ(Received[0].Type, coap::MessageType::Acknowledgement);
  EXPECT_EQ(Received[0].MessageCode, coap::Code::Empty);
  EXPECT_EQ(Received[1].Type, coap::MessageType::Confirmable);
  EXPECT_EQ(body(Received[1]), echoBody("shop", "/echo", {}));
  EXPECT_EQ(Received[1], Received[2]);
}

// Guards against requests that start after their "not after" time, and against
// queued or running requests that continue after their cancellation.
TEST_F(EndpointTest, ExpiredAndCancelledRequestsDoNotRun) {
  auto Expired = request(1, coap::Code::Post, "/order");
  Expired.NotAfter = base::WallTime{wallNow().Milliseconds - 1};
  send(Expired);
  ASSERT_TRUE(waitFor(1));
  EXPECT_EQ(Received[0].MessageCode, coap::Code::ServiceUnavailable);
  EXPECT_EQ(body(Received[0]), "late");
  send(request(2, coap::Code::Post, "/booking"));
  send(request(3, coap::Code::Post, "/booking"));
  send(request(4, coap::Code::Post, "/booking"));
  ASSERT_TRUE(waitFor(4)); // two acknowledgments and one refusal
  EXPECT_EQ(Endpoint->jobs().counters().Shed, 1U);
  answer(3, coap::MessageType::Reset);
  answer(2, coap::MessageType::Reset);
  ASSERT_TRUE(Loop.runUntil(
      [this] { return Endpoint->jobs().counters().CancelledRunning == 1; }));
  EXPECT_EQ(Endpoint->jobs().counters().CancelledQueued, 1U);
  ASSERT_EQ(Endpoint->jobs().journal().size(), 1U);
  EXPECT_TRUE(Endpoint->jobs().journal()[0].Cancelled);
  EXPECT_EQ(Endpoint->jobs().running(), 0U);
}

// Guards against lost, duplicate or reordered updates of a board.
TEST_F(EndpointTest, UpdatesFollowInOrder) {
  for (int I = 0; I < 4; ++I)
    Endpoint->boards().publish("line", 0);
  auto Request = request(20, coap::Code::Get, "/board/line");
  Request.Observe = 0;
  Request.Query = {"since=1"};
  send(Request);
  std::vector<uint32_t> Numbers;
  size_t Next = 0;
  while (Numbers.size() < 4) {
    ASSERT_TRUE(waitFor(Next + 1));
    const coap::CoapMessage Update = Received[Next++];
    if (!Numbers.empty() && *Update.Observe == Numbers.back())
      continue; // retransmitted before the acknowledgment arrived
    Numbers.push_back(Update.Observe.value());
    EXPECT_EQ(body(Update), boardBody("shop", "line", Numbers.back()));
    if (Update.Type == coap::MessageType::Confirmable)
      answer(Update.MessageId, coap::MessageType::Acknowledgement);
    if (Numbers.size() == 3)
      Endpoint->boards().publish("line", 0);
  }
  EXPECT_EQ(Numbers, (std::vector<uint32_t>{2, 3, 4, 5}));
}

// Guards against further notifications to an observer that rejected one.
TEST_F(EndpointTest, ResetEndsTheObservation) {
  auto Request = request(21, coap::Code::Get, "/board/line");
  Request.Observe = 0;
  send(Request);
  ASSERT_TRUE(waitFor(1));
  EXPECT_EQ(Received[0].Observe, 0U);
  Endpoint->boards().publish("line", 0);
  ASSERT_TRUE(waitFor(2));
  answer(Received[1].MessageId, coap::MessageType::Reset);
  ASSERT_TRUE(
      Loop.runUntil([this] { return Endpoint->boards().observers() == 0; }));
}

// Guards against control commands that have no effect, and against a journal
// that omits runs.
TEST_F(EndpointTest, ControlCommandsWork) {
  const auto Execute = [this](const std::string &Text) {
    return executeCommand(
        [this](const Json::Value &Command) {
          return Endpoint->execute(Command);
        },
        Text);
  };
  const auto Publish = [&Execute](const std::string &Arguments) {
    return Execute("{\"command\":\"publish\"," + Arguments + "}")["number"]
        .asUInt();
  };
  EXPECT_EQ(Publish("\"board\":\"b\""), 1U);
  EXPECT_EQ(Publish("\"board\":\"b\",\"number\":9"), 9U);
  Execute("{\"command\":\"set\",\"load_percent\":250,\"shedding\":true}");
  send(request(1, coap::Code::Get, "/load"));
  send(request(2, coap::Code::Get, "/echo"));
  ASSERT_TRUE(waitFor(2));
  EXPECT_NE(body(Received[0]).find("\"load_percent\":250"), std::string::npos);
  EXPECT_EQ(body(Received[1]), "shed");
  Execute("{\"command\":\"set\",\"shedding\":false}");
  send(request(3, coap::Code::Get, "/echo"));
  ASSERT_TRUE(waitFor(3));
  const Json::Value Journal = Execute("{\"command\":\"journal\"}");
  ASSERT_EQ(Journal["entries"].size(), 1U);
  EXPECT_EQ(Journal["entries"][0]["path"], "/echo");
  EXPECT_TRUE(Journal["entries"][0].isMember("end_ms"));
  EXPECT_EQ(Execute("{\"command\":\"counters\"}")["ran"].asUInt(), 1U);
  EXPECT_TRUE(Execute("{\"command\":\"explode\"}").isMember("error"));
}

} // namespace
} // namespace burdockstream::standins
