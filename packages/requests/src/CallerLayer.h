// CoAP message layer for exchanges with callers (RFC 7252, section 4):
// de-duplication, acknowledgments, separate responses, and retransmission of
// confirmable messages.
#ifndef BURDOCKSTREAM_REQUESTS_CALLERLAYER_H
#define BURDOCKSTREAM_REQUESTS_CALLERLAYER_H

#include "DeadlineIndex.h"
#include "Retransmission.h"

#include "burdockstream/base/Random.h"
#include "burdockstream/coap/CoapMessage.h"
#include "burdockstream/requests/Actions.h"
#include "burdockstream/requests/Hooks.h"

#include <map>
#include <vector>

namespace burdockstream::requests {

// Identifies a request message by its caller and message id.
struct ExchangeKey {
  base::SocketAddress Caller;
  uint16_t MessageId = 0;
  // clang-tidy 14 reports the comparison with 0 that the compiler generates.
  // NOLINTBEGIN(modernize-use-nullptr,readability-identifier-naming)
  friend auto operator<=>(const ExchangeKey &, const ExchangeKey &) = default;
  // NOLINTEND(modernize-use-nullptr,readability-identifier-naming)
};

// Identifies a confirmable message sent to a caller; zero means none.
using OutgoingId = uint64_t;

// Result of a caller datagram or of a timer.
struct CallerEvent {
  enum class Kind : uint8_t {
    Handled,    // fully processed by this layer
    Request,    // a new request
    Delivered,  // the caller acknowledged Outgoing
    Rejected,   // the caller rejected Outgoing with a reset
    Cancelled,  // the caller reset its unanswered request Exchange
    Undelivered // all retransmissions of Outgoing are unacknowledged
  };
  Kind What = Kind::Handled;
  ExchangeKey Exchange;
  OutgoingId Outgoing = 0;
  coap::CoapMessage Message;
};

// Single-threaded: used on the event loop's thread only.
class CallerLayer {
public:
  // Precondition: InitRandom outlives this object; InitCount is callable.
  CallerLayer(base::RandomSource &InitRandom,
              std::function<void(Counter)> InitCount)
      : Random(InitRandom), Count(std::move(InitCount)) {}

  // Handles one parsed caller datagram of a bucket that this agent owns.
  CallerEvent receive(const messages::Forward &Packet,
                      const coap::CoapMessage &Message, base::Now Now,
                      Sink &Out);

  // Handles the datagram only if it acknowledges or resets a message sent from
  // here, or resets a request that is unanswered here; otherwise returns
  // nullopt. Used for buckets that this agent no longer owns.
  std::optional<CallerEvent> receiveLate(const messages::Forward &Packet,
                                         const coap::CoapMessage &Message);

  // Sends the response of an exchange: piggybacked on the acknowledgment, or as
  // a separate confirmable message if the request is already acknowledged.
  // Later calls for the same exchange have no effect.
  void respond(const ExchangeKey &Key, coap::CoapMessage Response,
               base::Epoch Epoch, base::Now Now, Sink &Out);

  // Sends an empty acknowledgment for a confirmable request that has none yet.
  void acknowledge(const ExchangeKey &Key, Sink &Out);

  // Marks the exchange as answered without sending a response.
  void close(const ExchangeKey &Key);

  // Sends Message to Caller as a confirmable message with a new message id.
  // Each of the Rounds is one initial timeout and four retransmissions. All
  // rounds use the same message id, so that a caller whose acknowledgments were
  // lost recognizes the copies.
  OutgoingId sendConfirmable(base::SocketAddress Caller,
                             coap::CoapMessage Message, base::Epoch Epoch,
                             base::Now Now, Sink &Out, uint8_t Rounds = 1);

  // Like sendConfirmable, but with the message id that a former owner of the
  // bucket used for the same message.
  OutgoingId resumeConfirmable(base::SocketAddress Caller,
                               coap::CoapMessage Message, uint16_t MessageId,
                               base::Now Now, Sink &Out, uint8_t Rounds);

  // Returns the message id of Id. Precondition: Id is unacknowledged.
  uint16_t messageIdOf(OutgoingId Id) const {
    return Outgoing.at(Id).MessageId;
  }

  // Stops retransmitting a message; an unknown Id is ignored.
  void abandon(OutgoingId Id);

  // Returns whether Caller was admitted and its flow has not expired. A flow
  // expires after EXCHANGE_LIFETIME without messages.
  bool isAdmitted(base::SocketAddress Caller) const {
    const auto Found = Flows.find(Caller);
    return Found != Flows.end() && Found->second.Admitted;
  }
  // Counts the flow of Caller against the flow limit. Refused flows also keep
  // state for de-duplication, but are not counted.
  void admit(base::SocketAddress Caller);
  size_t admittedFlows() const { return AdmittedFlows; }

  // Returns whether no request is unanswered and no message unacknowledged.
  bool idle() const { return Outgoing.empty() && Unanswered == 0; }

  // Handles all timers due at Now and appends undelivered messages to Events.
  void tick(base::Now Now, Sink &Out, std::vector<CallerEvent> &Events);
  // Returns the time at which tick must be called next, or base::Never.
  base::TimePoint nextDeadline() const;

private:
  enum class Phase : uint8_t { Open, Acknowledged, Answered };
  struct Exchange {
    coap::MessageType Type = coap::MessageType::Confirmable;
    messages::Bytes Token;
    Phase State = Phase::Open;
    messages::Bytes CachedReply; // resent for each copy of the request
  };
  struct OutgoingMessage {
    base::SocketAddress Caller;
    uint16_t MessageId = 0;
    messages::Bytes Datagram;
    Retransmission Timing;
    uint8_t Rounds = 1; // remaining rounds of retransmissions
  };
  struct Flow {
    base::SocketAddress Ingress;
    int64_t LastTimeSlot = 0; // time slot of the latest message id
    bool Admitted = false;
  };

  void send(base::SocketAddress Caller, messages::Bytes Datagram, Sink &Out);
  void sendEmpty(base::SocketAddress Caller, coap::MessageType Type,
                 uint16_t MessageId, Sink &Out);
  Flow &touchFlow(base::SocketAddress Caller, base::Now Now);
  uint16_t allocateMessageId(base::SocketAddress Caller, base::Epoch Epoch,
                             base::Now Now);
  CallerEvent receiveRequest(const messages::Forward &Packet,
                             const coap::CoapMessage &Message, base::Now Now,
                             Sink &Out);
  OutgoingId takeOutgoing(base::SocketAddress Caller, uint16_t MessageId);
  void retransmit(OutgoingId Id, base::Now Now, Sink &Out,
                  std::vector<CallerEvent> &Events);
  void expireExchange(const ExchangeKey &Key);
  void expireFlow(base::SocketAddress Caller);

  base::RandomSource &Random;
  std::function<void(Counter)> Count;
  std::map<ExchangeKey, Exchange> Exchanges;
  std::map<OutgoingId, OutgoingMessage> Outgoing;
  std::map<ExchangeKey, OutgoingId> OutgoingByMessage;
  std::map<base::SocketAddress, Flow> Flows;
  DeadlineIndex<ExchangeKey> AckTimes;
  DeadlineIndex<ExchangeKey> ExchangeEnds;
  DeadlineIndex<OutgoingId> RetransmitTimes;
  DeadlineIndex<base::SocketAddress> FlowEnds;
  OutgoingId LastOutgoing = 0;
  size_t Unanswered = 0;
  size_t AdmittedFlows = 0;
};

} // namespace burdockstream::requests

#endif
