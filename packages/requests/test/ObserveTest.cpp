#include "CoreHarness.h"

#include <gtest/gtest.h>

namespace burdockstream::requests {
namespace {

CoapMessage ackOf(const CoapMessage &Message,
                  MessageType Type = MessageType::Acknowledgement) {
  CoapMessage Ack;
  Ack.Type = Type;
  Ack.MessageId = Message.MessageId;
  return Ack;
}

// A core with one subscription; the test acts as the endpoint.
struct ObserveFixture {
  ObserveFixture() : Registration(Agent.request(Code::Get, "/board")) {
    Registration.Observe = 0;
  }

  void open() {
    Agent.fromCaller(Registration);
    Observation = Agent.toEndpoint().at(0);
  }

  // The endpoint sends update Number.
  void update(uint32_t Number, bool AsResponse = false,
              Code Result = Code::Content) {
    CoapMessage Message;
    Message.MessageCode = Result;
    Message.Token = Observation.Token;
    Message.Observe = Number;
    Message.Payload = bytes("update " + std::to_string(Number));
    Message.Type =
        AsResponse ? MessageType::Acknowledgement : MessageType::Confirmable;
    Message.MessageId = AsResponse ? Observation.MessageId : NextId++;
    Agent.fromEndpoint(Message);
    std::erase_if(Agent.Out, [](const Action &Value) {
      return std::holds_alternative<SendToEndpoint>(Value);
    });
  }

  // The caller receives one notification and acknowledges it.
  std::optional<uint32_t> deliver() {
    const auto Sent = Agent.toCaller();
    for (const CoapMessage &Message : Sent) {
      if (Message.MessageCode == Code::Empty)
        continue;
      EXPECT_EQ(Message.Type, MessageType::Confirmable);
      EXPECT_EQ(Message.Token, Registration.Token);
      Agent.fromCaller(ackOf(Message));
      return Message.Observe;
    }
    return std::nullopt;
  }

  CoreHarness Agent;
  CoapMessage Registration;
  CoapMessage Observation;
  uint16_t NextId = 9000;
};

// Guards against reordered, duplicate or concurrent notifications.
TEST(ObserveTest, UpdatesAreDeliveredOneAtATimeInOrderAndOnce) {
  ObserveFixture Fixture;
  Fixture.open();
  EXPECT_EQ(Fixture.Observation.Observe, 0U);
  Fixture.update(5, true);
  EXPECT_EQ(Fixture.Agent.toCaller().size(), 2U); // empty ACK, first update
  Fixture.update(7);
  Fixture.update(6);
  Fixture.update(6);
  EXPECT_TRUE(Fixture.Agent.toCaller().empty()); // update 5 is unacknowledged
  Fixture.Agent.advance(3s);
  EXPECT_EQ(Fixture.deliver(), 5U);
  EXPECT_EQ(Fixture.deliver(), 6U);
  EXPECT_EQ(Fixture.deliver(), 7U);
  EXPECT_EQ(Fixture.deliver(), std::nullopt);
  EXPECT_EQ(Fixture.Agent.counted(Counter::UpdateDuplicate), 1);
}

// Guards against starting a subscription with an update that overtakes the
// response to the registration.
TEST(ObserveTest, TheRegistrationsResponseIsTheFirstUpdate) {
  ObserveFixture Fixture;
  Fixture.open();
  Fixture.update(6);
  EXPECT_EQ(Fixture.deliver(), std::nullopt);
  Fixture.update(5, true);
  EXPECT_EQ(Fixture.deliver(), 5U);
  EXPECT_EQ(Fixture.deliver(), 6U);
}

// Guards against an undetected gap: the missing update is requested with since.
TEST(ObserveTest, AMissingUpdateIsRequestedAgain) {
  ObserveFixture Fixture;
  Fixture.open();
  Fixture.update(1, true);
  EXPECT_EQ(Fixture.deliver(), 1U);
  Fixture.update(3);
  Fixture.Agent.advance(1s);
  Fixture.Observation = Fixture.Agent.toEndpoint().at(0);
  EXPECT_EQ(Fixture.Observation.Query, (std::vector<std::string>{"since=1"}));
  Fixture.update(2, true);
  EXPECT_EQ(Fixture.deliver(), 2U);
  EXPECT_EQ(Fixture.deliver(), 3U);
}

// Guards against a subscription that stops permanently because the endpoint
// does not have a missing update.
TEST(ObserveTest, AGapThatTheEndpointCannotFillIsAccepted) {
  ObserveFixture Fixture;
  Fixture.open();
  Fixture.update(1, true);
  EXPECT_EQ(Fixture.deliver(), 1U);
  // Unanswered registrations do not count.
  Fixture.update(3);
  Fixture.Agent.advance(5s);
  for (int Round = 0; Round < 3; ++Round) {
    EXPECT_EQ(Fixture.deliver(), std::nullopt);
    Fixture.Observation = Fixture.Agent.toEndpoint().back();
    Fixture.update(3, true);
    Fixture.Agent.advance(1s);
  }
  EXPECT_EQ(Fixture.deliver(), 3U);
  EXPECT_EQ(Fixture.Agent.counted(Counter::UpdateGapAccepted), 1);
}

// Guards against losing updates after the endpoint lost the observation in a
// restart.
TEST(ObserveTest, TheObservationIsRefreshed) {
  ObserveFixture Fixture;
  Fixture.open();
  Fixture.update(1, true);
  Fixture.deliver();
  Fixture.Agent.advance(15s);
  Fixture.Observation = Fixture.Agent.toEndpoint().at(0);
  EXPECT_EQ(Fixture.Observation.Query, (std::vector<std::string>{"since=1"}));
  Fixture.update(1, true, Code::Valid); // no new update
  EXPECT_EQ(Fixture.deliver(), std::nullopt);
  Fixture.update(2);
  EXPECT_EQ(Fixture.deliver(), 2U);
}

// Guards against ending an unresponsive caller's subscription too early, or
// never.
TEST(ObserveTest, ASilentCallerIsGivenUpAfterTwoRounds) {
  ObserveFixture Fixture;
  Fixture.open();
  Fixture.update(1, true);
  const auto First = Fixture.Agent.toCaller().back();
  Fixture.Agent.advance(93s);
  EXPECT_EQ(Fixture.Agent.Core->load(Fixture.Agent.Now).Subscriptions, 1U);
  const auto Repeated = Fixture.Agent.toCaller();
  // The second round uses the same message id, because the caller may have
  // received the update and must recognize the copy.
  EXPECT_EQ(Repeated.back(), First);
  Fixture.Agent.advance(93s);
  EXPECT_EQ(Fixture.Agent.Core->load(Fixture.Agent.Now).Subscriptions, 0U);
  Fixture.Agent.toEndpoint();
  CoapMessage Late;
  Late.MessageCode = Code::Content;
  Late.Token = Fixture.Observation.Token;
  Late.Observe = 2;
  Fixture.Agent.fromEndpoint(Late);
  EXPECT_EQ(Fixture.Agent.toEndpoint().at(0).Type, MessageType::Reset);
}

// Guards against sending updates to a caller that has unsubscribed by a reset
// or by a deregistration.
TEST(ObserveTest, ResetAndDeregistrationEndTheSubscription) {
  ObserveFixture Fixture;
  Fixture.open();
  Fixture.update(1, true);
  Fixture.Agent.fromCaller(
      ackOf(Fixture.Agent.toCaller().back(), MessageType::Reset));
  EXPECT_EQ(Fixture.Agent.Core->load(Fixture.Agent.Now).Subscriptions, 0U);
  Fixture.Registration.MessageId += 500;
  Fixture.open();
  CoapMessage End = Fixture.Registration;
  End.MessageId += 500;
  End.Observe = 1;
  Fixture.Agent.fromCaller(End);
  EXPECT_EQ(Fixture.Agent.Core->load(Fixture.Agent.Now).Subscriptions, 0U);
  EXPECT_FALSE(Fixture.Agent.toEndpoint().at(0).Observe); // a plain GET
}

// Guards against sending each update twice after a repeated registration.
TEST(ObserveTest, ANewRegistrationReplacesTheOldOne) {
  ObserveFixture Fixture;
  Fixture.open();
  Fixture.update(4, true);
  EXPECT_EQ(Fixture.deliver(), 4U);
  const CoapMessage Old = Fixture.Observation;
  Fixture.Registration.MessageId += 500;
  Fixture.Registration.Query = {"since=4"};
  Fixture.open();
  EXPECT_EQ(Fixture.Agent.Core->load(Fixture.Agent.Now).Subscriptions, 1U);
  EXPECT_NE(Fixture.Observation.Token, Old.Token);
  Fixture.update(4, true, Code::Valid);
  const auto Sent = Fixture.Agent.toCaller();
  EXPECT_EQ(Sent.back().MessageCode, Code::Valid); // registered, no new update
  Fixture.Agent.fromCaller(ackOf(Sent.back()));
  Fixture.update(5);
  EXPECT_EQ(Fixture.deliver(), 5U);
}

// Guards against a refused registration that the caller is not told about.
TEST(ObserveTest, ARefusedRegistrationIsAnswered) {
  ObserveFixture Fixture;
  Fixture.open();
  Fixture.Agent.answer(Fixture.Observation, "no such board", Code::NotFound);
  const auto Sent = Fixture.Agent.toCaller();
  EXPECT_EQ(Sent.back().MessageCode, Code::NotFound);
  EXPECT_FALSE(Sent.back().Observe);
  EXPECT_EQ(Fixture.Agent.Core->load(Fixture.Agent.Now).Subscriptions, 0U);
}

// Guards against unbounded memory use for a slow caller, and against losing the
// updates that exceed the queue limit.
TEST(ObserveTest, ASlowCallerGetsEveryUpdate) {
  ObserveFixture Fixture;
  Fixture.open();
  uint32_t Delivered = 0;
  for (uint32_t Number = 1; Number <= 100; ++Number)
    Fixture.update(Number, Number == 1);
  while (const auto Number = Fixture.deliver()) {
    ASSERT_EQ(*Number, ++Delivered);
    const auto Again = Fixture.Agent.toEndpoint();
    if (Again.empty())
      continue;
    Fixture.Observation = Again.back();
    EXPECT_EQ(Again.back().Query,
              (std::vector<std::string>{"since=" + std::to_string(Delivered)}));
    for (uint32_t Next = Delivered + 1; Next <= 100; ++Next)
      Fixture.update(Next);
  }
  EXPECT_EQ(Delivered, 100U);
}

} // namespace
} // namespace burdockstream::requests
