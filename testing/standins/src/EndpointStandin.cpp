#include "burdockstream/standins/EndpointStandin.h"

#include "burdockstream/base/Hash.h"
#include "burdockstream/standins/ExpectedBodies.h"

#include <algorithm>
#include <charconv>
#include <glog/logging.h>

namespace burdockstream::standins {

namespace {

coap::CoapMessage makeResponse(coap::Code Code, std::string_view Body) {
  coap::CoapMessage Response;
  Response.MessageCode = Code;
  Response.Payload.assign(Body.begin(), Body.end());
  return Response;
}

std::optional<uint32_t> sinceParameter(const coap::CoapMessage &Request) {
  const auto Text = coap::queryValue(Request, "since");
  uint32_t Number = 0;
  if (!Text ||
      std::from_chars(Text->data(), Text->data() + Text->size(), Number).ec !=
          std::errc())
    return std::nullopt;
  return Number;
}

// Reduces the body of Response to the block that Request asks for.
void selectBlock(const coap::CoapMessage &Request,
                 coap::CoapMessage &Response) {
  if (!Request.Block2 || Response.MessageCode != coap::Code::Content)
    return;
  const size_t Size = size_t{1} << (Request.Block2->SizeExponent + 4);
  const size_t Begin = Size * Request.Block2->Number;
  coap::Bytes &Body = Response.Payload;
  const uint64_t Hash = base::hashBytes(
      {reinterpret_cast<const char *>(Body.data()), Body.size()}, 0);
  for (int Shift = 0; Shift < 32; Shift += 8)
    Response.ETag.push_back(static_cast<uint8_t>(Hash >> Shift));
  if (Begin > 0 && Begin >= Body.size()) {
    Response = makeResponse(coap::Code::BadOption, "block out of range");
    return;
  }
  const size_t End = std::min(Begin + Size, Body.size());
  Response.Block2 = coap::Block{Request.Block2->Number, End < Body.size(),
                                Request.Block2->SizeExponent};
  Body = coap::Bytes(Body.data() + Begin, Body.data() + End);
}

} // namespace

base::Result<std::unique_ptr<EndpointStandin>>
EndpointStandin::open(GMainContext *Context, const EndpointOptions &Options) {
  auto Socket = network::UdpSocket::open(
      Options.Listen, {.DatagramBytes = network::EndpointDatagramBytes,
                       .SendQueueLength = 256});
  if (!Socket)
    return Socket.error();
  std::unique_ptr<EndpointStandin> Endpoint(
      new EndpointStandin(Context, Options));
  EndpointStandin *Raw = Endpoint.get();
  Endpoint->Socket = std::move(Socket.value());
  Endpoint->Socket->attach(
      Context, [Raw](std::span<uint8_t> Datagram, base::SocketAddress From) {
        Raw->receive(Datagram, From);
      });
  return Endpoint;
}

EndpointStandin::EndpointStandin(GMainContext *Context,
                                 const EndpointOptions &InitOptions)
    : Options(InitOptions), Timers(Context), Random(Options.Seed),
      Sender(Timers, Random, Options.Retransmit,
             [this](const coap::Bytes &Datagram, base::SocketAddress To) {
               transmit(Datagram, To);
             }),
      Boards(Options.Service, Sender), Executor(Timers, Options.Jobs) {}

EndpointStandin::ExchangeKey EndpointStandin::keyOf(base::SocketAddress Peer,
                                                    uint16_t MessageId) {
  return base::packAddress(Peer) << 16 | MessageId;
}

void EndpointStandin::transmit(const coap::Bytes &Datagram,
                               base::SocketAddress To) {
  Socket->send(Datagram, To);
}

void EndpointStandin::receive(std::span<const uint8_t> Datagram,
                              base::SocketAddress From) {
  auto Parsed = coap::parseMessage(Datagram);
  if (!Parsed) {
    ++Counters.Malformed;
    return;
  }
  const coap::CoapMessage &Message = Parsed.value();
  if (Message.Type == coap::MessageType::Acknowledgement ||
      Message.Type == coap::MessageType::Reset)
    receiveEmpty(Message, From);
  else if (Message.MessageCode == coap::Code::Empty)
    replyToPing(Message, From);
  else if (coap::isRequest(Message.MessageCode))
    receiveRequest(std::move(Parsed.value()), From);
  else
    ++Counters.Malformed;
}

// RFC 7252, section 4.3: an empty confirmable message is answered by a Reset.
void EndpointStandin::replyToPing(const coap::CoapMessage &Ping,
                                  base::SocketAddress From) {
  coap::CoapMessage Pong;
  Pong.Type = coap::MessageType::Reset;
  Pong.MessageId = Ping.MessageId;
  transmit(coap::serializeMessage(Pong).value(), From);
}

// A Reset refers either to a message sent by this endpoint or, as a
// cancellation, to a request of the peer.
void EndpointStandin::receiveEmpty(const coap::CoapMessage &Message,
                                   base::SocketAddress From) {
  const bool IsReset = Message.Type == coap::MessageType::Reset;
  if (Sender.complete(From, Message.MessageId,
                      IsReset ? DeliveryResult::Rejected
                              : DeliveryResult::Acknowledged) ||
      !IsReset)
    return;
  const auto Found = Exchanges.find(keyOf(From, Message.MessageId));
  if (Found == Exchanges.end() || Found->second.Answered)
    return;
  ++Counters.Cancelled;
  Executor.cancel(Found->second.ActiveJob);
}

void EndpointStandin::evictExpiredExchanges() {
  const base::TimePoint Now = monotonicNow();
  while (!ExchangeExpiry.empty() && ExchangeExpiry.front().first < Now) {
    Exchanges.erase(ExchangeExpiry.front().second);
    ExchangeExpiry.pop_front();
  }
}

void EndpointStandin::receiveRequest(coap::CoapMessage Request,
                                     base::SocketAddress From) {
  evictExpiredExchanges();
  const ExchangeKey Key = keyOf(From, Request.MessageId);
  const auto [Position, IsNew] = Exchanges.try_emplace(Key);
  if (!IsNew) {
    ++Counters.Duplicates;
    if (!Position->second.LastReply.empty())
      transmit(Position->second.LastReply, From);
    return;
  }
  ++Counters.Requests;
  ExchangeExpiry.emplace_back(monotonicNow() + Options.ExchangeLifetime, Key);
  const bool Confirmable = Request.Type == coap::MessageType::Confirmable;
  Position->second.Request = std::move(Request);
  if (Confirmable)
    Position->second.AckTimer = Timers.after(
        Options.AckDelay, [this, Key, From] { acknowledge(Key, From); });
  dispatch(Key, From);
}

void EndpointStandin::dispatch(ExchangeKey Key, base::SocketAddress Peer) {
  const coap::CoapMessage Request = Exchanges.at(Key).Request;
  if (handleWithoutSlot(Key, Peer, Request))
    return;
  Job Item{coap::queryValue(Request, "rid").value_or(""),
           coap::joinPath(Request.Path),
           static_cast<uint8_t>(Request.MessageCode), Request.NotAfter};
  const auto Id =
      Executor.submit(std::move(Item), [this, Key, Peer](JobResult Outcome) {
        finishJob(Key, Peer, Outcome);
      });
  Exchanges.at(Key).ActiveJob = Id;
}

bool EndpointStandin::handleWithoutSlot(ExchangeKey Key,
                                        base::SocketAddress Peer,
                                        const coap::CoapMessage &Request) {
  if (const auto Option = coap::unsupportedCriticalOption(Request)) {
    respond(Key, Peer,
            makeResponse(coap::Code::BadOption,
                         "unsupported option " + std::to_string(*Option)));
    return true;
  }
  if (Request.MessageCode != coap::Code::Get || Request.Path.empty())
    return false;
  if (Request.Path[0] == "load") {
    respond(Key, Peer, makeResponse(coap::Code::Content, loadReport()));
    return true;
  }
  if (Request.Path[0] == "missing") {
    respond(Key, Peer, makeResponse(coap::Code::NotFound, "no such resource"));
    return true;
  }
  if (Request.Path[0] != "board" || Request.Path.size() != 2)
    return false;
  observeBoard(Key, Peer, Request);
  return true;
}

void EndpointStandin::observeBoard(ExchangeKey Key, base::SocketAddress Peer,
                                   const coap::CoapMessage &Request) {
  const ObserverKey Observer{Peer, Request.Token};
  const std::string &Board = Request.Path[1];
  const bool Registers = Request.Observe && *Request.Observe == 0;
  if (Request.Observe && !Registers)
    Boards.stop(Observer);
  const uint32_t Number =
      Registers ? Boards.observe(Observer, Board, sinceParameter(Request))
                : Boards.latest(Board);
  coap::CoapMessage Response = makeResponse(
      coap::Code::Content, boardBody(Options.Service, Board, Number));
  if (Registers)
    Response.Observe = Number;
  respond(Key, Peer, std::move(Response));
  if (Registers)
    Boards.resume(Observer);
}

coap::CoapMessage
EndpointStandin::jobResponse(const coap::CoapMessage &Request) const {
  const std::string Path = coap::joinPath(Request.Path);
  if (Request.MessageCode != coap::Code::Get) {
    const auto Code = Request.MessageCode == coap::Code::Post
                          ? coap::Code::Created
                          : coap::Code::Changed;
    return makeResponse(Code,
                        runBody(Options.Service, Path,
                                coap::queryValue(Request, "rid").value_or("")));
  }
  if (Request.Path.size() == 2 && Request.Path[0] == "sheet")
    return makeResponse(coap::Code::Content,
                        sheetBody(Options.Service, Request.Path[1],
                                  sheetSize(Request.Path[1], Request.Query)));
  return makeResponse(coap::Code::Content,
                      echoBody(Options.Service, Path, Request.Query));
}

void EndpointStandin::finishJob(ExchangeKey Key, base::SocketAddress Peer,
                                JobResult Outcome) {
  const auto Found = Exchanges.find(Key);
  if (Found == Exchanges.end())
    return;
  switch (Outcome) {
  case JobResult::Completed: {
    coap::CoapMessage Response = jobResponse(Found->second.Request);
    selectBlock(Found->second.Request, Response);
    respond(Key, Peer, std::move(Response));
    return;
  }
  case JobResult::Shed:
    respond(Key, Peer, makeResponse(coap::Code::ServiceUnavailable, "shed"));
    return;
  case JobResult::Expired:
    respond(Key, Peer, makeResponse(coap::Code::ServiceUnavailable, "late"));
    return;
  case JobResult::Cancelled:
    Found->second.Answered = true;
    Timers.cancel(Found->second.AckTimer);
    return;
  }
}

// Sends an empty acknowledgment because the response is not ready in time.
void EndpointStandin::acknowledge(ExchangeKey Key, base::SocketAddress Peer) {
  const auto Found = Exchanges.find(Key);
  if (Found == Exchanges.end() || Found->second.Answered)
    return;
  coap::CoapMessage Ack;
  Ack.Type = coap::MessageType::Acknowledgement;
  Ack.MessageId = Found->second.Request.MessageId;
  Found->second.AckSent = true;
  Found->second.LastReply = coap::serializeMessage(Ack).value();
  transmit(Found->second.LastReply, Peer);
}

void EndpointStandin::respond(ExchangeKey Key, base::SocketAddress Peer,
                              coap::CoapMessage Response) {
  Exchange &Current = Exchanges.at(Key);
  Current.Answered = true;
  Timers.cancel(Current.AckTimer);
  Response.Token = Current.Request.Token;
  const bool Confirmable =
      Current.Request.Type == coap::MessageType::Confirmable;
  const uint16_t RequestId = Current.Request.MessageId;
  Current.Request = {}; // duplicates need only the reply
  if (Confirmable && Current.AckSent) {
    Sender.send(std::move(Response), Peer, [this](DeliveryResult Outcome) {
      Counters.ResponsesLost += Outcome == DeliveryResult::TimedOut ? 1 : 0;
    });
    return;
  }
  Response.Type = Confirmable ? coap::MessageType::Acknowledgement
                              : coap::MessageType::NonConfirmable;
  Response.MessageId = Confirmable ? RequestId : Sender.nextMessageId();
  auto Datagram = coap::serializeMessage(Response);
  CHECK(Datagram.has_value()) << Datagram.error().Message;
  Current.LastReply = std::move(Datagram.value());
  transmit(Current.LastReply, Peer);
}

} // namespace burdockstream::standins
