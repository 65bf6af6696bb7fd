#include "ServiceSimulation.h"

namespace burdockstream::requests {

CoapMessage SimulatedCaller::newRequest(Code Method, std::string_view Path) {
  CoapMessage Message;
  Message.MessageCode = Method;
  Message.MessageId = NextId;
  Message.Token = {static_cast<uint8_t>(Number),
                   static_cast<uint8_t>(NextId >> 8),
                   static_cast<uint8_t>(NextId)};
  ++NextId;
  Message.Path = coap::splitPath(Path);
  return Message;
}

void SimulatedCaller::get() {
  const std::string Path =
      "/short/item-" + std::to_string(Number) + "-" + std::to_string(NextId);
  issue({newRequest(Code::Get, Path), "", false, {}});
}

void SimulatedCaller::post() {
  const std::string RequestId =
      std::to_string(Number) + "-" + std::to_string(NextId);
  CoapMessage Message = newRequest(Code::Post, "/short");
  const int64_t Wall = Owner.Now.Wall.Milliseconds;
  const auto Limit = static_cast<int64_t>(500 + Owner.below(20000));
  Message.Query = {"rid=" + RequestId, "iat=" + std::to_string(Wall),
                   "dl=" + std::to_string(Wall + Limit)};
  issue({Message, RequestId, false, {}});
}

void SimulatedCaller::subscribe() {
  CoapMessage Message = newRequest(Code::Get, "/board");
  Message.Observe = 0;
  ObserveToken = Message.Token;
  issue({Message, "", false, {}});
}

void SimulatedCaller::issue(CallerRequest Request) {
  const Bytes Token = Request.Message.Token;
  Requests[Token] = std::move(Request);
  transmit(Token, 5, 2s);
}

void SimulatedCaller::transmit(const Bytes &Token, int Copies,
                               base::Duration Timeout) {
  const CallerRequest &Request = Requests[Token];
  if (Request.Acknowledged || !Request.Answers.empty() || Copies == 0)
    return;
  Owner.sendToAgent(Number, coap::serializeMessage(Request.Message).value());
  Owner.schedule(Timeout, [this, Token, Copies, Timeout] {
    transmit(Token, Copies - 1, Timeout * 2);
  });
}

void SimulatedCaller::receive(const Bytes &Datagram) {
  const CoapMessage Message = coap::parseMessage(Datagram).value();
  if (Message.MessageCode == Code::Empty) {
    for (auto &[Token, Request] : Requests)
      if (Request.Message.MessageId == Message.MessageId)
        Request.Acknowledged = true;
    return;
  }
  if (Message.Type == MessageType::Confirmable) {
    CoapMessage Ack;
    Ack.Type = MessageType::Acknowledgement;
    Ack.MessageId = Message.MessageId;
    Owner.sendToAgent(Number, coap::serializeMessage(Ack).value());
    const auto [Seen, New] =
        SeenIds.try_emplace(Message.MessageId, Owner.Now.Monotonic);
    if (!New && Owner.Now.Monotonic - Seen->second < 247s)
      return; // a copy
    Seen->second = Owner.Now.Monotonic;
  }
  const auto Found = Requests.find(Message.Token);
  if (Found == Requests.end()) {
    Requests[Message.Token].Answers.push_back("foreign token");
    return;
  }
  if (Message.Token == ObserveToken && Message.Observe) {
    Found->second.Acknowledged = true;
    Updates.push_back(*Message.Observe);
    return;
  }
  // Copies of a piggybacked response carry the request's message id and are
  // recognized by their content.
  const std::string Answer =
      coap::toString(Message.MessageCode) + " " + text(Message);
  auto &Answers = Found->second.Answers;
  if (std::ranges::find(Answers, Answer) == Answers.end())
    Answers.push_back(Answer);
}

} // namespace burdockstream::requests
