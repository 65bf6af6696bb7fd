#include "burdockstream/standins/ReliableSender.h"

#include <glog/logging.h>

namespace burdockstream::standins {

ReliableSender::ReliableSender(TimerQueue &InitTimers,
                               base::RandomSource &InitRandom,
                               RetransmitOptions InitOptions, Transmit InitSend)
    : Timers(InitTimers), Random(InitRandom), Options(InitOptions),
      Send(std::move(InitSend)),
      LastMessageId(static_cast<uint16_t>(Random())) {}

ReliableSender::~ReliableSender() {
  for (const auto &[Id, Message] : Messages)
    Timers.cancel(Message.Timer);
}

uint16_t ReliableSender::send(coap::CoapMessage Message, base::SocketAddress To,
                              Callback Done) {
  Message.MessageId = nextMessageId();
  Message.Type = coap::MessageType::Confirmable;
  auto Datagram = coap::serializeMessage(Message);
  CHECK(Datagram.has_value()) << Datagram.error().Message;
  // The random factor of RFC 7252 prevents synchronized retransmissions.
  const auto RandomDelay = static_cast<int64_t>(base::randomBelow(
      Random, static_cast<uint64_t>(Options.AckTimeout.count() / 2 + 1)));
  Transmission Entry{std::move(Datagram.value()), std::move(Done),
                     Options.AckTimeout + base::Duration(RandomDelay)};
  const Key Id{To, Message.MessageId};
  cancel(To, Message.MessageId);
  transmit(Id, Messages.emplace(Id, std::move(Entry)).first->second);
  return Message.MessageId;
}

void ReliableSender::transmit(const Key &Id, Transmission &Message) {
  Send(Message.Datagram, Id.first);
  Message.Timer =
      Timers.after(Message.Timeout, [this, Id] { handleTimeout(Id); });
  Message.Timeout *= 2;
}

void ReliableSender::handleTimeout(const Key &Id) {
  const auto Found = Messages.find(Id);
  if (Found == Messages.end())
    return;
  if (Found->second.RetransmitCount == Options.MaxRetransmit) {
    complete(Id.first, Id.second, DeliveryResult::TimedOut);
    return;
  }
  ++Found->second.RetransmitCount;
  ++Retransmissions;
  transmit(Id, Found->second);
}

bool ReliableSender::complete(base::SocketAddress Peer, uint16_t MessageId,
                              DeliveryResult Outcome) {
  const auto Found = Messages.find(Key{Peer, MessageId});
  if (Found == Messages.end())
    return false;
  const Callback Done = std::move(Found->second.Done);
  Timers.cancel(Found->second.Timer);
  Messages.erase(Found);
  if (Done)
    Done(Outcome);
  return true;
}

void ReliableSender::cancel(base::SocketAddress Peer, uint16_t MessageId) {
  const auto Found = Messages.find(Key{Peer, MessageId});
  if (Found == Messages.end())
    return;
  Timers.cancel(Found->second.Timer);
  Messages.erase(Found);
}

} // namespace burdockstream::standins
