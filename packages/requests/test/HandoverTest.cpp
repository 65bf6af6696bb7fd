#include "CoreHarness.h"

#include <gtest/gtest.h>

namespace burdockstream::requests {
namespace {

using messages::RecordUpdate;
using messages::RunState;

messages::BucketAuthority notOwner(base::DaemonId Owner) {
  messages::BucketAuthority Authority;
  Authority.Owner = Owner;
  return Authority;
}

// Guards against refusing requests in flight at a handover, and against not
// reporting their results to the new owner.
TEST(HandoverTest, WorkInFlightFinishesAtTheOldOwner) {
  CoreHarness Agent(1);
  const CoapMessage Running = Agent.post("running");
  const CoapMessage Waiting = Agent.post("waiting");
  Agent.fromCaller(Running);
  Agent.fromCaller(Waiting);
  const auto Passed = Agent.toEndpoint();
  const auto Snapshot = Agent.Core->exportBucket(0, PeerId, 3, Agent.Now);
  ASSERT_EQ(Snapshot.Requests.size(), 2U);
  for (const auto &Record : Snapshot.Requests) {
    EXPECT_EQ(Record.State, RunState::Running);
    EXPECT_EQ(Record.Runner, SelfId);
  }
  Agent.setAuthority(notOwner(PeerId));
  Agent.answer(Passed.at(0), "one", Code::Changed);
  Agent.answer(Agent.toEndpoint().at(0), "two", Code::Changed);
  const auto Answers = Agent.toCaller();
  ASSERT_EQ(Answers.size(), 2U);
  EXPECT_EQ(text(Answers[1]), "two");
  const auto Updates = Agent.toPeer<RecordUpdate>();
  ASSERT_EQ(Updates.size(), 2U);
  EXPECT_EQ(Updates[0].Record.State, RunState::Answered);
  EXPECT_TRUE(Agent.Core->isIdle());
}

// Guards against running a request at the new owner while it runs at the former
// owner.
TEST(HandoverTest, CopiesAtTheNewOwnerWaitForTheResult) {
  for (const bool RunnerDies : {false, true}) {
    CoreHarness Old(1);
    Settings Other;
    Other.Self = PeerId;
    CoreHarness New(1, Other);
    const CoapMessage Post = Old.post("r1");
    Old.fromCaller(Post);
    const auto Passed = Old.toEndpoint();
    New.Core->importBucket(Old.Core->exportBucket(0, PeerId, 3, Old.Now),
                           New.Now, New.Out);
    New.fromCaller(Post);
    EXPECT_TRUE(New.toEndpoint().empty());
    Old.answer(Passed.at(0), "done", Code::Changed);
    if (RunnerDies)
      New.Core->onPeerDead(SelfId, New.Now, New.Out);
    else
      New.Core->onRecordUpdate(Old.toPeer<RecordUpdate>().at(0), New.Now,
                               New.Out);
    EXPECT_TRUE(New.toEndpoint().empty());
    EXPECT_EQ(text(New.toCaller().back()), RunnerDies ? "unknown" : "done");
  }
}

// Guards against running a late copy of a request that the former owner refused
// as not run, and against refusing its retries indefinitely.
TEST(HandoverTest, RefusalsAreHandedOverForAShortTime) {
  CoreHarness Old(1);
  Settings Other;
  Other.Self = PeerId;
  CoreHarness New(1, Other);
  Old.Core->setClockTrusted(false);
  const CoapMessage Post = Old.post("r1");
  Old.fromCaller(Post);
  EXPECT_EQ(text(Old.toCaller().at(0)), "not-run");
  New.Core->importBucket(Old.Core->exportBucket(0, PeerId, 3, Old.Now), New.Now,
                         New.Out);
  New.fromCaller(Post);
  EXPECT_EQ(text(New.toCaller().at(0)), "not-run");
  EXPECT_TRUE(New.toEndpoint().empty());
  New.advance(5s);
  CoapMessage Retry = Post;
  Retry.MessageId += 100;
  New.fromCaller(Retry);
  EXPECT_EQ(New.toEndpoint().size(), 1U);
}

// Guards against losing or duplicating an update at a handover.
TEST(HandoverTest, SubscriptionsResumeAfterTheLastAcknowledgedUpdate) {
  CoreHarness Old(1);
  CoapMessage Registration = Old.request(Code::Get, "/board", {"floor=2"});
  Registration.Observe = 0;
  Old.fromCaller(Registration);
  const auto Observation = Old.toEndpoint().at(0);
  for (uint32_t Number = 5; Number <= 6; ++Number) {
    CoapMessage Update;
    Update.Type =
        Number == 5 ? MessageType::Acknowledgement : MessageType::Confirmable;
    Update.MessageId = Observation.MessageId;
    Update.MessageCode = Code::Content;
    Update.Token = Observation.Token;
    Update.Observe = Number;
    Old.fromEndpoint(Update);
  }
  const uint16_t OldId = Old.toCaller().back().MessageId;
  CoapMessage Ack;
  Ack.Type = MessageType::Acknowledgement;
  Ack.MessageId = OldId;
  Old.Core->freezeBucket(0);
  EXPECT_FALSE(Old.Core->allNotificationsAcknowledged(0));
  Old.fromCaller(Ack);
  EXPECT_TRUE(Old.Core->allNotificationsAcknowledged(0));
  EXPECT_TRUE(Old.toCaller().empty()); // frozen: the new owner sends update 6
  const auto Snapshot = Old.Core->exportBucket(0, PeerId, 4, Old.Now);
  ASSERT_EQ(Snapshot.Subscriptions.size(), 1U);
  EXPECT_EQ(Snapshot.Subscriptions[0].LastDelivered, 5U);
  Old.setAuthority(notOwner(PeerId));
  Old.Core->dropBucket(0);
  EXPECT_EQ(Old.Core->load(Old.Now).Subscriptions, 0U);

  CoreHarness New(1);
  New.Core->importBucket(Snapshot, New.Now, New.Out);
  const auto Resumed = New.toEndpoint().at(0);
  EXPECT_EQ(coap::joinPath(Resumed.Path), "/board");
  EXPECT_EQ(Resumed.Query, (std::vector<std::string>{"floor=2", "since=5"}));
  CoapMessage Update;
  Update.Type = MessageType::Acknowledgement;
  Update.MessageId = Resumed.MessageId;
  Update.MessageCode = Code::Content;
  Update.Token = Resumed.Token;
  Update.Observe = 6;
  New.fromEndpoint(Update);
  const auto Sent = New.toCaller();
  ASSERT_EQ(Sent.size(), 1U);
  EXPECT_EQ(Sent[0].Token, Registration.Token);
  // Epochs 4 and 5 differ in the two highest bits of the message id, so that
  // the caller does not discard the new owner's message as a duplicate.
  EXPECT_NE(Sent[0].MessageId >> 14, OldId >> 14);
}

// Guards against a duplicate update when the handover overtakes the caller's
// acknowledgment: the new owner's copy must have the former owner's message id.
TEST(HandoverTest, AnUnacknowledgedUpdateKeepsItsMessageId) {
  CoreHarness Old(1);
  CoapMessage Registration = Old.request(Code::Get, "/board");
  Registration.Observe = 0;
  Old.fromCaller(Registration);
  const auto Answer = [](const CoapMessage &Observation) {
    CoapMessage Update;
    Update.Type = MessageType::Acknowledgement;
    Update.MessageId = Observation.MessageId;
    Update.MessageCode = Code::Content;
    Update.Token = Observation.Token;
    Update.Observe = 5;
    return Update;
  };
  Old.fromEndpoint(Answer(Old.toEndpoint().at(0)));
  const uint16_t OldId = Old.toCaller().back().MessageId;
  const auto Snapshot = Old.Core->exportBucket(0, PeerId, 4, Old.Now);

  CoreHarness New(1);
  New.Core->importBucket(Snapshot, New.Now, New.Out);
  New.fromEndpoint(Answer(New.toEndpoint().at(0)));
  const auto Sent = New.toCaller();
  ASSERT_EQ(Sent.size(), 1U);
  EXPECT_EQ(Sent[0].Observe, 5U);
  EXPECT_EQ(Sent[0].MessageId, OldId);
}

// Guards against subscriptions that get no updates after a failed handover.
TEST(HandoverTest, AFailedHandoverIsResumed) {
  CoreHarness Agent(1);
  CoapMessage Registration = Agent.request(Code::Get, "/board");
  Registration.Observe = 0;
  Agent.fromCaller(Registration);
  Agent.toEndpoint();
  Agent.Core->exportBucket(0, PeerId, 3, Agent.Now);
  Agent.fromCaller(Agent.request(Code::Get, "/a"));
  EXPECT_EQ(Agent.toPeer<messages::Forward>().size(), 1U);
  Agent.Core->resumeBucket(0, Agent.Now, Agent.Out);
  EXPECT_EQ(Agent.toEndpoint().at(0).Observe, 0U);
  Agent.fromCaller(Agent.request(Code::Get, "/a"));
  EXPECT_EQ(Agent.toEndpoint().size(), 1U);
}

// Guards against forwarding loops between agents with different tables.
TEST(HandoverTest, PacketsArePassedToTheOwnerOnce) {
  CoreHarness Agent;
  Agent.Authority = notOwner(PeerId);
  messages::Forward Packet;
  Packet.Service = base::serviceIdOf("shopdesk");
  Packet.Payload =
      coap::serializeMessage(Agent.request(Code::Get, "/a")).value();
  for (const uint8_t Hops : {0, 1}) {
    Packet.Hops = Hops;
    Agent.Core->onCaller(Packet, Agent.Authority, Agent.Now, Agent.Out);
  }
  const auto Passed = Agent.toPeer<messages::Forward>();
  ASSERT_EQ(Passed.size(), 1U);
  EXPECT_EQ(Passed[0].Hops, 1);
  EXPECT_EQ(Agent.counted(Counter::DroppedNotOwner), 1);
}

// Guards against answering before the snapshot has arrived, against dropping
// packets that arrive in the meantime, and against a false "not-run" if no
// snapshot arrives.
TEST(HandoverTest, PacketsForAPendingBucketAreHeld) {
  for (const bool Imported : {true, false}) {
    CoreHarness Agent(2);
    Agent.Authority.Role = BucketRole::Pending;
    Agent.fromCaller(Agent.post("r1"));
    Agent.fromCaller(Agent.request(Code::Get, "/a"));
    Agent.advance(1499ms);
    EXPECT_TRUE(Agent.Out.empty());
    if (Imported)
      Agent.Core->importBucket({base::serviceIdOf("shopdesk"), 0, 3, {}, {}},
                               Agent.Now, Agent.Out);
    Agent.advance(1ms);
    EXPECT_EQ(Agent.toEndpoint().size(), 1U);
    EXPECT_EQ(text(Agent.toCaller().at(0)), Imported ? "not-run" : "unknown");
  }
}

// Guards against running a held request twice, or not at all.
TEST(HandoverTest, HeldPacketsAreHandledWhenTheRoleIsKnown) {
  CoreHarness Agent(1);
  Agent.Authority.Role = BucketRole::Pending;
  Agent.fromCaller(Agent.post("r1"));
  Agent.Authority.Role = BucketRole::Owner;
  Agent.setAuthority(Agent.Authority);
  EXPECT_EQ(Agent.toEndpoint().size(), 1U);
  Agent.advance(1s);
  EXPECT_TRUE(Agent.toEndpoint().empty());
}

// Guards against starting requests more than 3 s after the start of a drain,
// and against interrupting running ones.
TEST(HandoverTest, ADrainFinishesWorkAndStartsNothingAfterThreeSeconds) {
  CoreHarness Agent(1);
  Agent.fromCaller(Agent.post("running", 60s));
  Agent.fromCaller(Agent.post("waiting", 60s));
  const auto Passed = Agent.toEndpoint();
  Agent.Core->startDrain(Agent.Now);
  Agent.advance(2999ms);
  EXPECT_FALSE(Agent.Core->isIdle());
  for (const CoapMessage &Message : Agent.toCaller())
    EXPECT_EQ(Message.MessageCode, Code::Empty);
  Agent.advance(1ms);
  const auto Refused = Agent.toCaller();
  ASSERT_EQ(Refused.size(), 1U);
  EXPECT_EQ(text(Refused[0]), "not-run");
  Agent.answer(Passed.at(0), "done", Code::Changed);
  const auto Done = Agent.toCaller();
  EXPECT_EQ(text(Done.at(0)), "done");
  EXPECT_TRUE(Agent.toEndpoint().empty());
  for (const CoapMessage &Message : {Refused[0], Done[0]}) {
    EXPECT_FALSE(Agent.Core->isIdle());
    CoapMessage Ack;
    Ack.Type = MessageType::Acknowledgement;
    Ack.MessageId = Message.MessageId;
    Agent.fromCaller(Ack);
  }
  EXPECT_TRUE(Agent.Core->isIdle());
}

} // namespace
} // namespace burdockstream::requests
