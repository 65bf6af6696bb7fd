#include "CoreHarness.h"

#include <gtest/gtest.h>

namespace burdockstream::requests {
namespace {

// Guards against losing a request between agent and endpoint, and against a
// retransmission that the endpoint mistakes for a new request.
TEST(EndpointTest, IdempotentRequestsAreRepeatedWithTheSameMessageId) {
  CoreHarness Agent;
  Agent.fromCaller(Agent.request(Code::Get, "/a"));
  const auto First = Agent.toEndpoint();
  Agent.advance(1500ms);
  EXPECT_EQ(Agent.toEndpoint(), First);
}

// Guards against running a request twice at an endpoint that lost its record of
// message ids in a restart between two copies.
TEST(EndpointTest, NonIdempotentRequestsAreSentOnce) {
  CoreHarness Agent;
  Agent.fromCaller(Agent.post("r1", 30s));
  ASSERT_EQ(Agent.toEndpoint().size(), 1U);
  Agent.advance(5s);
  EXPECT_TRUE(Agent.toEndpoint().empty());
}

// Guards against a start after the deadline or the end of the lease, if the
// agent is paused between its check and the transmission.
TEST(EndpointTest, NotAfterIsTheEarlierOfDeadlineAndLease) {
  CoreHarness Agent(2);
  Agent.warmUp(2);
  Agent.Authority.LeaseEnd = Agent.Now.Monotonic + 5s;
  Agent.fromCaller(Agent.post("r1", 10s));
  Agent.fromCaller(Agent.post("r2", 3s));
  const auto Passed = Agent.toEndpoint();
  ASSERT_EQ(Passed.size(), 2U);
  EXPECT_EQ(Passed[0].NotAfter->Milliseconds, StartWall + 5000);
  EXPECT_EQ(Passed[1].NotAfter->Milliseconds, StartWall + 3000);
  for (const CoapMessage &Request : Passed)
    Agent.answer(Request, "ok");
  Agent.fromCaller(
      Agent.request(Code::Get, "/a")); // idempotent: not limited by the lease
  EXPECT_EQ(Agent.toEndpoint().at(0).NotAfter->Milliseconds, StartWall + 30000);
}

// Guards against losing a separate response, and against a copy of it that is
// not acknowledged.
TEST(EndpointTest, SeparateResponsesAreAcknowledgedEachTime) {
  CoreHarness Agent;
  Agent.fromCaller(Agent.request(Code::Get, "/a"));
  const auto Passed = Agent.toEndpoint();
  CoapMessage Empty;
  Empty.Type = MessageType::Acknowledgement;
  Empty.MessageId = Passed[0].MessageId;
  Agent.fromEndpoint(Empty);
  Agent.advance(5s);
  EXPECT_TRUE(Agent.toEndpoint().empty()); // acknowledged: not retransmitted
  CoapMessage Response;
  Response.MessageCode = Code::Content;
  Response.MessageId = 4711;
  Response.Token = Passed[0].Token;
  for (int Copy = 0; Copy < 2; ++Copy) {
    Agent.fromEndpoint(Response);
    const auto Acks = Agent.toEndpoint();
    ASSERT_EQ(Acks.size(), 1U);
    EXPECT_EQ(Acks[0].Type, MessageType::Acknowledgement);
    EXPECT_EQ(Acks[0].MessageId, 4711);
  }
  EXPECT_EQ(Agent.counted(Counter::Answered), 1);
}

// Guards against running a request whose deadline has passed.
TEST(EndpointTest, IdempotentWorkIsCancelledAtItsDeadline) {
  CoreHarness Agent;
  Agent.fromCaller(Agent.request(Code::Get, "/a",
                                 {"dl=" + std::to_string(StartWall + 400)}));
  const auto Passed = Agent.toEndpoint();
  Agent.advance(400ms);
  const auto Sent = Agent.toEndpoint();
  ASSERT_EQ(Sent.size(), 1U);
  EXPECT_EQ(Sent[0].Type, MessageType::Reset);
  EXPECT_EQ(Sent[0].MessageId, Passed[0].MessageId);
  EXPECT_EQ(Agent.toCaller().at(0).MessageCode, Code::GatewayTimeout);
  EXPECT_EQ(Agent.Core->load(Agent.Now).Running, 0U);
}

// Guards against reporting "not-run" for, or retrying, a non-idempotent request
// that was running when the endpoint died, and against keeping requests queued
// for a dead endpoint.
TEST(EndpointTest, ADeadEndpointMakesStartedWorkUnknownAndWaitingWorkNotRun) {
  CoreHarness Agent(1);
  Agent.fromCaller(Agent.post("started", 60s));
  Agent.fromCaller(Agent.post("waiting", 60s));
  Agent.advance(11s);
  EXPECT_FALSE(Agent.Core->endpointAlive());
  std::map<std::string, CoapMessage> Answers;
  for (const CoapMessage &Answer : Agent.toCaller())
    if (coap::isResponse(Answer.MessageCode))
      Answers[text(Answer)] = Answer;
  ASSERT_EQ(Answers.size(), 2U);
  EXPECT_EQ(Answers["unknown"].Token, (Bytes{0, 1}));
  EXPECT_EQ(Answers["not-run"].Token, (Bytes{0, 2}));
  EXPECT_GE(Answers["not-run"].MaxAgeSeconds, 1U);
  Agent.toEndpoint();
  Agent.fromCaller(Agent.post("later", 60s));
  EXPECT_EQ(text(Agent.toCaller().back()), "not-run");
  EXPECT_TRUE(Agent.toEndpoint().empty());
}

// Guards against an agent that never uses a recovered endpoint again, and
// against overloading it while it is cold.
TEST(EndpointTest, AnEndpointThatAnswersPingsIsUsedAgainWithOneSlot) {
  CoreHarness Agent(4);
  Agent.warmUp(4);
  Agent.fromCaller(Agent.request(Code::Get, "/a"));
  Agent.advance(12s);
  ASSERT_FALSE(Agent.Core->endpointAlive());
  const CoapMessage Ping = Agent.toEndpoint().back();
  EXPECT_EQ(Ping.MessageCode, Code::Empty);
  EXPECT_EQ(Ping.Type, MessageType::Confirmable);
  CoapMessage Pong;
  Pong.Type = MessageType::Reset;
  Pong.MessageId = Ping.MessageId;
  Agent.fromEndpoint(Pong);
  EXPECT_TRUE(Agent.Core->endpointAlive());
  EXPECT_EQ(Agent.Core->load(Agent.Now).SlotLimit, 1U);
  Agent.fromCaller(Agent.request(Code::Get, "/b"));
  EXPECT_EQ(Agent.toEndpoint().size(), 1U);
}

// Guards against a crash on a response that cannot be forwarded.
TEST(EndpointTest, UnusableResponsesBecomeBadGateway) {
  CoreHarness Agent;
  for (const size_t Size : {size_t{60'000}, size_t{60'001}}) {
    Agent.fromCaller(Agent.request(Code::Get, "/a"));
    Agent.answer(Agent.toEndpoint().at(0), std::string(Size, 'x'));
    EXPECT_EQ(Agent.toCaller().at(0).MessageCode,
              Size == 60'000 ? Code::Content : Code::BadGateway);
  }
  Agent.Core->onEndpoint(Bytes{0xff}, Agent.Now, Agent.Out);
  EXPECT_EQ(Agent.counted(Counter::EndpointMalformed), 1);
}

} // namespace
} // namespace burdockstream::requests
