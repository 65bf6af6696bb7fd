#include "CoreHarness.h"

#include <gtest/gtest.h>

namespace burdockstream::requests {
namespace {

using messages::RunOutcome;
using messages::RunReply;
using messages::RunRequest;

Bytes encodedAnswer(std::string_view Payload) {
  CoapMessage Answer;
  Answer.MessageCode = Code::Changed;
  Answer.Payload = bytes(Payload);
  return coap::serializeMessage(Answer).value();
}

// Occupies the only slot, moves a POST to the peer and returns its RunRequest.
RunRequest movePost(CoreHarness &Agent, const CoapMessage &Post) {
  Agent.fromCaller(Agent.request(Code::Get, "/short"));
  Agent.NextPeer = PeerId;
  Agent.fromCaller(Post);
  Agent.NextPeer.reset();
  const auto Moved = Agent.toPeer<RunRequest>();
  EXPECT_EQ(Moved.size(), 1U);
  return Moved.at(0);
}

// Guards against losing the record of a request that runs at another agent.
TEST(MoveTest, AMovedRequestIsAnsweredThroughItsOwner) {
  CoreHarness Agent(1);
  const CoapMessage Post = Agent.post("r1");
  const RunRequest Moved = movePost(Agent, Post);
  EXPECT_EQ(Moved.From, SelfId);
  EXPECT_FALSE(Moved.Idempotent);
  EXPECT_EQ(Moved.NotAfterMilliseconds, StartWall + 10000);
  Agent.fromCaller(Agent.request(Code::Post, "/short", Post.Query)); // a copy
  Agent.Core->onRunReply(
      PeerId, {Moved.Sequence, RunOutcome::Answered, encodedAnswer("done")},
      Agent.Now, Agent.Out);
  const auto Answers = Agent.toCaller();
  ASSERT_EQ(Answers.size(), 2U);
  EXPECT_EQ(text(Answers[0]), "done");
  EXPECT_EQ(text(Answers[1]), "done");
}

// Guards against a false "not-run" after a lost reply: the request may have
// run.
TEST(MoveTest, ALostReplyMeansUnknown) {
  for (const bool PeerDies : {false, true}) {
    CoreHarness Agent(1);
    const CoapMessage Post = Agent.post("r1");
    movePost(Agent, Post);
    if (PeerDies)
      Agent.Core->onPeerDead(PeerId, Agent.Now, Agent.Out);
    else
      Agent.advance(10s);
    EXPECT_EQ(text(Agent.toCaller().back()), "unknown");
    EXPECT_EQ(Agent.counted(Counter::MoveLost), 1);
    EXPECT_TRUE(Agent.toPeer<RunRequest>().empty());
  }
}

// Guards against losing a request that another agent refused, and against
// moving it endlessly.
TEST(MoveTest, ARefusedMoveRunsHere) {
  Settings Config;
  Config.MoveAttempts = 1;
  CoreHarness Agent(1, Config);
  const RunRequest Moved = movePost(Agent, Agent.post("r1"));
  const auto Running = Agent.toEndpoint();
  Agent.NextPeer = PeerId;
  Agent.Core->onRunReply(PeerId, {Moved.Sequence, RunOutcome::Refused, {}},
                         Agent.Now, Agent.Out);
  EXPECT_TRUE(Agent.toPeer<RunRequest>().empty());
  Agent.answer(Running.at(0), "first");
  const auto Passed = Agent.toEndpoint();
  ASSERT_EQ(Passed.size(), 1U);
  EXPECT_EQ(Passed[0].MessageCode, Code::Post);
}

// Guards against an unbounded sequence of moves and refusals.
TEST(MoveTest, MoveAttemptsAreBounded) {
  Settings Config;
  Config.MoveAttempts = 3;
  CoreHarness Agent(1, Config);
  RunRequest Moved = movePost(Agent, Agent.post("r1"));
  Agent.NextPeer = PeerId;
  for (int Attempt = 1; Attempt <= 3; ++Attempt) {
    Agent.Core->onRunReply(PeerId, {Moved.Sequence, RunOutcome::Refused, {}},
                           Agent.Now, Agent.Out);
    const auto Next = Agent.toPeer<RunRequest>();
    ASSERT_EQ(Next.size(), Attempt < 3 ? 1U : 0U);
    if (!Next.empty())
      Moved = Next[0];
  }
}

// Guards against an idempotent request that waits until its deadline for a lost
// reply.
TEST(MoveTest, AnIdempotentRequestIsRunAgainAfterALostReply) {
  CoreHarness Agent(1);
  Agent.fromCaller(Agent.request(Code::Get, "/short"));
  Agent.NextPeer = PeerId;
  Agent.fromCaller(Agent.request(Code::Get, "/short/b"));
  Agent.NextPeer.reset();
  EXPECT_EQ(Agent.toPeer<RunRequest>().size(), 1U);
  Agent.answer(Agent.toEndpoint().at(0), "first");
  Agent.advance(2s);
  EXPECT_EQ(Agent.toEndpoint().size(), 1U);
  EXPECT_EQ(Agent.counted(Counter::Retried), 1);
}

RunRequest peerRequest(CoreHarness &Agent, uint64_t Sequence) {
  return {PeerId, Sequence, StartWall + 5000,
          false,  false,    coap::serializeMessage(Agent.post("r1")).value()};
}

// Guards against running a request twice for a duplicated RunRequest.
TEST(MoveTest, ARunnerRunsOnceAndRepeatsItsReply) {
  CoreHarness Agent(1);
  const RunRequest Request = peerRequest(Agent, 5);
  Agent.Core->onRunRequest(Request, Agent.Now, Agent.Out);
  Agent.Core->onRunRequest(Request, Agent.Now, Agent.Out);
  const auto Passed = Agent.toEndpoint();
  ASSERT_EQ(Passed.size(), 1U);
  EXPECT_EQ(Passed[0].NotAfter->Milliseconds, StartWall + 5000);
  Agent.answer(Passed[0], "done", Code::Changed);
  Agent.Core->onRunRequest(Request, Agent.Now, Agent.Out);
  const auto Replies = Agent.toPeer<RunReply>();
  ASSERT_EQ(Replies.size(), 2U);
  EXPECT_EQ(Replies[0].Outcome, RunOutcome::Answered);
  EXPECT_EQ(Replies[0].Answer, Replies[1].Answer);
  EXPECT_TRUE(Agent.toEndpoint().empty());
}

// Guards against queueing a moved request again, against accepting work while
// draining, and against a start after the owner's lease has expired.
TEST(MoveTest, ARunnerThatCannotStartAtOnceRefuses) {
  for (const int Case : {0, 1, 2}) {
    CoreHarness Agent(1);
    RunRequest Request = peerRequest(Agent, 5);
    if (Case == 0)
      Agent.fromCaller(Agent.request(Code::Get, "/short"));
    if (Case == 1)
      Agent.Core->startDrain(Agent.Now);
    if (Case == 2)
      Request.NotAfterMilliseconds = StartWall;
    Agent.toEndpoint();
    Agent.Core->onRunRequest(Request, Agent.Now, Agent.Out);
    EXPECT_TRUE(Agent.toEndpoint().empty());
    EXPECT_EQ(Agent.toPeer<RunReply>().at(0).Outcome, RunOutcome::Refused);
  }
}

// Guards against a wrong outcome when the endpoint dies during a request.
TEST(MoveTest, ARunnerReportsUnknownWhenItsEndpointDies) {
  CoreHarness Agent(1);
  Agent.Core->onRunRequest(peerRequest(Agent, 5), Agent.Now, Agent.Out);
  Agent.advance(11s);
  EXPECT_EQ(Agent.toPeer<RunReply>().at(0).Outcome, RunOutcome::Unknown);
}

} // namespace
} // namespace burdockstream::requests
