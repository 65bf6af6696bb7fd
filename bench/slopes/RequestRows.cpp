#include "Row.h"

#include "AllocationCount.h"
#include "CoreHarness.h"

#include <glog/logging.h>

namespace burdockstream::bench {

namespace {

using requests::CoreHarness;

constexpr uint16_t CallerCounts[] = {1000, 10000};
constexpr size_t ResponseBytes = 100;

// Exceeds CoAP's EXCHANGE_LIFETIME of 247 s, after which the memory of an
// exchange is released.
constexpr base::Duration ExchangeLifetime = std::chrono::seconds(250);

// A harness that admits every flow of the largest run; the default limit of
// 2,000 flows is too low.
struct HighLimitHarness : CoreHarness {
  HighLimitHarness() {
    records::ServiceConfig Config = requests::testConfig(2);
    Config.ConnectionsPerEndpoint = 1000000;
    Core->configure(Config);
  }
};

// Sends one GET or POST from each of Count callers and answers it.
void runRequests(CoreHarness &Agent, uint16_t Count, bool Post) {
  for (uint16_t I = 0; I < Count; ++I) {
    Agent.fromCaller(Post ? Agent.post("r" + std::to_string(100000 + I),
                                       std::chrono::seconds(100))
                          : Agent.request(coap::Code::Get, "/short"),
                     I);
    Agent.answer(Agent.toEndpoint().at(0), std::string(ResponseBytes, 'a'));
    Agent.toCaller();
  }
}

// Subscribes each of Count callers to one of Count / 10 boards, and delivers
// and acknowledges the first update.
void openSubscriptions(CoreHarness &Agent, uint16_t Count) {
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
      First.Payload = messages::Bytes(ResponseBytes, 1);
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

Row memoryRow(const char *Name, const char *SizeUnit) {
  return {Name, "bytes", SizeUnit, {}};
}

} // namespace

void addRequestRows(Rows &Out) {
  Row Recent = memoryRow("memory: answered GET, flow and exchange", "callers");
  Row AfterExchangeLifetime =
      memoryRow("memory: the same after 250 s without traffic", "callers");
  Row Twice = memoryRow("memory: two answered GETs per flow", "callers");
  Row Post = memoryRow("memory: answered POST, flow and record", "callers");
  Row Subscribed =
      memoryRow("memory: subscription, 10 per board, with its flow", "callers");
  for (const uint16_t Count : CallerCounts) {
    const auto Add = [Count](Row &To, int64_t Value) {
      To.Points.emplace_back(Count, static_cast<double>(Value));
    };
    {
      HighLimitHarness Agent;
      const int64_t Before = allocatedBytes();
      runRequests(Agent, Count, false);
      Add(Recent, allocatedBytes() - Before);
      Agent.advance(ExchangeLifetime);
      Add(AfterExchangeLifetime, allocatedBytes() - Before);
    }
    {
      HighLimitHarness Agent;
      const int64_t Before = allocatedBytes();
      runRequests(Agent, Count, false);
      runRequests(Agent, Count, false);
      Add(Twice, allocatedBytes() - Before);
    }
    {
      HighLimitHarness Agent;
      const int64_t Before = allocatedBytes();
      runRequests(Agent, Count, true);
      CHECK_EQ(Agent.Core->load(Agent.Now).Records, Count);
      Add(Post, allocatedBytes() - Before);
    }
    HighLimitHarness Agent;
    const int64_t Before = allocatedBytes();
    openSubscriptions(Agent, Count);
    Add(Subscribed, allocatedBytes() - Before);
  }
  Out.insert(Out.end(),
             {Recent, Twice, AfterExchangeLifetime, Post, Subscribed});
}

} // namespace burdockstream::bench
