#include "CoreHarness.h"

#include <gtest/gtest.h>

namespace burdockstream::requests {
namespace {

std::string lastAnswer(CoreHarness &Agent) {
  const auto Sent = Agent.toCaller();
  return Sent.empty() ? "none"
                      : coap::toString(Sent.back().MessageCode) + " " +
                            text(Sent.back());
}

// Returns a retry: the same rid, iat and dl with a new message id and token.
CoapMessage retryOf(CoreHarness &Agent, const CoapMessage &Original) {
  CoapMessage Retry = Agent.request(Code::Post, "/short", Original.Query);
  return Retry;
}

// Guards against running a request whose retries could not be recognized.
TEST(AtMostOnceTest, WorkWithoutValidIdentificationIsRefused) {
  CoreHarness Agent;
  const auto Wall = [](int64_t Offset) {
    return std::to_string(StartWall + Offset);
  };
  const std::vector<std::vector<std::string>> Invalid = {
      {},
      {"rid=a", "iat=" + Wall(0)},
      {"rid=a", "dl=" + Wall(1000)},
      {"iat=" + Wall(0), "dl=" + Wall(1000)},
      {"rid=", "iat=" + Wall(0), "dl=" + Wall(1000)},
      {"rid=" + std::string(33, 'x'), "iat=" + Wall(0), "dl=" + Wall(1000)},
      {"rid=a", "iat=x", "dl=" + Wall(1000)},
      {"rid=a", "iat=" + Wall(2001), "dl=" + Wall(3000)},
      {"rid=a", "iat=" + Wall(0), "dl=" + Wall(120001)},
      {"rid=a", "iat=" + Wall(0), "dl=" + Wall(-1)}};
  for (const auto &Query : Invalid) {
    Agent.fromCaller(Agent.request(Code::Post, "/short", Query));
    EXPECT_EQ(Agent.toCaller().at(0).MessageCode, Code::BadRequest);
  }
  EXPECT_TRUE(Agent.toEndpoint().empty());
  Agent.fromCaller(
      Agent.request(Code::Post, "/short",
                    {"rid=a", "iat=" + Wall(2000), "dl=" + Wall(120000)}));
  EXPECT_EQ(Agent.toEndpoint().size(), 1U);
}

// Guards against running a request again for its copy, and against a copy that
// is never answered.
TEST(AtMostOnceTest, CopiesShareTheAnswerOfTheRunningRequest) {
  CoreHarness Agent;
  const CoapMessage Original = Agent.post("r1");
  Agent.fromCaller(Original);
  Agent.fromCaller(retryOf(Agent, Original));
  const auto Passed = Agent.toEndpoint();
  ASSERT_EQ(Passed.size(), 1U);
  Agent.answer(Passed[0], "done", Code::Changed);
  const auto Sent = Agent.toCaller();
  ASSERT_EQ(Sent.size(), 2U);
  EXPECT_NE(Sent[0].Token, Sent[1].Token);
  EXPECT_EQ(text(Sent[0]), "done");
  EXPECT_EQ(text(Sent[1]), "done");
  Agent.fromCaller(retryOf(Agent, Original));
  EXPECT_EQ(lastAnswer(Agent), "2.04 done");
  EXPECT_TRUE(Agent.toEndpoint().empty());
}

// Guards against one caller receiving the answer of another caller that chose
// the same rid.
TEST(AtMostOnceTest, RecordsBelongToOneCaller) {
  CoreHarness Agent;
  Agent.warmUp(1);
  const CoapMessage Original = Agent.post("r1");
  Agent.fromCaller(Original, 0);
  Agent.fromCaller(retryOf(Agent, Original), 1);
  EXPECT_EQ(Agent.toEndpoint().size(), 2U);
}

// Guards against a false "not-run" after the record has expired.
TEST(AtMostOnceTest, LateCopiesAreAnsweredByWhatIsKnown) {
  CoreHarness Agent;
  const CoapMessage Ran = Agent.post("ran", 5s);
  const CoapMessage Fresh = Agent.post("fresh", 5s);
  Agent.fromCaller(Ran);
  Agent.answer(Agent.toEndpoint().at(0), "done", Code::Changed);
  Agent.toCaller();
  Agent.advance(5500ms); // after dl: answered from the record
  Agent.fromCaller(retryOf(Agent, Ran));
  EXPECT_EQ(lastAnswer(Agent), "2.04 done");
  Agent.fromCaller(retryOf(Agent, Fresh));
  EXPECT_EQ(lastAnswer(Agent), "5.03 not-run");
  Agent.advance(4s); // after dl + 4 s: the record is gone
  Agent.fromCaller(retryOf(Agent, Ran));
  EXPECT_EQ(lastAnswer(Agent), "5.04 unknown");
  Agent.fromCaller(Agent.post("later"));
  EXPECT_EQ(Agent.toEndpoint().size(), 1U);
}

// Guards against a false "not-run" while clocks differ: another agent whose
// clock is ahead may have dropped the record 2 s earlier.
TEST(AtMostOnceTest, WithoutARecordNotRunEndsAtTheClockBound) {
  CoreHarness Agent;
  const CoapMessage Early = Agent.post("a", 1s);
  const CoapMessage Late = Agent.post("b", 1s);
  Agent.advance(3s);
  Agent.fromCaller(Early);
  EXPECT_EQ(lastAnswer(Agent), "5.03 not-run");
  Agent.advance(1ms);
  Agent.fromCaller(Late);
  EXPECT_EQ(lastAnswer(Agent), "5.04 unknown");
}

// Guards against running a request that a dead owner may have run, and against
// refusing later requests as well.
TEST(AtMostOnceTest, WorkIssuedBeforeAClaimIsUnknown) {
  CoreHarness Agent;
  Agent.Authority.UnknownBefore = {StartWall + 1};
  Agent.fromCaller(Agent.post("before"));
  EXPECT_EQ(lastAnswer(Agent), "5.04 unknown");
  Agent.advance(1ms);
  Agent.fromCaller(Agent.post("after"));
  EXPECT_EQ(Agent.toEndpoint().size(), 1U);
}

// Guards against running non-idempotent work without a valid lease, and against
// refusing idempotent work in that case.
TEST(AtMostOnceTest, WithoutALeaseOnlyIdempotentWorkRuns) {
  for (const BucketRole Role :
       {BucketRole::Suspended, BucketRole::Provisional, BucketRole::Owner}) {
    CoreHarness Agent;
    Agent.Authority.Role = Role;
    Agent.Authority.RetryAt = Agent.Now.Monotonic + 2500ms;
    if (Role == BucketRole::Owner) // role is owner, but the lease has expired
      Agent.Authority.LeaseEnd = Agent.Now.Monotonic;
    Agent.fromCaller(Agent.post("r1"));
    const auto Sent = Agent.toCaller();
    ASSERT_EQ(Sent.size(), 1U);
    EXPECT_EQ(text(Sent[0]), "not-run");
    EXPECT_EQ(Sent[0].MaxAgeSeconds, 3U);
    Agent.fromCaller(Agent.request(Code::Get, "/a"));
    EXPECT_EQ(Agent.toEndpoint().size(), 1U);
  }
}

// Guards against a false "not-run": an agent without a lease cannot know
// whether another owner ran a request that was issued later.
TEST(AtMostOnceTest, WithoutALeaseLaterRequestsAreUnknown) {
  for (const BucketRole Role :
       {BucketRole::Suspended, BucketRole::Provisional}) {
    CoreHarness Agent;
    Agent.Authority.Role = Role;
    Agent.Authority.UnknownFrom = Agent.Now.Wall;
    Agent.fromCaller(Agent.post("r1"));
    EXPECT_EQ(lastAnswer(Agent), "5.04 unknown");
    Agent.Authority.UnknownFrom.Milliseconds += 1;
    Agent.fromCaller(Agent.post("r2"));
    EXPECT_EQ(lastAnswer(Agent), "5.03 not-run");
    EXPECT_TRUE(Agent.toEndpoint().empty());
  }
}

// Guards against starting a queued request after the lease has expired.
TEST(AtMostOnceTest, ALeaseThatEndsInTheQueueMeansNotRun) {
  CoreHarness Agent(1);
  Agent.fromCaller(Agent.request(Code::Get, "/a"));
  Agent.fromCaller(Agent.post("r1"));
  const auto Passed = Agent.toEndpoint();
  ASSERT_EQ(Passed.size(), 1U);
  Agent.Authority.Role = BucketRole::Suspended;
  Agent.setAuthority(Agent.Authority);
  Agent.answer(Passed[0], "a");
  EXPECT_EQ(lastAnswer(Agent), "5.03 not-run");
  EXPECT_TRUE(Agent.toEndpoint().empty());
}

// Guards against a refusal that blocks the caller's retry.
TEST(AtMostOnceTest, ARefusedRequestMayBeRetried) {
  CoreHarness Agent;
  Agent.Core->setClockTrusted(false);
  const CoapMessage Original = Agent.post("r1");
  Agent.fromCaller(Original);
  EXPECT_EQ(lastAnswer(Agent), "5.03 not-run");
  Agent.Core->setClockTrusted(true);
  Agent.fromCaller(Original); // a late copy of the refused message
  EXPECT_EQ(lastAnswer(Agent), "5.03 not-run");
  EXPECT_TRUE(Agent.toEndpoint().empty());
  Agent.fromCaller(retryOf(Agent, Original));
  EXPECT_EQ(Agent.toEndpoint().size(), 1U);
}

// Guards against a wrong outcome at the deadline, and against discarding a
// result that arrives after it.
TEST(AtMostOnceTest, AResultAfterTheDeadlineReplacesUnknown) {
  CoreHarness Agent;
  const CoapMessage Original = Agent.post("r1", 3s);
  Agent.fromCaller(Original);
  const auto Passed = Agent.toEndpoint();
  CoapMessage Ack;
  Ack.Type = MessageType::Acknowledgement;
  Ack.MessageId = Passed[0].MessageId;
  Agent.fromEndpoint(Ack);
  Agent.advance(3s);
  EXPECT_EQ(lastAnswer(Agent), "5.04 unknown");
  EXPECT_EQ(Agent.Core->load(Agent.Now).Running, 1U); // still occupies its slot
  Agent.advance(2s);
  Agent.answer(Passed[0], "done", Code::Changed);
  Agent.toCaller();
  Agent.fromCaller(retryOf(Agent, Original));
  EXPECT_EQ(lastAnswer(Agent), "2.04 done");
  EXPECT_EQ(Agent.Core->load(Agent.Now).Running, 0U);
}

// Guards against treating two different requests as copies.
TEST(AtMostOnceTest, AReusedIdentifierIsRefused) {
  CoreHarness Agent;
  Agent.fromCaller(Agent.post("r1", 5s));
  Agent.fromCaller(Agent.post("r1", 6s));
  EXPECT_EQ(Agent.toEndpoint().size(), 1U);
  EXPECT_EQ(Agent.toCaller().at(0).MessageCode, Code::BadRequest);
}

} // namespace
} // namespace burdockstream::requests
