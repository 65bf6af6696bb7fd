#include "CoreHarness.h"

#include <gtest/gtest.h>

namespace burdockstream::requests {
namespace {

// Guards against overloading a cold endpoint, and against using fewer slots
// than configured after slow start.
TEST(AdmissionTest, SlotsGrowByOneForEachRequestThatEndsInTime) {
  CoreHarness Agent(3);
  for (int Index = 0; Index < 6; ++Index)
    Agent.fromCaller(Agent.request(Code::Get, "/a"));
  auto First = Agent.toEndpoint();
  ASSERT_EQ(First.size(), 1U);
  Agent.answer(First[0], "1");
  auto Second = Agent.toEndpoint();
  ASSERT_EQ(Second.size(), 2U);
  Agent.answer(Second[0], "2");
  EXPECT_EQ(Agent.toEndpoint().size(), 2U);
  EXPECT_EQ(Agent.Core->load(Agent.Now).SlotLimit, 3U);
  Agent.answer(Second[1], "3");
  EXPECT_EQ(Agent.toEndpoint().size(), 1U); // the configured limit
}

// Guards against accepting a request that will expire in the queue: its caller
// could have used another endpoint but would be told only at the deadline.
TEST(AdmissionTest, WorkThatCannotMeetItsDeadlineIsRefusedAtOnce) {
  Settings Config;
  Config.Policy = makeFifoPolicy(); // the whole queue precedes a new request
  CoreHarness Agent(1, Config);
  for (int Index = 0; Index < 4; ++Index) // 2 s each
    Agent.fromCaller(Agent.request(Code::Get, "/long/a"));
  Agent.toCaller();
  Agent.fromCaller(Agent.request(Code::Get, "/long/b",
                                 {"dl=" + std::to_string(StartWall + 9000)}));
  const auto Refused = Agent.toCaller();
  ASSERT_EQ(Refused.size(), 1U);
  EXPECT_EQ(Refused[0].MessageCode, Code::ServiceUnavailable);
  EXPECT_EQ(text(Refused[0]), "not-run");
  EXPECT_EQ(Refused[0].MaxAgeSeconds, 8U);
  Agent.fromCaller(Agent.request(Code::Get, "/long/c",
                                 {"dl=" + std::to_string(StartWall + 10000)}));
  EXPECT_TRUE(Agent.toCaller().empty());
}

// Guards against unbounded memory use when deadlines are far in the future.
TEST(AdmissionTest, TheQueueIsBounded) {
  Settings Config;
  Config.MaxQueue = 2;
  CoreHarness Agent(1, Config);
  for (int Index = 0; Index < 4; ++Index)
    Agent.fromCaller(Agent.request(Code::Get, "/short"));
  EXPECT_EQ(Agent.Core->load(Agent.Now).Queued, 2U);
  EXPECT_EQ(text(Agent.toCaller().at(0)), "not-run");
}

// Guards against starting an expired request, and against reporting it as
// unknown although it did not run.
TEST(AdmissionTest, WorkThatExpiresInTheQueueDidNotRun) {
  CoreHarness Agent(1);
  Agent.fromCaller(Agent.request(Code::Get, "/short"));
  Agent.fromCaller(Agent.post("r1", 450ms));
  const auto Passed = Agent.toEndpoint();
  ASSERT_EQ(Passed.size(), 1U);
  Agent.advance(450ms);
  EXPECT_EQ(text(Agent.toCaller().at(0)), "not-run");
  EXPECT_EQ(Agent.counted(Counter::DeadlineInQueue), 1);
  Agent.answer(Passed[0], "a");
  EXPECT_TRUE(Agent.toEndpoint().empty());
}

// Guards against keeping up the load on an endpoint that reports overload.
TEST(AdmissionTest, SheddingHalvesTheSlotsAndPausesTheQueue) {
  CoreHarness Agent(4);
  Agent.warmUp(4);
  for (int Index = 0; Index < 6; ++Index)
    Agent.fromCaller(Agent.request(Code::Get, "/short"));
  const auto Passed = Agent.toEndpoint();
  ASSERT_EQ(Passed.size(), 4U);
  CoapMessage Shed;
  Shed.Type = MessageType::Acknowledgement;
  Shed.MessageCode = Code::ServiceUnavailable;
  Shed.MessageId = Passed[0].MessageId;
  Shed.Token = Passed[0].Token;
  Shed.MaxAgeSeconds = 2;
  Agent.fromEndpoint(Shed);
  EXPECT_EQ(Agent.Core->load(Agent.Now).SlotLimit, 2U);
  for (int Index = 1; Index < 4; ++Index)
    Agent.answer(Passed[Index], "ok");
  EXPECT_TRUE(Agent.toEndpoint().empty());
  Agent.advance(2s);
  // The two queued requests, and a retry of the shed one.
  EXPECT_EQ(Agent.toEndpoint().size(), 3U);
}

// Guards against retrying a non-idempotent request that the endpoint refused
// without the caller's knowledge, and against blocking the caller's own retry.
TEST(AdmissionTest, ShedNonIdempotentWorkIsLeftToItsCaller) {
  CoreHarness Agent;
  const CoapMessage Original = Agent.post("r1");
  Agent.fromCaller(Original);
  Agent.answer(Agent.toEndpoint().at(0), "busy", Code::ServiceUnavailable);
  EXPECT_EQ(text(Agent.toCaller().at(0)), "busy");
  Agent.advance(3s);
  EXPECT_TRUE(Agent.toEndpoint().empty());
  Agent.fromCaller(Agent.request(Code::Post, "/short", Original.Query));
  EXPECT_EQ(Agent.toEndpoint().size(), 1U);
}

// Guards against reporting "not-run" for a request that was sent to the
// endpoint and expired while it waited for a retry.
TEST(AdmissionTest, WorkThatExpiresAfterAnAttemptIsUnknown) {
  CoreHarness Agent(1);
  Agent.fromCaller(Agent.request(Code::Get, "/short",
                                 {"dl=" + std::to_string(StartWall + 1300)}));
  Agent.answer(Agent.toEndpoint().at(0), "busy", Code::ServiceUnavailable);
  Agent.fromCaller(
      Agent.post("r1", 1250ms)); // occupies its slot after it expires
  Agent.toCaller();
  Agent.advance(1s);
  EXPECT_EQ(Agent.toEndpoint().size(), 1U); // the more urgent one
  Agent.advance(300ms);
  std::vector<std::string> Answers;
  for (const CoapMessage &Answer : Agent.toCaller())
    if (Answer.MessageCode != Code::Empty)
      Answers.push_back(text(Answer));
  EXPECT_EQ(Answers, (std::vector<std::string>{"unknown", "unknown"}));
  EXPECT_EQ(Agent.counted(Counter::DeadlineInQueue), 1);
}

// Guards against retries that multiply the load on a failing endpoint: the
// budget is one tenth of the accepted requests.
TEST(AdmissionTest, RetriesAreAShareOfRequests) {
  CoreHarness Agent(1);
  int Sent = 0;
  for (int Index = 0; Index < 100; ++Index) {
    Agent.fromCaller(Agent.request(Code::Get, "/short"));
    for (auto Passed = Agent.toEndpoint(); !Passed.empty();
         Passed = Agent.toEndpoint()) {
      ++Sent;
      Agent.answer(Passed[0], "busy", Code::ServiceUnavailable);
      Agent.advance(1s);
    }
  }
  EXPECT_GE(Sent, 110);
  EXPECT_LE(Sent, 111); // the initial budget allows one retry
}

// Guards against short work that waits behind long work which a wrong rule
// classifies as short.
TEST(AdmissionTest, LearnedRunTimesCorrectTheClass) {
  CoreHarness Agent(1);
  std::vector<records::WorkClass> Seen;
  Agent.Calls.Sample = [&Seen](const LatencySample &Sample) {
    Seen.push_back(Sample.Class);
  };
  Agent.Core =
      std::make_unique<RequestCore>(Settings{}, Agent.Calls, Agent.Random);
  Agent.Core->configure(testConfig(1));
  for (int Index = 0; Index < 9; ++Index) {
    Agent.fromCaller(Agent.request(Code::Get, "/short"));
    const auto Passed = Agent.toEndpoint();
    Agent.advance(900ms);
    Agent.answer(Passed.at(0), "slow");
  }
  EXPECT_EQ(Seen.front(), records::WorkClass::Short);
  EXPECT_EQ(Seen.back(), records::WorkClass::Long);
}

// Guards against exceeding the limits of flows and slots, and against refusing
// flows that are already admitted.
TEST(AdmissionTest, FlowAndSlotSharesHold) {
  CoreHarness Agent(4);
  Agent.warmUp(4);
  Agent.Core->setTeamShare({1, 2});
  for (uint16_t Caller = 0; Caller < 2; ++Caller)
    Agent.fromCaller(Agent.request(Code::Get, "/short"), Caller);
  EXPECT_EQ(Agent.toEndpoint().size(), 1U);
  EXPECT_EQ(text(Agent.toCaller().at(0)),
            "not-run"); // the flow of warmUp counts
  Agent.fromCaller(Agent.request(Code::Get, "/short"), 0);
  EXPECT_TRUE(Agent.toCaller().empty());
}

} // namespace
} // namespace burdockstream::requests
