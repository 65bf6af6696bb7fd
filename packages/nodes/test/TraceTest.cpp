#include "NodeFixture.h"
#include "burdockstream/coap/CoapMessage.h"
#include "burdockstream/nodes/AgentTrace.h"

#include <gtest/gtest.h>

#include <cstdlib>
#include <fstream>
#include <string>
#include <vector>

namespace burdockstream::nodes {
namespace {

constexpr const char *GoldenPath =
    "packages/nodes/test/golden/agent-session.jsonl";

// An agent whose events and actions are recorded as trace lines.
class RecordedSession {
public:
  ActionSink play(const AgentEvent &Event, int64_t When) {
    ActionSink Out;
    const base::Now Now = at(When);
    const auto Line = toTraceLine(Event, Now);
    EXPECT_TRUE(Line.has_value());
    Lines.push_back(messages::formatTraceLine(Line.value()));
    EXPECT_TRUE(feed(Node, Event, Now, Out).has_value());
    for (const Action &NextAction : Out) {
      const auto Written = toTraceLine(NextAction, Now);
      EXPECT_TRUE(Written.has_value());
      Lines.push_back(messages::formatTraceLine(Written.value()));
    }
    return Out;
  }

  std::vector<std::string> Lines;

private:
  static AgentNodeSettings settings() {
    AgentNodeSettings Settings;
    Settings.Self = member(messages::Role::Agent, 0xa1, {0x7f000201, 7000});
    Settings.Service = "shopdesk";
    Settings.ConfiguredBalancers = configuredBalancers();
    return Settings;
  }

  base::RandomSource Random{1};
  base::Metrics Registry;
  AgentNode Node{settings(), Random, Registry};
};

// Builds a caller's request as a balancer forwards it.
messages::Message forwardedRequest(coap::Code Method, uint16_t MessageId,
                                   const std::vector<std::string> &Query) {
  coap::CoapMessage Request;
  Request.MessageCode = Method;
  Request.MessageId = MessageId;
  Request.Token = {7};
  Request.Path = {"booking"};
  Request.Query = Query;
  return messages::Forward{base::serviceIdOf("shopdesk"),
                           0,
                           {0x0a000001, 40000},
                           BalancerData,
                           0,
                           coap::serializeMessage(Request).value()};
}

void playAndAnswer(RecordedSession &Session, const AgentEvent &Event,
                   int64_t When);

// Simulates the endpoint's answers to pings, the store and the arbiter.
void answerAction(RecordedSession &Session, const Action &NextAction,
                  int64_t When) {
  if (std::get_if<PingEndpoint>(&NextAction))
    playAndAnswer(Session, PongEvent{}, When);
  else if (const auto *Read = std::get_if<ReadOwners>(&NextAction))
    playAndAnswer(Session, StoreEvent{Read->Operation, 0, 0, ""}, When);
  else if (const auto *Swap = std::get_if<SwapOwners>(&NextAction))
    playAndAnswer(Session, StoreEvent{Swap->Operation, 0, 5, ""}, When);
  else if (const auto *Send = std::get_if<SendDatagram>(&NextAction))
    if (const auto *Lease = std::get_if<messages::LeaseRequest>(&Send->Body)) {
      const messages::LeaseGrant Grant{Lease->Agent, BalancerData,
                                       Lease->Sequence, true};
      playAndAnswer(Session, MessageEvent{{0xb1}, BalancerData, Grant}, When);
    }
}

void playAndAnswer(RecordedSession &Session, const AgentEvent &Event,
                   int64_t When) {
  for (const Action &NextAction : Session.play(Event, When))
    answerAction(Session, NextAction, When);
}

// The agent becomes the owner of every bucket. Then a caller sends a booking
// twice under one request id, and the agent starts to shut down.
void playBooking(RecordedSession &Session) {
  playAndAnswer(Session, StartEvent{}, 0);
  messages::AnnounceAck Ack;
  Ack.Balancers = {member(messages::Role::Balancer, 0xb1, BalancerData)};
  Ack.Records = {{"shopdesk", 2,
                  R"({"schema_version": 2, "service": "shopdesk",
    "team": "retail", "address": "127.0.10.1:5683", "buckets": 2})"}};
  playAndAnswer(Session, MessageEvent{{0xb1}, BalancerData, Ack}, 10);
  for (int64_t When = 50; When <= 3000; When += 50)
    playAndAnswer(Session, TickEvent{}, When);
  const std::vector<std::string> Query{"rid=r1", "iat=1003000", "dl=1013000"};
  for (uint16_t Copy = 1; Copy <= 2; ++Copy)
    playAndAnswer(Session,
                  MessageEvent{{0xb1},
                               BalancerData,
                               forwardedRequest(coap::Code::Post, Copy, Query)},
                  3000 + Copy);
  playAndAnswer(Session, ShutdownEvent{}, 3003);
}

std::vector<std::string> readLines(const char *Path) {
  std::vector<std::string> Lines;
  std::ifstream File(Path);
  for (std::string Line; std::getline(File, Line);)
    Lines.push_back(Line);
  return Lines;
}

// Guards against an unintended change of an agent's actions over a whole
// session.
TEST(TraceTest, SessionMatchesTheGoldenFile) {
  RecordedSession Session;
  playBooking(Session);
  if (std::getenv("BURDOCKSTREAM_WRITE_GOLDEN")) {
    std::ofstream File(GoldenPath);
    for (const std::string &Line : Session.Lines)
      File << Line << "\n";
  }
  EXPECT_EQ(Session.Lines, readLines(GoldenPath));
}

// Guards against traces that cannot be replayed: the recorded events alone must
// produce the recorded actions, and the booking reaches the endpoint once.
TEST(TraceTest, RecordedSessionCanBeReplayed) {
  const std::vector<std::string> Recorded = readLines(GoldenPath);
  ASSERT_FALSE(Recorded.empty());
  RecordedSession Replayed;
  int SentToEndpoint = 0;
  for (const std::string &Text : Recorded) {
    const auto Line = messages::parseTraceLine(Text);
    ASSERT_TRUE(Line.has_value()) << Text;
    SentToEndpoint += Line.value().Name == "out.endpoint" ? 1 : 0;
    if (Line.value().Name.rfind("out.", 0) == 0)
      continue;
    const auto Event = eventOf(Line.value());
    ASSERT_TRUE(Event.has_value()) << Text;
    Replayed.play(Event.value(), Line.value().At.Wall.Milliseconds - 1'000'000);
  }
  EXPECT_EQ(Replayed.Lines, Recorded);
  EXPECT_EQ(SentToEndpoint, 1);
}

TEST(TraceTest, RejectsAnUnknownEvent) {
  const auto Event = eventOf({at(0), "explode", Json::arrayValue});
  ASSERT_TRUE(Event.has_error());
  EXPECT_EQ(Event.error().Kind, base::ErrorKind::Corrupt);
}

} // namespace
} // namespace burdockstream::nodes
