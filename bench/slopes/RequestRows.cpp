#include "Row.h"

#include "AllocationCount.h"
#include "CoreHarness.h"

#include <glog/logging.h>

namespace burdockstream::bench {

namespace {

using requests::CoreHarness;

constexpr uint16_t Sizes[] = {1000, 10000};
constexpr size_t AnswerBytes = 100;

// Longer than CoAP's EXCHANGE_LIFETIME of 247 s, after which the exchange's
// memory is released.
constexpr base::Duration ExchangeLifetime = std::chrono::seconds(250);

// A session that admits every flow of the largest run; the default admits
// 2,000.
struct WideHarness : CoreHarness {
  WideHarness() {
    records::ServiceConfig Config = requests::testConfig(2);
    Config.ConnectionsPerEndpoint = 1000000;
    Core->configure(Config);
  }
};

// Runs one GET or POST of each of Count callers to its answer.
void runRequests(CoreHarness &Agent, uint16_t Count, bool Post) {
  for (uint16_t I = 0; I < Count; ++I) {
    Agent.fromCaller(Post ? Agent.post("r" + std::to_string(100000 + I),
                                       std::chrono::seconds(100))
                          : Agent.request(coap::Code::Get, "/short"),
                     I);
    Agent.answer(Agent.toEndpoint().at(0), std::string(AnswerBytes, 'a'));
    Agent.toCaller();
  }
}

// Opens a subscription of each of Count callers to one of Count / 10 boards and
// delivers its first update.
void subscribe(CoreHarness &Agent, uint16_t Count) {
  for (uint16_t I = 0; I < Count; ++I) {
    coap::CoapMessage Request = Agent.request(
        coap::Code::Get, "/boards/" + std::to_string(I % (Count / 10)));
    Request.Observe = 0;
    Agent.fromCaller(Request, I);
    for (const coap::CoapMessage &Sent : Agent.toEndpoint()) {
      coap::CoapMessage First;
      First.Type = coap::MessageType::Acknowledgement;
      First.MessageCode = coap::Code::Content;
      First.MessageId = Sent.MessageId;
      First.Token = Sent.Token;
      First.Observe = 1;
      First.Payload = messages::Bytes(AnswerBytes, 1);
      Agent.fromEndpoint(First);
    }
    for (const coap::CoapMessage &Sent : Agent.toCaller()) {
      if (Sent.MessageCode == coap::Code::Empty)
        continue;
      coap::CoapMessage Ack;
      Ack.Type = coap::MessageType::Acknowledgement;
      Ack.MessageId = Sent.MessageId;
      Agent.fromCaller(Ack, I);
    }
  }
  CHECK_EQ(Agent.Core->load(Agent.Now).Subscriptions, Count);
}

Row memoryRow(const char *Name, const char *Range) {
  return {Name, "bytes", Range, {}};
}

} // namespace

void addRequestRows(Rows &Out) {
  Row Recent = memoryRow("memory: answered GET, flow and exchange", "callers");
  Row Open =
      memoryRow("memory: the same after 250 s without traffic", "callers");
  Row Twice = memoryRow("memory: two answered GETs per flow", "callers");
  Row Post = memoryRow("memory: answered POST, flow and record", "callers");
  Row Subscribed =
      memoryRow("memory: subscription, 10 per board, with its flow", "callers");
  for (const uint16_t Count : Sizes) {
    const auto Add = [Count](Row &To, int64_t Value) {
      To.Points.emplace_back(Count, static_cast<double>(Value));
    };
    {
      WideHarness Agent;
      const int64_t Before = heldBytes();
      runRequests(Agent, Count, false);
      Add(Recent, heldBytes() - Before);
      Agent.advance(ExchangeLifetime);
      Add(Open, heldBytes() - Before);
    }
    {
      WideHarness Agent;
      const int64_t Before = heldBytes();
      runRequests(Agent, Count, false);
      runRequests(Agent, Count, false);
      Add(Twice, heldBytes() - Before);
    }
    {
      WideHarness Agent;
      const int64_t Before = heldBytes();
      runRequests(Agent, Count, true);
      CHECK_EQ(Agent.Core->load(Agent.Now).Records, Count);
      Add(Post, heldBytes() - Before);
    }
    WideHarness Agent;
    const int64_t Before = heldBytes();
    subscribe(Agent, Count);
    Add(Subscribed, heldBytes() - Before);
  }
  Out.insert(Out.end(), {Recent, Twice, Open, Post, Subscribed});
}

} // namespace burdockstream::bench
