// Stand-in for an endpoint: a CoAP server over UDP with a limited number of
// slots, configurable run times, observable boards, sheets (bodies of any size)
// and a journal of the requests that ran. It detects duplicates by message id
// (RFC 7252, section 4.5), rejects requests past their "not after" time and
// lets the peer cancel a request by Reset.
#ifndef BURDOCKSTREAM_STANDINS_ENDPOINTSTANDIN_H
#define BURDOCKSTREAM_STANDINS_ENDPOINTSTANDIN_H

#include "burdockstream/network/UdpSocket.h"
#include "burdockstream/standins/BoardServer.h"
#include "burdockstream/standins/JobExecutor.h"

#include <deque>
#include <json/value.h>
#include <memory>
#include <string>
#include <unordered_map>

namespace burdockstream::standins {

struct EndpointOptions {
  base::SocketAddress Listen{0x7f000001, 0};
  std::string Service;
  JobOptions Jobs;
  RetransmitOptions Retransmit;
  // A response that is ready within this time is piggybacked on the
  // acknowledgment; a later one is sent separately.
  base::Duration AckDelay = std::chrono::milliseconds(50);
  // How long message ids are kept for duplicate detection: EXCHANGE_LIFETIME of
  // RFC 7252.
  base::Duration ExchangeLifetime = std::chrono::seconds(247);
  uint64_t Seed = 1;
};

struct EndpointCounters {
  uint64_t Requests = 0;
  uint64_t Duplicates = 0;
  uint64_t Malformed = 0;
  uint64_t Cancelled = 0;     // requests cancelled by a Reset of the peer
  uint64_t ResponsesLost = 0; // separate responses not acknowledged
};

// Resources: GET /sheet/NAME and /board/NAME (bodies in ExpectedBodies.h), GET
// /load (load report, needs no slot), GET on a path under /missing (4.04), GET
// on any other path (echoes path and query), POST and PUT on any path (run). A
// request with the Block2 option receives one block, so that a caller can also
// use the endpoint without an agent.
class EndpointStandin {
public:
  // Opens the socket and attaches it to Context; null selects the default main
  // context. Returns the error if the socket cannot be opened. Thread safety:
  // loop thread only.
  static base::Result<std::unique_ptr<EndpointStandin>>
  open(GMainContext *Context, const EndpointOptions &Options);

  // Executes a command:
  //   {"command": "publish", "board": NAME, "number": N (default: next)}
  //   {"command": "set", ...} with any of slots, queue_limit, shedding,
  //     default_run_ms, cold_factor, run_ms (object: path prefix to
  //     milliseconds), load_percent (reported instead of the actual load; -1
  //     restores the actual load)
  //   {"command": "journal", "from": INDEX, "limit": N, "rid": ID} (all but
  //     command optional)
  //   {"command": "counters"}
  // Returns an object with the member "error" for any other command. May throw
  // jsoncpp exceptions for values of the wrong type; executeCommand catches
  // them. Thread safety: loop thread only.
  Json::Value execute(const Json::Value &Command);

  // Thread safety: loop thread only.
  base::SocketAddress localAddress() const { return Socket->localAddress(); }
  const EndpointCounters &counters() const { return Counters; }
  BoardServer &boards() { return Boards; }
  JobExecutor &jobs() { return Executor; }

private:
  // A received request, kept for the lifetime of its message id.
  struct Exchange {
    coap::CoapMessage Request;
    bool Answered = false;
    bool AckSent = false;
    coap::Bytes LastReply;            // sent again for a duplicate
    JobExecutor::JobId ActiveJob = 0; // queued or running
    TimerQueue::TimerId AckTimer = 0;
  };
  using ExchangeKey = uint64_t; // address and message id

  EndpointStandin(GMainContext *Context, const EndpointOptions &Options);
  static ExchangeKey keyOf(base::SocketAddress Peer, uint16_t MessageId);
  void receive(std::span<const uint8_t> Datagram, base::SocketAddress From);
  void replyToPing(const coap::CoapMessage &Ping, base::SocketAddress From);
  void receiveEmpty(const coap::CoapMessage &Message, base::SocketAddress From);
  void receiveRequest(coap::CoapMessage Request, base::SocketAddress From);
  void evictExpiredExchanges();
  void dispatch(ExchangeKey Key, base::SocketAddress Peer);
  bool handleWithoutSlot(ExchangeKey Key, base::SocketAddress Peer,
                         const coap::CoapMessage &Request);
  void observeBoard(ExchangeKey Key, base::SocketAddress Peer,
                    const coap::CoapMessage &Request);
  void finishJob(ExchangeKey Key, base::SocketAddress Peer, JobResult Outcome);
  coap::CoapMessage jobResponse(const coap::CoapMessage &Request) const;
  void acknowledge(ExchangeKey Key, base::SocketAddress Peer);
  void respond(ExchangeKey Key, base::SocketAddress Peer,
               coap::CoapMessage Response);
  void transmit(const coap::Bytes &Datagram, base::SocketAddress To);
  std::string loadReport() const;
  Json::Value applySettings(const Json::Value &Command);
  Json::Value journalPage(const Json::Value &Command) const;
  Json::Value countersJson() const;

  EndpointOptions Options;
  TimerQueue Timers;
  base::RandomSource Random;
  std::unique_ptr<network::UdpSocket> Socket;
  ReliableSender Sender;
  BoardServer Boards;
  JobExecutor Executor;
  std::unordered_map<ExchangeKey, Exchange> Exchanges;
  std::deque<std::pair<base::TimePoint, ExchangeKey>> ExchangeExpiry;
  int ReportedLoad = -1;
  EndpointCounters Counters;
};

} // namespace burdockstream::standins

#endif
