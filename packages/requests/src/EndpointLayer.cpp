#include "EndpointLayer.h"

#include <glog/logging.h>

#include <algorithm>
#include <array>

namespace burdockstream::requests {

namespace {

constexpr base::Duration PingInterval = std::chrono::seconds(1);

// Number of tokens of completed exchanges that are kept, so that a repeated
// separate response is acknowledged instead of rejected.
constexpr size_t MaxClosedTokens = 1024;

messages::Bytes generateToken(base::RandomSource &Random) {
  messages::Bytes Token(8);
  uint64_t Value = Random();
  for (uint8_t &Byte : Token) {
    Byte = static_cast<uint8_t>(Value);
    Value >>= 8;
  }
  return Token;
}

} // namespace

EndpointLayer::EndpointLayer(const Settings &InitSettings,
                             base::RandomSource &InitRandom,
                             std::function<void(Counter)> InitCount)
    : Config(InitSettings), Random(InitRandom), Count(std::move(InitCount)),
      NextMessageId(static_cast<uint16_t>(InitRandom())) {}

EndpointExchange EndpointLayer::open(coap::CoapMessage Request,
                                     ExchangeKind Kind, base::Now Now,
                                     Sink &Out) {
  const EndpointExchange Id = ++LastExchange;
  Exchange &Entry = Exchanges[Id];
  Entry.Kind = Kind;
  Entry.Token = generateToken(Random);
  ByToken[Entry.Token] = Id;
  transmit(Id, std::move(Request), Now, Out);
  return Id;
}

void EndpointLayer::reopen(EndpointExchange Id, coap::CoapMessage Request,
                           base::Now Now, Sink &Out) {
  CHECK(Exchanges.contains(Id)) << "exchange " << Id << " is not open";
  ByMessageId.erase(Exchanges[Id].MessageId);
  transmit(Id, std::move(Request), Now, Out);
}

void EndpointLayer::transmit(EndpointExchange Id, coap::CoapMessage Request,
                             base::Now Now, Sink &Out) {
  Exchange &Entry = Exchanges[Id];
  while (ByMessageId.contains(NextMessageId))
    ++NextMessageId;
  Request.Type = coap::MessageType::Confirmable;
  Request.MessageId = Entry.MessageId = NextMessageId++;
  Request.Token = Entry.Token;
  auto Datagram = coap::serializeMessage(Request);
  CHECK(Datagram.has_value())
      << "cannot serialize request to endpoint: " << Datagram.error().Message;
  Entry.Datagram = std::move(Datagram.value());
  Entry.Timing = startRetransmission(Config.EndpointAckTimeout, Random);
  Entry.ReceivedBeforeSend = DatagramsReceived;
  Entry.Acknowledged = false;
  ByMessageId[Entry.MessageId] = Id;
  RetransmitTimes.set(Id, Now.Monotonic + Entry.Timing.Timeout);
  Out.emplace_back(SendToEndpoint{Entry.Datagram});
}

void EndpointLayer::sendEmpty(coap::MessageType Type, uint16_t MessageId,
                              Sink &Out) {
  coap::CoapMessage Empty;
  Empty.Type = Type;
  Empty.MessageId = MessageId;
  Out.emplace_back(SendToEndpoint{coap::serializeMessage(Empty).value()});
}

void EndpointLayer::close(EndpointExchange Id) {
  const auto Found = Exchanges.find(Id);
  if (Found == Exchanges.end())
    return;
  ByToken.erase(Found->second.Token);
  ByMessageId.erase(Found->second.MessageId);
  RetransmitTimes.clear(Id);
  Exchanges.erase(Found);
}

void EndpointLayer::cancel(EndpointExchange Id, Sink &Out) {
  const auto Found = Exchanges.find(Id);
  if (Found == Exchanges.end())
    return;
  sendEmpty(coap::MessageType::Reset, Found->second.MessageId, Out);
  close(Id);
}

void EndpointLayer::recordClosedToken(const messages::Bytes &Token) {
  ClosedTokens.insert(Token);
  ClosedOrder.push_back(Token);
  if (ClosedOrder.size() <= MaxClosedTokens)
    return;
  ClosedTokens.erase(ClosedOrder.front());
  ClosedOrder.pop_front();
}

void EndpointLayer::markAcknowledged(EndpointExchange Id) {
  Exchanges[Id].Acknowledged = true;
  RetransmitTimes.clear(Id);
}

std::vector<EndpointEvent>
EndpointLayer::receive(std::span<const uint8_t> Datagram, Sink &Out) {
  const auto Parsed = coap::parseMessage(Datagram);
  if (Parsed.has_error()) {
    Count(Counter::EndpointMalformed);
    return {};
  }
  ++DatagramsReceived;
  Alive = true;
  PingAt = base::Never;
  const coap::CoapMessage &Message = Parsed.value();
  const bool IsReply = Message.Type == coap::MessageType::Acknowledgement ||
                       Message.Type == coap::MessageType::Reset;
  const auto Found = ByMessageId.find(Message.MessageId);
  if (IsReply && Found != ByMessageId.end()) {
    const EndpointExchange Id = Found->second;
    if (Message.Type == coap::MessageType::Reset) {
      close(Id);
      return {{EndpointEvent::Kind::Reset, Id, {}, true}};
    }
    markAcknowledged(Id);
  }
  if (!coap::isResponse(Message.MessageCode))
    return {};
  return receiveResponse(Message, Out);
}

std::vector<EndpointEvent>
EndpointLayer::receiveResponse(const coap::CoapMessage &Message, Sink &Out) {
  const auto Found = ByToken.find(Message.Token);
  const bool Known =
      Found != ByToken.end() || ClosedTokens.contains(Message.Token);
  if (Message.Type == coap::MessageType::Confirmable)
    sendEmpty(Known ? coap::MessageType::Acknowledgement
                    : coap::MessageType::Reset,
              Message.MessageId, Out);
  else if (!Known && Message.Type == coap::MessageType::NonConfirmable)
    sendEmpty(coap::MessageType::Reset, Message.MessageId, Out);
  if (Found == ByToken.end())
    return {};
  const EndpointExchange Id = Found->second;
  const bool RequestAcknowledged = Exchanges[Id].Acknowledged;
  if (Exchanges[Id].Kind != ExchangeKind::Observation) {
    recordClosedToken(Message.Token);
    close(Id);
  }
  return {{EndpointEvent::Kind::Response, Id, Message, RequestAcknowledged}};
}

std::vector<EndpointEvent> EndpointLayer::tick(base::Now Now, Sink &Out) {
  std::vector<EndpointEvent> Events;
  while (const auto Id = RetransmitTimes.popDue(Now.Monotonic)) {
    Exchange &Entry = Exchanges.at(*Id);
    if (Entry.Timing.Sent >= Config.EndpointRetries) {
      Events.push_back({EndpointEvent::Kind::NoAck, *Id, {}, false});
      continue;
    }
    ++Entry.Timing.Sent;
    Entry.Timing.Timeout *= 2;
    RetransmitTimes.set(*Id, Now.Monotonic + Entry.Timing.Timeout);
    if (Entry.Kind != ExchangeKind::NonIdempotent)
      Out.emplace_back(SendToEndpoint{Entry.Datagram});
  }
  if (PingAt <= Now.Monotonic) {
    sendEmpty(coap::MessageType::Confirmable, NextMessageId++, Out);
    PingAt = Now.Monotonic + PingInterval;
  }
  return Events;
}

base::TimePoint EndpointLayer::nextDeadline() const {
  return std::min(RetransmitTimes.next(), PingAt);
}

void EndpointLayer::markDead(base::Now Now) {
  Alive = false;
  PingAt = Now.Monotonic;
}

bool EndpointLayer::receivedSince(EndpointExchange Id) const {
  const auto Found = Exchanges.find(Id);
  return Found == Exchanges.end() ||
         DatagramsReceived > Found->second.ReceivedBeforeSend;
}

} // namespace burdockstream::requests
