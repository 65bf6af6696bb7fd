#include "burdockstream/standins/CallerStandin.h"

#include "burdockstream/base/Hash.h"
#include "burdockstream/base/NameTable.h"

#include <glog/logging.h>

namespace burdockstream::standins {

namespace {

// EXCHANGE_LIFETIME of RFC 7252 with its default parameters.
constexpr base::Duration ExchangeLifetime = std::chrono::seconds(247);

// Limit on restarting a transfer because the body changed between blocks.
constexpr int MaxBlockRestarts = 3;

constexpr size_t TokenBytes = 8;

constexpr base::NameTable<CallOutcome, 8> OutcomeNames({{
    {CallOutcome::Correct, "correct"},
    {CallOutcome::Wrong, "wrong"},
    {CallOutcome::NotRun, "not_run"},
    {CallOutcome::Unknown, "unknown"},
    {CallOutcome::ClientError, "client_error"},
    {CallOutcome::ServerError, "server_error"},
    {CallOutcome::NoResponse, "no_response"},
    {CallOutcome::Rejected, "rejected"},
}});

std::string textOf(const coap::Bytes &Payload) {
  return {Payload.begin(), Payload.end()};
}

CallOutcome outcomeOf(const CallerRequest &Request, coap::Code Code,
                      const std::string &Body) {
  const int Class = static_cast<int>(Code) >> 5;
  if (Code == coap::Code::ServiceUnavailable && Body == "not-run")
    return CallOutcome::NotRun;
  if (Code == coap::Code::GatewayTimeout && Body == "unknown")
    return CallOutcome::Unknown;
  if (Class == 4)
    return CallOutcome::ClientError;
  if (Class == 5)
    return CallOutcome::ServerError;
  return Code == Request.ExpectedCode && Body == Request.ExpectedBody
             ? CallOutcome::Correct
             : CallOutcome::Wrong;
}

} // namespace

std::string_view toString(CallOutcome Outcome) {
  return OutcomeNames.name(Outcome);
}

base::Result<std::unique_ptr<CallerStandin>>
CallerStandin::open(GMainContext *Context, TimerQueue &Timers,
                    base::RandomSource &Random, const CallerOptions &Options) {
  auto Socket = network::UdpSocket::open(
      Options.Local, {.SendQueueLength = 64, .KernelBufferBytes = 1 << 18});
  if (!Socket)
    return Socket.error();
  std::unique_ptr<CallerStandin> Caller(
      new CallerStandin(Timers, Random, Options));
  CallerStandin *Raw = Caller.get();
  Caller->Socket = std::move(Socket.value());
  Caller->Socket->attach(
      Context, [Raw](std::span<uint8_t> Datagram, base::SocketAddress From) {
        Raw->receive(Datagram, From);
      });
  return Caller;
}

CallerStandin::CallerStandin(TimerQueue &InitTimers,
                             base::RandomSource &InitRandom,
                             const CallerOptions &InitOptions)
    : Timers(InitTimers), Random(InitRandom), Options(InitOptions),
      Sender(Timers, Random, Options.Retransmit,
             [this](const coap::Bytes &Datagram, base::SocketAddress To) {
               Socket->send(Datagram, To);
             }) {}

CallerStandin::~CallerStandin() {
  for (const auto &[Id, Current] : Calls)
    Timers.cancel(Current.ResponseTimer);
  for (const auto &[Id, Current] : Subscriptions)
    Timers.cancel(Current.Timer);
}

CallerStandin::Token CallerStandin::newToken() {
  const uint64_t Value = Random();
  Token Id;
  for (size_t I = 0; I < TokenBytes; ++I)
    Id.push_back(static_cast<uint8_t>(Value >> (8 * I)));
  return Id;
}

void CallerStandin::request(CallerRequest Request, Callback Done) {
  const Token Id = newToken();
  Call &Current = Calls[Id];
  Current.Request = std::move(Request);
  Current.Done = std::move(Done);
  Current.Start = monotonicNow();
  Current.ResponseTimer = Timers.after(Current.Request.ResponseTimeout,
                                       [this, Id] { finish(Id, {}); });
  sendCall(Id);
}

void CallerStandin::sendCall(const Token &Id) {
  Call &Current = Calls.at(Id);
  coap::CoapMessage Message;
  Message.MessageCode = Current.Request.Method;
  Message.Token = Id;
  Message.Path = coap::splitPath(Current.Request.Path);
  Message.Query = Current.Request.Query;
  if (Current.NextBlock > 0 ||
      (Options.EarlyBlock2 && Message.MessageCode == coap::Code::Get))
    Message.Block2 = coap::Block{Current.NextBlock, false, 6};
  else
    Message.Payload.assign(Current.Request.Payload.begin(),
                           Current.Request.Payload.end());
  Current.MessageId = Sender.send(
      std::move(Message), Options.Service, [this, Id](DeliveryResult Outcome) {
        CallResult Result;
        Result.Outcome = CallOutcome::Rejected;
        if (Outcome == DeliveryResult::TimedOut)
          finish(Id, {});
        else if (Outcome == DeliveryResult::Rejected)
          finish(Id, std::move(Result));
      });
}

void CallerStandin::finish(const Token &Id, CallResult Result) {
  const auto Found = Calls.find(Id);
  if (Found == Calls.end())
    return;
  const Call Finished = std::move(Found->second);
  Calls.erase(Found);
  Timers.cancel(Finished.ResponseTimer);
  Sender.cancel(Options.Service, Finished.MessageId);
  Result.Latency = monotonicNow() - Finished.Start;
  Finished.Done(Result);
}

void CallerStandin::subscribe(const std::string &ServiceName,
                              const std::string &Board) {
  const Token Id = newToken();
  Subscription &Current = Subscriptions[Id];
  Current.Board.Service = ServiceName;
  Current.Board.Board = Board;
  sendRegistration(Id);
}

void CallerStandin::sendRegistration(const Token &Id) {
  Subscription &Current = Subscriptions.at(Id);
  Current.Board.Registering = true;
  coap::CoapMessage Message;
  Message.MessageCode = coap::Code::Get;
  Message.Token = Id;
  Message.Path = {"board", Current.Board.Board};
  Message.Observe = 0;
  if (Current.Board.Last)
    Message.Query = {"since=" + std::to_string(*Current.Board.Last)};
  Current.MessageId = Sender.send(
      std::move(Message), Options.Service, [this, Id](DeliveryResult Outcome) {
        if (Outcome != DeliveryResult::Acknowledged)
          scheduleRegistration(Id, Options.RegistrationRetryDelay);
      });
  if (Options.ReregisterInterval.count() > 0)
    scheduleRegistration(Id, Options.ReregisterInterval);
}

void CallerStandin::scheduleRegistration(const Token &Id,
                                         base::Duration Delay) {
  Subscription &Current = Subscriptions.at(Id);
  Timers.cancel(Current.Timer);
  Current.Timer = Timers.after(Delay, [this, Id] {
    Sender.cancel(Options.Service, Subscriptions.at(Id).MessageId);
    sendRegistration(Id);
  });
}

void CallerStandin::receive(std::span<const uint8_t> Datagram,
                            base::SocketAddress From) {
  if (From != Options.Service) {
    ++Counters.ForeignSource;
    return;
  }
  const auto Parsed = coap::parseMessage(Datagram);
  if (!Parsed) {
    ++Counters.Malformed;
    return;
  }
  const coap::CoapMessage &Message = Parsed.value();
  switch (Message.Type) {
  case coap::MessageType::Confirmable:
    receiveConfirmable(Datagram, Message);
    return;
  case coap::MessageType::Reset:
    Sender.complete(From, Message.MessageId, DeliveryResult::Rejected);
    return;
  case coap::MessageType::Acknowledgement:
    // A duplicate acknowledgment may carry an old response; ignore it.
    if (Sender.complete(From, Message.MessageId, DeliveryResult::Acknowledged))
      break;
    ++Counters.MessageDuplicates;
    return;
  case coap::MessageType::NonConfirmable:
    break;
  }
  if (coap::isResponse(Message.MessageCode) && !dispatch(Message))
    ++Counters.Stray;
}

void CallerStandin::receiveConfirmable(std::span<const uint8_t> Datagram,
                                       const coap::CoapMessage &Message) {
  const base::TimePoint Now = monotonicNow();
  while (!ReceivedExpiry.empty() && ReceivedExpiry.front().first < Now) {
    ReceivedMessages.erase(ReceivedExpiry.front().second);
    ReceivedExpiry.pop_front();
  }
  const uint64_t Hash = base::hashBytes(
      {reinterpret_cast<const char *>(Datagram.data()), Datagram.size()}, 0);
  const auto Known = ReceivedMessages.find(Message.MessageId);
  if (Known != ReceivedMessages.end()) {
    ++(Known->second.Hash == Hash ? Counters.MessageDuplicates
                                  : Counters.MessageIdReused);
    Socket->send(Known->second.Reply, Options.Service);
    return;
  }
  const bool Expected =
      Calls.contains(Message.Token) || Subscriptions.contains(Message.Token);
  sendEmptyReply(Message, Expected, Hash);
  if (Expected)
    dispatch(Message);
  else
    ++Counters.Stray;
}

// Acknowledges a message with a known token; rejects any other by Reset.
void CallerStandin::sendEmptyReply(const coap::CoapMessage &Message, bool Known,
                                   uint64_t Hash) {
  coap::CoapMessage Empty;
  Empty.Type =
      Known ? coap::MessageType::Acknowledgement : coap::MessageType::Reset;
  Empty.MessageId = Message.MessageId;
  ReceivedMessage Entry{Hash, coap::serializeMessage(Empty).value()};
  Socket->send(Entry.Reply, Options.Service);
  ReceivedMessages.emplace(Message.MessageId, std::move(Entry));
  ReceivedExpiry.emplace_back(monotonicNow() + ExchangeLifetime,
                              Message.MessageId);
}

// Returns false if the token belongs to no request or subscription.
bool CallerStandin::dispatch(const coap::CoapMessage &Message) {
  const auto FoundSubscription = Subscriptions.find(Message.Token);
  if (FoundSubscription != Subscriptions.end()) {
    handleUpdate(FoundSubscription->first, FoundSubscription->second, Message);
    return true;
  }
  const auto FoundCall = Calls.find(Message.Token);
  if (FoundCall == Calls.end())
    return false;
  // A response implies an acknowledgment of the request.
  Sender.cancel(Options.Service, FoundCall->second.MessageId);
  const Token Id = FoundCall->first;
  handleResponse(Id, FoundCall->second, Message);
  return true;
}

void CallerStandin::handleUpdate(const Token &Id, Subscription &Current,
                                 const coap::CoapMessage &Message) {
  Sender.cancel(Options.Service, Current.MessageId);
  if (Message.MessageCode == coap::Code::Content && Message.Observe) {
    Current.Board.recordUpdate(*Message.Observe, textOf(Message.Payload));
    return;
  }
  // The subscription was refused or ended by the server. Register again after
  // the Max-Age of the response, if it has one, but not within 1 s.
  const auto Wait = Message.MaxAgeSeconds
                        ? base::Duration(std::chrono::seconds(
                              std::max(*Message.MaxAgeSeconds, 1U)))
                        : Options.RegistrationRetryDelay;
  scheduleRegistration(Id, Wait);
}

void CallerStandin::handleResponse(const Token &Id, Call &Current,
                                   const coap::CoapMessage &Message) {
  if (Message.Block2 && Message.MessageCode == coap::Code::Content) {
    handleBlock(Id, Current, Message);
    return;
  }
  CallResult Result;
  Result.Code = Message.MessageCode;
  Result.MaxAgeSeconds = Message.MaxAgeSeconds;
  Result.Body = textOf(Message.Payload);
  Result.Outcome = outcomeOf(Current.Request, Result.Code, Result.Body);
  finish(Id, std::move(Result));
}

// Appends one block. If the body has changed since the first block, the
// transfer restarts from block 0.
void CallerStandin::handleBlock(const Token &Id, Call &Current,
                                const coap::CoapMessage &Message) {
  if (Message.Block2->Number == 0)
    Current.ETag = Message.ETag;
  const bool IsExpectedBlock = Message.Block2->Number == Current.NextBlock &&
                               Message.ETag == Current.ETag;
  if (IsExpectedBlock) {
    Current.Body += textOf(Message.Payload);
    ++Current.NextBlock;
  } else {
    ++Counters.BlockRestarts;
    ++Current.Restarts;
    Current.Body.clear();
    Current.NextBlock = 0;
  }
  const bool MayRestart = Current.Restarts <= MaxBlockRestarts &&
                          Current.Request.Method == coap::Code::Get;
  if (IsExpectedBlock ? !Message.Block2->More : !MayRestart) {
    CallResult Result;
    Result.Code = Message.MessageCode;
    Result.Body = Current.Body;
    Result.Outcome = outcomeOf(Current.Request, Result.Code, Result.Body);
    finish(Id, std::move(Result));
    return;
  }
  // Each block is fetched by a separate request with a new token.
  auto Node = Calls.extract(Id);
  Node.key() = newToken();
  const Token NextId = Node.key();
  Timers.cancel(Node.mapped().ResponseTimer);
  Node.mapped().ResponseTimer =
      Timers.after(Node.mapped().Request.ResponseTimeout,
                   [this, NextId] { finish(NextId, {}); });
  Calls.insert(std::move(Node));
  sendCall(NextId);
}

std::vector<const BoardSubscription *> CallerStandin::subscriptions() const {
  std::vector<const BoardSubscription *> Result;
  for (const auto &[Id, Current] : Subscriptions)
    Result.push_back(&Current.Board);
  return Result;
}

} // namespace burdockstream::standins
