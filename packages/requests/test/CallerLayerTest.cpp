#include "CoreHarness.h"

#include <gtest/gtest.h>

namespace burdockstream::requests {
namespace {

CoapMessage emptyReply(MessageType Type, uint16_t MessageId) {
  CoapMessage Empty;
  Empty.Type = Type;
  Empty.MessageId = MessageId;
  return Empty;
}

// Guards against running a request twice when its datagram is duplicated, and
// against a different response to the copy.
TEST(CallerLayerTest, CopiesOfAMessageGetTheSameAnswer) {
  CoreHarness Agent;
  const CoapMessage Request = Agent.request(Code::Get, "/a");
  Agent.fromCaller(Request);
  const auto Passed = Agent.toEndpoint();
  ASSERT_EQ(Passed.size(), 1U);
  Agent.fromCaller(Request);
  EXPECT_TRUE(Agent.toEndpoint().empty());
  Agent.answer(Passed[0], "one");
  const auto First = Agent.toCaller();
  ASSERT_EQ(First.size(), 1U);
  EXPECT_EQ(First[0].Type, MessageType::Acknowledgement);
  EXPECT_EQ(First[0].Token, Request.Token);
  Agent.fromCaller(Request);
  EXPECT_EQ(Agent.toCaller(), First);
}

// Guards against callers retransmitting while a request runs, and against
// losing a separate response.
TEST(CallerLayerTest, SlowRequestsAreAcknowledgedAndAnsweredSeparately) {
  CoreHarness Agent;
  const CoapMessage Request = Agent.request(Code::Get, "/a");
  Agent.fromCaller(Request);
  const auto Passed = Agent.toEndpoint();
  Agent.advance(499ms);
  EXPECT_TRUE(Agent.toCaller().empty());
  Agent.advance(1ms);
  EXPECT_EQ(Agent.toCaller(),
            (std::vector{
                emptyReply(MessageType::Acknowledgement, Request.MessageId)}));
  Agent.answer(Passed[0], "late");
  const auto Response = Agent.toCaller();
  ASSERT_EQ(Response.size(), 1U);
  EXPECT_EQ(Response[0].Type, MessageType::Confirmable);
  EXPECT_EQ(Response[0].Token, Request.Token);
  // The first timeout is 2 to 3 s, and each further one doubles: the last of 4
  // retransmissions comes after 30 to 45 s.
  Agent.advance(1999ms);
  EXPECT_TRUE(Agent.toCaller().empty());
  Agent.advance(1001ms);
  EXPECT_EQ(Agent.toCaller(), Response);
  Agent.advance(42s);
  EXPECT_EQ(Agent.toCaller().size(), 3U);
  Agent.advance(60s);
  EXPECT_TRUE(Agent.toCaller().empty());
  EXPECT_EQ(Agent.counted(Counter::Undelivered), 1);
}

// Guards against retransmitting an acknowledged response.
TEST(CallerLayerTest, AnAcknowledgedResponseIsNotRepeated) {
  CoreHarness Agent;
  Agent.fromCaller(Agent.request(Code::Get, "/a"));
  const auto Passed = Agent.toEndpoint();
  Agent.advance(600ms);
  Agent.answer(Passed[0], "late");
  const auto Sent = Agent.toCaller();
  EXPECT_FALSE(Agent.Core->isIdle());
  Agent.fromCaller(emptyReply(MessageType::Acknowledgement, Sent[1].MessageId));
  EXPECT_TRUE(Agent.Core->isIdle());
  Agent.advance(100s);
  EXPECT_TRUE(Agent.toCaller().empty());
}

// Guards against confusing the responses of concurrent requests.
TEST(CallerLayerTest, AnswersCarryTheTokenAndFlowOfTheirRequest) {
  CoreHarness Agent(8);
  Agent.warmUp(8);
  std::vector<CoapMessage> Requests;
  for (uint16_t Index = 0; Index < 6; ++Index) {
    Requests.push_back(
        Agent.request(Code::Get, "/item" + std::to_string(Index)));
    Agent.fromCaller(Requests.back(), Index % 2);
  }
  auto Passed = Agent.toEndpoint();
  ASSERT_EQ(Passed.size(), 6U);
  for (size_t Index = 6; Index-- > 0;) {
    Agent.answer(Passed[Index], Passed[Index].Path[0]);
    const auto &Sent = std::get<SendToCaller>(Agent.Out.back());
    EXPECT_EQ(Sent.Caller, callerAddress(Index % 2));
    EXPECT_EQ(Sent.Ingress, (base::SocketAddress{0x0a090001, 7000}));
    const auto Answer = coap::parseMessage(Sent.Datagram).value();
    EXPECT_EQ(Answer.Token, Requests[Index].Token);
    EXPECT_EQ(text(Answer), "item" + std::to_string(Index));
  }
}

// Guards against running a request that its caller has cancelled.
TEST(CallerLayerTest, AResetCancelsTheCallersRequest) {
  CoreHarness Agent(1);
  const CoapMessage Running = Agent.request(Code::Get, "/a");
  const CoapMessage Waiting = Agent.request(Code::Get, "/b");
  Agent.fromCaller(Running);
  Agent.fromCaller(Waiting);
  const auto Passed = Agent.toEndpoint();
  ASSERT_EQ(Passed.size(), 1U);
  Agent.fromCaller(emptyReply(MessageType::Reset, Waiting.MessageId));
  EXPECT_EQ(Agent.Core->load(Agent.Now).Queued, 0U);
  Agent.fromCaller(emptyReply(MessageType::Reset, Running.MessageId));
  EXPECT_EQ(Agent.toEndpoint(),
            (std::vector{emptyReply(MessageType::Reset, Passed[0].MessageId)}));
  EXPECT_TRUE(Agent.Core->isIdle());
  EXPECT_EQ(Agent.counted(Counter::CancelledByCaller), 2);
}

// Guards against answering a packet of another service, and against a crash on
// malformed datagrams.
TEST(CallerLayerTest, ForeignAndMalformedPacketsAreDropped) {
  CoreHarness Agent;
  messages::Forward Packet;
  Packet.Service = base::serviceIdOf("fitvault");
  Packet.Payload =
      coap::serializeMessage(Agent.request(Code::Get, "/a")).value();
  Agent.Core->onCaller(Packet, Agent.Authority, Agent.Now, Agent.Out);
  Packet.Service = base::serviceIdOf("shopdesk");
  Packet.Payload = {0xff, 0x00};
  Agent.Core->onCaller(Packet, Agent.Authority, Agent.Now, Agent.Out);
  EXPECT_TRUE(Agent.Out.empty());
  EXPECT_EQ(Agent.counted(Counter::WrongService), 1);
  EXPECT_EQ(Agent.counted(Counter::CallerMalformed), 1);
}

// Guards against forwarding requests that the protocol or the service forbids.
TEST(CallerLayerTest, InvalidRequestsGetADiagnosticAnswer) {
  CoreHarness Agent;
  CoapMessage Large = Agent.request(Code::Put, "/a");
  Large.Payload = Bytes(1025);
  CoapMessage Critical = Agent.request(Code::Get, "/a");
  Critical.OtherOptions = {{2049, {1}}};
  const CoapMessage Method = Agent.request(static_cast<Code>(9), "/a");
  for (const CoapMessage &Request : {Large, Critical, Method})
    Agent.fromCaller(Request);
  EXPECT_TRUE(Agent.toEndpoint().empty());
  const auto Answers = Agent.toCaller();
  ASSERT_EQ(Answers.size(), 3U);
  EXPECT_EQ(Answers[0].MessageCode, Code::RequestEntityTooLarge);
  EXPECT_EQ(Answers[1].MessageCode, Code::BadOption);
  EXPECT_EQ(Answers[2].MessageCode, Code::MethodNotAllowed);
}

// Guards against a CoAP ping that gets no reply.
TEST(CallerLayerTest, APingIsAnsweredByReset) {
  CoreHarness Agent;
  Agent.fromCaller(emptyReply(MessageType::Confirmable, 77));
  EXPECT_EQ(Agent.toCaller(),
            (std::vector{emptyReply(MessageType::Reset, 77)}));
}

} // namespace
} // namespace burdockstream::requests
