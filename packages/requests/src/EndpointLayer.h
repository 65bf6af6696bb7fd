// CoAP message layer for exchanges with the agent's local endpoint. The agent
// is the client: each request and each observation is one exchange with its own
// token. Pings detect when an unresponsive endpoint is available again.
#ifndef BURDOCKSTREAM_REQUESTS_ENDPOINTLAYER_H
#define BURDOCKSTREAM_REQUESTS_ENDPOINTLAYER_H

#include "DeadlineIndex.h"
#include "Retransmission.h"

#include "burdockstream/coap/CoapMessage.h"
#include "burdockstream/requests/Actions.h"
#include "burdockstream/requests/Hooks.h"

#include <deque>
#include <map>
#include <set>
#include <vector>

namespace burdockstream::requests {

// Identifies an exchange with the endpoint; zero means none.
using EndpointExchange = uint64_t;

// Result of an endpoint datagram or of a timer.
struct EndpointEvent {
  enum class Kind : uint8_t {
    Response, // a response or notification for Exchange
    Reset,    // the endpoint rejected Exchange with a reset
    NoAck     // all retransmissions of Exchange are unacknowledged
  };
  Kind What = Kind::Response;
  EndpointExchange Exchange = 0;
  coap::CoapMessage Message;
  // The latest request of the exchange was acknowledged with or before this
  // response. False for a notification that overtakes the acknowledgment.
  bool RequestAcknowledged = true;
};

// Determines retransmission, and when an exchange ends.
enum class ExchangeKind : uint8_t {
  Idempotent,
  // Sent only once: an endpoint that restarts loses its record of message ids,
  // so a retransmission could run the request a second time.
  NonIdempotent,
  Observation // remains open after a response
};

// Single-threaded: used on the event loop's thread only.
class EndpointLayer {
public:
  // Precondition: InitSettings and InitRandom outlive this object.
  EndpointLayer(const Settings &InitSettings, base::RandomSource &InitRandom,
                std::function<void(Counter)> InitCount);

  // Sends Request in a new exchange and returns its id.
  EndpointExchange open(coap::CoapMessage Request, ExchangeKind Kind,
                        base::Now Now, Sink &Out);

  // Sends Request in an open exchange, with its token and a new message id.
  // Precondition: Id is open.
  void reopen(EndpointExchange Id, coap::CoapMessage Request, base::Now Now,
              Sink &Out);

  // Discards the exchange; an unknown Id is ignored. A later message with its
  // token is answered by a reset.
  void close(EndpointExchange Id);

  // Closes the exchange and sends the endpoint a reset to cancel it.
  void cancel(EndpointExchange Id, Sink &Out);

  // Handles one datagram. Malformed datagrams are counted and ignored.
  std::vector<EndpointEvent> receive(std::span<const uint8_t> Datagram,
                                     Sink &Out);

  // Handles all timers due at Now and returns the exchanges without an
  // acknowledgment after the last retransmission.
  std::vector<EndpointEvent> tick(base::Now Now, Sink &Out);
  // Returns the time at which tick must be called next, or base::Never.
  base::TimePoint nextDeadline() const;

  // Returns whether the endpoint is considered alive: it sent a datagram since
  // the last markDead.
  bool alive() const { return Alive; }

  // Marks the endpoint as dead and sends pings until it sends a datagram.
  // Called after a NoAck event if the endpoint sent nothing since the request.
  // Does not close any exchange.
  void markDead(base::Now Now);

  // Returns whether the endpoint has sent any datagram since the latest request
  // of Id, or Id is closed.
  bool receivedSince(EndpointExchange Id) const;

private:
  struct Exchange {
    ExchangeKind Kind = ExchangeKind::Idempotent;
    messages::Bytes Token;
    uint16_t MessageId = 0;
    messages::Bytes Datagram;
    Retransmission Timing;
    uint64_t ReceivedBeforeSend = 0; // DatagramsReceived at transmission
    bool Acknowledged = false;
  };

  void transmit(EndpointExchange Id, coap::CoapMessage Request, base::Now Now,
                Sink &Out);
  void sendEmpty(coap::MessageType Type, uint16_t MessageId, Sink &Out);
  void markAcknowledged(EndpointExchange Id);
  std::vector<EndpointEvent> receiveResponse(const coap::CoapMessage &Message,
                                             Sink &Out);
  void recordClosedToken(const messages::Bytes &Token);

  const Settings &Config;
  base::RandomSource &Random;
  std::function<void(Counter)> Count;
  std::map<EndpointExchange, Exchange> Exchanges;
  std::map<messages::Bytes, EndpointExchange> ByToken;
  std::map<uint16_t, EndpointExchange> ByMessageId;
  std::set<messages::Bytes> ClosedTokens;
  std::deque<messages::Bytes> ClosedOrder;
  DeadlineIndex<EndpointExchange> RetransmitTimes;
  EndpointExchange LastExchange = 0;
  uint16_t NextMessageId = 0;
  uint64_t DatagramsReceived = 0; // datagrams from the endpoint
  base::TimePoint PingAt = base::Never;
  bool Alive = true;
};

} // namespace burdockstream::requests

#endif
