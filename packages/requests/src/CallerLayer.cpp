#include "CallerLayer.h"

#include <glog/logging.h>

#include <algorithm>

namespace burdockstream::requests {

namespace {

// Delay before an unanswered request gets an empty acknowledgment. It is well
// below the 2 s after which a caller may retransmit.
constexpr base::Duration AckDelay = std::chrono::milliseconds(500);

// Layout of message ids. A caller discards a message as a duplicate if any
// owner of the bucket used its id within the last 247 s (EXCHANGE_LIFETIME).
// The two highest bits are the low bits of the bucket's epoch, which keeps ids
// of successive owners apart even if their clocks differ. The other bits are
// the number of a 16 ms time slot, which repeats after 262 s and keeps ids of
// earlier owners apart. More than 62 messages per second to one caller use
// slots ahead of the clock.
constexpr int EpochShift = 14;
constexpr int64_t TimeSlotMask = (1 << EpochShift) - 1;
constexpr int64_t TimeSlotMilliseconds = 16;

messages::Bytes encode(const coap::CoapMessage &Message) {
  auto Datagram = coap::serializeMessage(Message);
  // Fields were parsed or limited before, so a failure here is a bug.
  CHECK(Datagram.has_value())
      << "cannot serialize message to caller: " << Datagram.error().Message;
  return std::move(Datagram.value());
}

} // namespace

void CallerLayer::send(base::SocketAddress Caller, messages::Bytes Datagram,
                       Sink &Out) {
  const auto Found = Flows.find(Caller);
  Out.emplace_back(SendToCaller{Caller,
                                Found == Flows.end() ? base::SocketAddress{}
                                                     : Found->second.Ingress,
                                std::move(Datagram)});
}

void CallerLayer::sendEmpty(base::SocketAddress Caller, coap::MessageType Type,
                            uint16_t MessageId, Sink &Out) {
  coap::CoapMessage Empty;
  Empty.Type = Type;
  Empty.MessageId = MessageId;
  send(Caller, encode(Empty), Out);
}

CallerLayer::Flow &CallerLayer::touchFlow(base::SocketAddress Caller,
                                          base::Now Now) {
  FlowEnds.set(Caller, Now.Monotonic + ExchangeLifetime);
  return Flows[Caller];
}

uint16_t CallerLayer::allocateMessageId(base::SocketAddress Caller,
                                        base::Epoch Epoch, base::Now Now) {
  Flow &Entry = touchFlow(Caller, Now);
  uint16_t Id = 0;
  do {
    Entry.LastTimeSlot = std::max(Entry.LastTimeSlot + 1,
                                  Now.Wall.Milliseconds / TimeSlotMilliseconds);
    Id = static_cast<uint16_t>(
        (Epoch << EpochShift) |
        static_cast<uint64_t>(Entry.LastTimeSlot & TimeSlotMask));
  } while (OutgoingByMessage.contains({Caller, Id}));
  return Id;
}

CallerEvent CallerLayer::receive(const messages::Forward &Packet,
                                 const coap::CoapMessage &Message,
                                 base::Now Now, Sink &Out) {
  touchFlow(Packet.Caller, Now).Ingress = Packet.Ingress;
  if (coap::isRequest(Message.MessageCode))
    return receiveRequest(Packet, Message, Now, Out);
  if (auto Event = receiveLate(Packet, Message))
    return *Event;
  // CoAP ping, or a response to no request of this agent.
  if (Message.Type == coap::MessageType::Confirmable)
    sendEmpty(Packet.Caller, coap::MessageType::Reset, Message.MessageId, Out);
  return {};
}

std::optional<CallerEvent>
CallerLayer::receiveLate(const messages::Forward &Packet,
                         const coap::CoapMessage &Message) {
  const bool Reset = Message.Type == coap::MessageType::Reset;
  if (!Reset && Message.Type != coap::MessageType::Acknowledgement)
    return std::nullopt;
  const ExchangeKey Key{Packet.Caller, Message.MessageId};
  if (const OutgoingId Id = takeOutgoing(Packet.Caller, Message.MessageId))
    return CallerEvent{Reset ? CallerEvent::Kind::Rejected
                             : CallerEvent::Kind::Delivered,
                       {},
                       Id,
                       {}};
  const auto Found = Exchanges.find(Key);
  if (!Reset || Found == Exchanges.end() ||
      Found->second.State == Phase::Answered)
    return std::nullopt;
  close(Key);
  return CallerEvent{CallerEvent::Kind::Cancelled, Key, 0, {}};
}

CallerEvent CallerLayer::receiveRequest(const messages::Forward &Packet,
                                        const coap::CoapMessage &Message,
                                        base::Now Now, Sink &Out) {
  // RFC 7252 forbids requests in acknowledgments and resets; ignore them.
  if (Message.Type != coap::MessageType::Confirmable &&
      Message.Type != coap::MessageType::NonConfirmable)
    return {};
  const ExchangeKey Key{Packet.Caller, Message.MessageId};
  const auto [Found, New] = Exchanges.try_emplace(Key);
  Exchange &Entry = Found->second;
  if (!New) {
    Count(Counter::Duplicate);
    if (!Entry.CachedReply.empty())
      send(Key.Caller, Entry.CachedReply, Out);
    return {};
  }
  Entry.Type = Message.Type;
  Entry.Token = Message.Token;
  ++Unanswered;
  ExchangeEnds.set(Key, Now.Monotonic + ExchangeLifetime);
  if (Entry.Type == coap::MessageType::Confirmable)
    AckTimes.set(Key, Now.Monotonic + AckDelay);
  return {CallerEvent::Kind::Request, Key, 0, Message};
}

void CallerLayer::respond(const ExchangeKey &Key, coap::CoapMessage Response,
                          base::Epoch Epoch, base::Now Now, Sink &Out) {
  const auto Found = Exchanges.find(Key);
  if (Found == Exchanges.end() || Found->second.State == Phase::Answered)
    return;
  Exchange &Entry = Found->second;
  const Phase Before = Entry.State;
  close(Key);
  Response.Token = Entry.Token;
  if (Before == Phase::Acknowledged) {
    sendConfirmable(Key.Caller, std::move(Response), Epoch, Now, Out);
    return;
  }
  if (Entry.Type == coap::MessageType::Confirmable) {
    Response.Type = coap::MessageType::Acknowledgement;
    Response.MessageId = Key.MessageId;
  } else {
    Response.Type = coap::MessageType::NonConfirmable;
    Response.MessageId = allocateMessageId(Key.Caller, Epoch, Now);
  }
  Entry.CachedReply = encode(Response);
  send(Key.Caller, Entry.CachedReply, Out);
}

void CallerLayer::acknowledge(const ExchangeKey &Key, Sink &Out) {
  const auto Found = Exchanges.find(Key);
  if (Found == Exchanges.end() || Found->second.State != Phase::Open ||
      Found->second.Type != coap::MessageType::Confirmable)
    return;
  coap::CoapMessage Empty;
  Empty.Type = coap::MessageType::Acknowledgement;
  Empty.MessageId = Key.MessageId;
  Found->second.State = Phase::Acknowledged;
  Found->second.CachedReply = encode(Empty);
  AckTimes.clear(Key);
  send(Key.Caller, Found->second.CachedReply, Out);
}

void CallerLayer::close(const ExchangeKey &Key) {
  const auto Found = Exchanges.find(Key);
  if (Found == Exchanges.end() || Found->second.State == Phase::Answered)
    return;
  Found->second.State = Phase::Answered;
  AckTimes.clear(Key);
  --Unanswered;
}

OutgoingId CallerLayer::sendConfirmable(base::SocketAddress Caller,
                                        coap::CoapMessage Message,
                                        base::Epoch Epoch, base::Now Now,
                                        Sink &Out, uint8_t Rounds) {
  const uint16_t MessageId = allocateMessageId(Caller, Epoch, Now);
  return resumeConfirmable(Caller, std::move(Message), MessageId, Now, Out,
                           Rounds);
}

OutgoingId CallerLayer::resumeConfirmable(base::SocketAddress Caller,
                                          coap::CoapMessage Message,
                                          uint16_t MessageId, base::Now Now,
                                          Sink &Out, uint8_t Rounds) {
  Message.Type = coap::MessageType::Confirmable;
  Message.MessageId = MessageId;
  const OutgoingId Id = ++LastOutgoing;
  OutgoingMessage &Entry = Outgoing[Id];
  Entry = {Caller, Message.MessageId, encode(Message),
           startRetransmission(AckTimeout, Random), Rounds};
  OutgoingByMessage[{Caller, Message.MessageId}] = Id;
  RetransmitTimes.set(Id, Now.Monotonic + Entry.Timing.Timeout);
  send(Caller, Entry.Datagram, Out);
  return Id;
}

void CallerLayer::abandon(OutgoingId Id) {
  const auto Found = Outgoing.find(Id);
  if (Found == Outgoing.end())
    return;
  OutgoingByMessage.erase({Found->second.Caller, Found->second.MessageId});
  RetransmitTimes.clear(Id);
  Outgoing.erase(Found);
}

OutgoingId CallerLayer::takeOutgoing(base::SocketAddress Caller,
                                     uint16_t MessageId) {
  const auto Found = OutgoingByMessage.find({Caller, MessageId});
  if (Found == OutgoingByMessage.end())
    return 0;
  const OutgoingId Id = Found->second;
  abandon(Id);
  return Id;
}

void CallerLayer::retransmit(OutgoingId Id, base::Now Now, Sink &Out,
                             std::vector<CallerEvent> &Events) {
  OutgoingMessage &Entry = Outgoing.at(Id);
  const bool RoundOver = Entry.Timing.Sent >= MaxRetransmit;
  if (RoundOver && --Entry.Rounds == 0) {
    abandon(Id);
    Events.push_back({CallerEvent::Kind::Undelivered, {}, Id, {}});
    return;
  }
  if (RoundOver) {
    Entry.Timing = startRetransmission(AckTimeout, Random);
  } else {
    ++Entry.Timing.Sent;
    Entry.Timing.Timeout *= 2;
  }
  RetransmitTimes.set(Id, Now.Monotonic + Entry.Timing.Timeout);
  FlowEnds.set(Entry.Caller, Now.Monotonic + ExchangeLifetime);
  send(Entry.Caller, Entry.Datagram, Out);
}

void CallerLayer::expireExchange(const ExchangeKey &Key) {
  close(Key);
  Exchanges.erase(Key);
}

void CallerLayer::admit(base::SocketAddress Caller) {
  const auto Found = Flows.find(Caller);
  if (Found == Flows.end() || Found->second.Admitted)
    return;
  Found->second.Admitted = true;
  ++AdmittedFlows;
}

void CallerLayer::expireFlow(base::SocketAddress Caller) {
  if (isAdmitted(Caller))
    --AdmittedFlows;
  Flows.erase(Caller);
}

void CallerLayer::tick(base::Now Now, Sink &Out,
                       std::vector<CallerEvent> &Events) {
  while (const auto Key = AckTimes.popDue(Now.Monotonic))
    acknowledge(*Key, Out);
  while (const auto Id = RetransmitTimes.popDue(Now.Monotonic))
    retransmit(*Id, Now, Out, Events);
  while (const auto Key = ExchangeEnds.popDue(Now.Monotonic))
    expireExchange(*Key);
  while (const auto Caller = FlowEnds.popDue(Now.Monotonic))
    expireFlow(*Caller);
}

base::TimePoint CallerLayer::nextDeadline() const {
  return std::min({AckTimes.next(), RetransmitTimes.next(), ExchangeEnds.next(),
                   FlowEnds.next()});
}

} // namespace burdockstream::requests
