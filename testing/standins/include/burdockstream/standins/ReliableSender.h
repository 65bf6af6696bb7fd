// Sends confirmable CoAP messages and retransmits them with exponential
// back-off until the peer acknowledges or rejects them (RFC 7252, section 4.2).
#ifndef BURDOCKSTREAM_STANDINS_RELIABLESENDER_H
#define BURDOCKSTREAM_STANDINS_RELIABLESENDER_H

#include "burdockstream/base/Random.h"
#include "burdockstream/base/SocketAddress.h"
#include "burdockstream/coap/CoapMessage.h"
#include "burdockstream/standins/TimerQueue.h"

#include <functional>
#include <map>
#include <utility>

namespace burdockstream::standins {

enum class DeliveryResult : uint8_t { Acknowledged, Rejected, TimedOut };

struct RetransmitOptions {
  base::Duration AckTimeout = std::chrono::seconds(2); // scaled by 1 to 1.5
  int MaxRetransmit = 4;
};

class ReliableSender {
public:
  using Transmit =
      std::function<void(const coap::Bytes &Datagram, base::SocketAddress To)>;
  using Callback = std::function<void(DeliveryResult)>;

  // Timers and Random must outlive the sender.
  ReliableSender(TimerQueue &Timers, base::RandomSource &Random,
                 RetransmitOptions Options, Transmit Send);
  ~ReliableSender();
  ReliableSender(const ReliableSender &) = delete;
  ReliableSender &operator=(const ReliableSender &) = delete;

  // Sends Message with a new message id and returns the id. Done is called
  // once, unless the message is cancelled. Precondition: Message can be
  // serialized. Thread safety: loop thread only.
  uint16_t send(coap::CoapMessage Message, base::SocketAddress To,
                Callback Done);

  // Ends the transmission and calls its callback with Outcome. Returns false if
  // no message with this id is in flight. Thread safety: loop thread only.
  bool complete(base::SocketAddress Peer, uint16_t MessageId,
                DeliveryResult Outcome);

  // Ends the transmission without calling its callback; an unknown id is
  // ignored. Thread safety: loop thread only.
  void cancel(base::SocketAddress Peer, uint16_t MessageId);

  // Returns the next message id; ids repeat after 65,536 messages. Thread
  // safety: loop thread only.
  uint16_t nextMessageId() { return ++LastMessageId; }

  // Thread safety: loop thread only.
  uint64_t retransmissions() const { return Retransmissions; }

private:
  using Key = std::pair<base::SocketAddress, uint16_t>;
  struct Transmission {
    coap::Bytes Datagram;
    Callback Done;
    base::Duration Timeout{0};
    int RetransmitCount = 0;
    TimerQueue::TimerId Timer = 0;
  };
  void transmit(const Key &Id, Transmission &Message);
  void handleTimeout(const Key &Id);

  TimerQueue &Timers;
  base::RandomSource &Random;
  RetransmitOptions Options;
  Transmit Send;
  uint16_t LastMessageId;
  uint64_t Retransmissions = 0;
  std::map<Key, Transmission> Messages;
};

} // namespace burdockstream::standins

#endif
