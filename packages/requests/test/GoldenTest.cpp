#include "CoreHarness.h"

#include <gtest/gtest.h>

#include <cstdlib>
#include <fstream>
#include <sstream>

namespace burdockstream::requests {
namespace {

constexpr const char *GoldenFile = "packages/requests/test/golden/session.txt";

// Records every event and action of a session, one per line.
class Recorder {
public:
  CoreHarness Agent;

  void caller(const CoapMessage &Message) {
    note("caller: ", Message);
    Agent.fromCaller(Message);
    noteActions();
  }
  void endpoint(const CoapMessage &Message) {
    note("endpoint: ", Message);
    Agent.fromEndpoint(Message);
    noteActions();
  }
  void advance(base::Duration Time) {
    Lines << "advance " << Time / 1ms << " ms\n";
    Agent.advance(Time);
    noteActions();
  }
  void remark(const std::string &Text) {
    Lines << Text << '\n';
    noteActions();
  }
  // Return the last message sent to the endpoint or to a caller.
  CoapMessage lastToEndpoint() const { return LastToEndpoint; }
  CoapMessage lastToCaller() const { return LastToCaller; }
  std::string lines() const { return Lines.str(); }

private:
  void note(const char *Source, const CoapMessage &Message) {
    Lines << Source << describeDatagram(coap::serializeMessage(Message).value())
          << '\n';
  }
  void noteActions() {
    for (const Action &Value : Agent.Out) {
      Lines << "  " << describe(Value) << '\n';
      if (const auto *Sent = std::get_if<SendToCaller>(&Value))
        LastToCaller = coap::parseMessage(Sent->Datagram).value();
      if (const auto *Sent = std::get_if<SendToEndpoint>(&Value))
        LastToEndpoint = coap::parseMessage(Sent->Datagram).value();
    }
    Agent.Out.clear();
  }
  std::ostringstream Lines;
  CoapMessage LastToEndpoint;
  CoapMessage LastToCaller;
};

CoapMessage replyTo(const CoapMessage &Request, MessageType Type, Code Result,
                    std::string_view Payload) {
  CoapMessage Reply;
  Reply.Type = Type;
  Reply.MessageCode = Result;
  Reply.MessageId = Request.MessageId;
  if (Result != Code::Empty)
    Reply.Token = Request.Token;
  Reply.Payload = bytes(Payload);
  return Reply;
}

void playRequests(Recorder &Play) {
  const auto Ack = MessageType::Acknowledgement;
  Play.caller(Play.Agent.request(Code::Get, "/short/a"));
  Play.endpoint(replyTo(Play.lastToEndpoint(), Ack, Code::Content, "quick"));
  const CoapMessage Post = Play.Agent.post("r1");
  Play.caller(Post);
  const CoapMessage Passed = Play.lastToEndpoint();
  Play.endpoint(replyTo(Passed, Ack, Code::Empty, ""));
  Play.advance(500ms);
  CoapMessage Done =
      replyTo(Passed, MessageType::Confirmable, Code::Changed, "booked");
  Done.MessageId = 900;
  Play.endpoint(Done);
  Play.advance(3s);
  Play.caller(replyTo(Play.lastToCaller(), Ack, Code::Empty, ""));
  Play.caller(Play.Agent.request(Code::Post, "/short", Post.Query));
  Play.caller(Play.Agent.request(Code::Post, "/short"));
  Play.caller(Play.Agent.request(Code::Get, "/big"));
  Play.endpoint(replyTo(Play.lastToEndpoint(), Ack, Code::Content,
                        std::string(1500, 'x')));
  CoapMessage Second = Play.Agent.request(Code::Get, "/big");
  Second.Block2 = coap::Block{1, false, 6};
  Play.caller(Second);
}

void playSubscription(Recorder &Play) {
  const auto Ack = MessageType::Acknowledgement;
  CoapMessage Registration = Play.Agent.request(Code::Get, "/board");
  Registration.Observe = 0;
  Play.caller(Registration);
  CoapMessage Update =
      replyTo(Play.lastToEndpoint(), Ack, Code::Content, "update 7");
  Update.Observe = 7;
  Play.endpoint(Update);
  Play.caller(replyTo(Play.lastToCaller(), Ack, Code::Empty, ""));
  Update.Type = MessageType::Confirmable;
  Update.MessageId = 901;
  Update.Observe = 8;
  Update.Payload = bytes("update 8");
  Play.endpoint(Update);
}

void playHandover(Recorder &Play) {
  Play.caller(Play.Agent.post("r2"));
  const auto Snapshot =
      Play.Agent.Core->exportBucket(0, PeerId, 1, Play.Agent.Now);
  Play.remark("export: " + std::to_string(Snapshot.Requests.size()) +
              " records, subscription after update " +
              std::to_string(Snapshot.Subscriptions.at(0).LastDelivered));
  Play.Agent.Authority.Role = BucketRole::NotOwner;
  Play.Agent.Authority.Owner = PeerId;
  Play.Agent.setAuthority(Play.Agent.Authority);
  Play.remark("role: not owner");
  Play.endpoint(replyTo(Play.lastToEndpoint(), MessageType::Acknowledgement,
                        Code::Changed, "booked"));
  Play.caller(Play.Agent.request(Code::Get, "/short/b"));
  Play.Agent.Core->dropBucket(0);
  Play.remark(Play.Agent.Core->isIdle() ? "idle" : "not idle");
}

// Guards against unintended changes of the messages that the agent sends, and
// of their times. To accept a change, run with BURDOCK_UPDATE_GOLDEN=1.
TEST(GoldenTest, AWholeSessionIsAsRecorded) {
  Recorder Play;
  playRequests(Play);
  playSubscription(Play);
  playHandover(Play);
  if (std::getenv("BURDOCK_UPDATE_GOLDEN") != nullptr)
    std::ofstream(GoldenFile) << Play.lines();
  std::ostringstream Recorded;
  Recorded << std::ifstream(GoldenFile).rdbuf();
  EXPECT_EQ(Play.lines(), Recorded.str());
}

} // namespace
} // namespace burdockstream::requests
