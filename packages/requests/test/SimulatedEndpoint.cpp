#include "ServiceSimulation.h"

namespace burdockstream::requests {

void SimulatedEndpoint::send(const CoapMessage &Message) {
  Owner.endpointSends(Index, coap::serializeMessage(Message).value());
}

void SimulatedEndpoint::sendConfirmable(CoapMessage Message, int Copies) {
  if (Copies == 5) {
    Message.Type = MessageType::Confirmable;
    Message.MessageId = NextId++;
    Unacknowledged.insert(Message.MessageId);
  }
  send(Message);
  Owner.schedule(1s, [this, Message, Copies, Before = Generation] {
    if (Before == Generation && Copies > 1 &&
        Unacknowledged.contains(Message.MessageId))
      sendConfirmable(Message, Copies - 1);
  });
}

void SimulatedEndpoint::receive(const Bytes &Datagram) {
  const CoapMessage Message = coap::parseMessage(Datagram).value();
  if (Down)
    return;
  if (coap::isRequest(Message.MessageCode)) {
    onRequest(Message);
    return;
  }
  if (Message.Type == MessageType::Confirmable) { // ping
    CoapMessage Pong;
    Pong.Type = MessageType::Reset;
    Pong.MessageId = Message.MessageId;
    send(Pong);
    return;
  }
  Unacknowledged.erase(Message.MessageId);
  const bool Reset = Message.Type == MessageType::Reset;
  for (auto Entry = Observers.begin(); Entry != Observers.end(); ++Entry) {
    if (Entry->second.InFlight != Message.MessageId)
      continue;
    Entry->second.InFlight = 0;
    ++Entry->second.Next;
    if (Reset)
      Observers.erase(Entry);
    else
      sendNext(Bytes(Entry->first));
    return;
  }
}

void SimulatedEndpoint::onRequest(const CoapMessage &Request) {
  const auto [Found, New] = Seen.try_emplace(Request.MessageId);
  if (!New) {
    if (Found->second.MessageId != 0)
      send(Found->second);
    return;
  }
  if (Request.Observe == 0U)
    observe(Request);
  else
    run(Request);
}

void SimulatedEndpoint::observe(const CoapMessage &Request) {
  const auto Since = coap::queryValue(Request, "since");
  Observer &Entry = Observers[Request.Token];
  Entry.Next = Since ? static_cast<uint32_t>(std::stoul(*Since)) + 1
                     : Owner.LatestUpdate;
  Entry.InFlight = 0;
  CoapMessage Response;
  Response.MessageCode = Code::Valid;
  Response.Observe = Owner.LatestUpdate;
  if (Entry.Next <= Owner.LatestUpdate) {
    Response.MessageCode = Code::Content;
    Response.Observe = Entry.Next++;
    Response.Payload = bytes("update");
  }
  complete(Request, Response, false);
  sendNext(Request.Token);
}

void SimulatedEndpoint::sendNext(const Bytes &Token) {
  Observer &Entry = Observers[Token];
  if (Entry.InFlight != 0 || Entry.Next > Owner.LatestUpdate)
    return;
  CoapMessage Update;
  Update.MessageCode = Code::Content;
  Update.Token = Token;
  Update.Observe = Entry.Next;
  Update.Payload = bytes("update");
  Entry.InFlight = NextId;
  sendConfirmable(Update);
}

void SimulatedEndpoint::publish() {
  for (const auto &[Token, Entry] : Observers)
    sendNext(Token);
}

void SimulatedEndpoint::run(const CoapMessage &Request) {
  CoapMessage Response;
  const bool Late = Request.NotAfter && *Request.NotAfter < Owner.Now.Wall;
  if (Late || Owner.chance(Owner.Options.ShedPercent)) {
    Response.MessageCode = Code::ServiceUnavailable;
    Response.Payload = bytes("shed");
    complete(Request, Response, false);
    return;
  }
  Response.MessageCode = Code::Content;
  Response.Payload = bytes(coap::joinPath(Request.Path));
  if (const auto RequestId = coap::queryValue(Request, "rid")) {
    Owner.ExecutedRequestIds.insert(*RequestId);
    Response.MessageCode = Code::Changed;
    Response.Payload = bytes(*RequestId);
  }
  const base::Duration Time(1000LL * (1 + Owner.below(900)));
  const bool Separate = Time > 300ms;
  if (Separate) {
    CoapMessage Ack;
    Ack.Type = MessageType::Acknowledgement;
    Ack.MessageId = Request.MessageId;
    Seen[Request.MessageId] = Ack;
    send(Ack);
  }
  Owner.schedule(Time,
                 [this, Request, Response, Separate, Before = Generation] {
                   if (Before == Generation)
                     complete(Request, Response, Separate);
                 });
}

void SimulatedEndpoint::complete(const CoapMessage &Request,
                                 CoapMessage Response, bool Separate) {
  Response.Token = Request.Token;
  if (Separate) {
    sendConfirmable(Response);
    return;
  }
  Response.Type = MessageType::Acknowledgement;
  Response.MessageId = Request.MessageId;
  Seen[Request.MessageId] = Response;
  send(Response);
}

void SimulatedEndpoint::restart(base::Duration DownTime) {
  ++Generation;
  Down = true;
  Seen.clear();
  Unacknowledged.clear();
  Observers.clear();
  Owner.schedule(DownTime, [this, Before = Generation] {
    if (Before == Generation)
      Down = false;
  });
}

} // namespace burdockstream::requests
