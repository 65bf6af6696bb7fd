#include "CoreState.h"
#include "LocalResponses.h"

#include <charconv>

namespace burdockstream::requests {

namespace {

using messages::BucketRole;

// Bytes of a request body, at most one block. Larger requests would be
// fragmented by IP.
constexpr size_t MaxRequestPayload = MaxBlockSize;
// Bytes of a whole request: header, token, options and payload.
constexpr size_t MaxRequestSize = 4096;
constexpr size_t MaxRequestIdLength = 32;
constexpr int64_t MaxDeadlineMilliseconds = 120'000;
// An agent relays a packet only once. With the balancer's forwarding, a packet
// takes at most two hops.
constexpr uint8_t MaxHops = 1;
constexpr base::Duration DefaultRetry = std::chrono::seconds(2);

constexpr uint8_t FetchMethod = 5;
constexpr uint8_t IdempotentPatchMethod = 7;

std::optional<int64_t> parseNumber(const std::optional<std::string> &Text) {
  int64_t Value = 0;
  if (!Text || Text->empty())
    return std::nullopt;
  const char *End = Text->data() + Text->size();
  const auto Parsed = std::from_chars(Text->data(), End, Value);
  if (Parsed.ec != std::errc{} || Parsed.ptr != End || Value < 0 ||
      Value >= int64_t{1} << 48)
    return std::nullopt;
  return Value;
}

// Returns the identity of a non-idempotent request, or an error that says why
// its query items are invalid.
base::Result<RequestIdentity> parseIdentity(const coap::CoapMessage &Message,
                                            base::Now Now) {
  const auto Invalid = [](std::string Text) {
    return base::makeError(base::ErrorKind::InvalidArgument, std::move(Text));
  };
  const auto RequestId = coap::queryValue(Message, "rid");
  const auto Issued = parseNumber(coap::queryValue(Message, "iat"));
  const auto Deadline = parseNumber(coap::queryValue(Message, "dl"));
  if (!RequestId || RequestId->empty() ||
      RequestId->size() > MaxRequestIdLength || !Issued || !Deadline)
    return Invalid("rid, iat and dl are required");
  if (*Issued > Now.Wall.Milliseconds + ClockBoundMilliseconds)
    return Invalid("iat is in the future; check the clock");
  if (*Deadline < *Issued || *Deadline > *Issued + MaxDeadlineMilliseconds)
    return Invalid("dl must be within 120 s after iat");
  return RequestIdentity{*RequestId, *Issued, *Deadline};
}

bool methodIsIdempotent(coap::Code Method, const RunEstimate &Estimate) {
  switch (static_cast<uint8_t>(Method)) {
  case static_cast<uint8_t>(coap::Code::Get):
  case FetchMethod:
    return true;
  case static_cast<uint8_t>(coap::Code::Put):
  case static_cast<uint8_t>(coap::Code::Delete):
  case IdempotentPatchMethod:
    return Estimate.Idempotent;
  default: // POST and PATCH
    return false;
  }
}

} // namespace

void RequestCore::State::onCaller(const messages::Forward &Packet,
                                  const EventContext &Ctx) {
  const auto Parsed = coap::parseMessage(Packet.Payload);
  if (Parsed.has_error()) {
    count(Counter::CallerMalformed);
    return;
  }
  const BucketRole Role = roleOf(Packet.Bucket, Ctx.Now);
  if (Role != BucketRole::NotOwner && Role != BucketRole::Pending) {
    onOwnedPacket(Packet, Parsed.value(), Ctx);
    return;
  }
  // Acknowledgments of messages that were sent from here before the handover.
  if (const auto Event = Callers.receiveLate(Packet, Parsed.value()))
    onCallerEvent(*Event, Ctx);
  else if (Role == BucketRole::NotOwner)
    forwardToOwner(Packet, Ctx);
  else
    holdPacket(Packet);
}

void RequestCore::State::forwardToOwner(const messages::Forward &Packet,
                                        const EventContext &Ctx) {
  const BucketInfo &Info = Buckets[Packet.Bucket];
  const base::DaemonId Owner =
      Info.ExportedTo.Value != 0 ? Info.ExportedTo : Info.Authority.Owner;
  if (Owner.Value == 0 || Owner == Config.Self || Packet.Hops >= MaxHops) {
    count(Counter::DroppedNotOwner);
    return;
  }
  messages::Forward Copy = Packet;
  ++Copy.Hops;
  count(Counter::PassedToOwner);
  Ctx.Out.emplace_back(SendToPeer{Owner, std::move(Copy)});
}

void RequestCore::State::onOwnedPacket(const messages::Forward &Packet,
                                       const coap::CoapMessage &Message,
                                       const EventContext &Ctx) {
  const CallerEvent Event = Callers.receive(Packet, Message, Ctx.Now, Ctx.Out);
  if (Event.What == CallerEvent::Kind::Request)
    onRequest(Event.Exchange, Packet.Bucket, Message, Ctx);
  else
    onCallerEvent(Event, Ctx);
}

void RequestCore::State::onCallerEvent(const CallerEvent &Event,
                                       const EventContext &Ctx) {
  if (Event.What == CallerEvent::Kind::Cancelled) {
    cancelExchange(Event.Exchange, Ctx);
    return;
  }
  if (!Observers.onCaller(Event, Ctx.Now, Ctx.Out) &&
      Event.What == CallerEvent::Kind::Undelivered)
    count(Counter::Undelivered);
}

std::optional<coap::CoapMessage>
RequestCore::State::rejectMalformed(const coap::CoapMessage &Message) const {
  if (Service.Retired)
    return makeResponse(coap::Code::NotFound, "the service is retired");
  if (coap::unsupportedCriticalOption(Message))
    return makeResponse(coap::Code::BadOption, "unsupported critical option");
  const auto Method = static_cast<uint8_t>(Message.MessageCode);
  if (Method > IdempotentPatchMethod)
    return makeResponse(coap::Code::MethodNotAllowed, "unknown method");
  const auto Encoded = coap::serializeMessage(Message);
  if (Encoded.has_error())
    return makeResponse(coap::Code::BadRequest, Encoded.error().Message);
  if (Message.Payload.size() > MaxRequestPayload ||
      Encoded.value().size() > MaxRequestSize)
    return makeResponse(coap::Code::RequestEntityTooLarge,
                        "a request body has at most 1024 bytes");
  return std::nullopt;
}

void RequestCore::State::onRequest(const ExchangeKey &Key,
                                   base::BucketIndex Bucket,
                                   const coap::CoapMessage &Message,
                                   const EventContext &Ctx) {
  if (auto Answer = rejectMalformed(Message)) {
    reject(Key, Bucket, std::move(*Answer), Ctx);
    return;
  }
  if (Message.MessageCode == coap::Code::Get && Message.Observe) {
    onObserve(Key, Bucket, Message, Ctx);
    return;
  }
  if (methodIsIdempotent(Message.MessageCode, Estimator.estimate(Message)))
    onIdempotent(Key, Bucket, Message, Ctx);
  else
    onNonIdempotent(Key, Bucket, Message, Ctx);
}

void RequestCore::State::reject(const ExchangeKey &Key,
                                base::BucketIndex Bucket,
                                coap::CoapMessage Answer,
                                const EventContext &Ctx) {
  count(Answer.MessageCode == coap::Code::ServiceUnavailable
            ? Counter::RefusedNotRun
        : Answer.MessageCode == coap::Code::GatewayTimeout
            ? Counter::RefusedUnknown
            : Counter::RefusedInvalid);
  Callers.respond(Key, std::move(Answer), epochOf(Bucket), Ctx.Now, Ctx.Out);
}

void RequestCore::State::onObserve(const ExchangeKey &Key,
                                   base::BucketIndex Bucket,
                                   const coap::CoapMessage &Message,
                                   const EventContext &Ctx) {
  Observers.unsubscribe({Key.Caller, Message.Token});
  if (*Message.Observe != 0) { // deregistration: handle as a plain GET
    onIdempotent(Key, Bucket, Message, Ctx);
    return;
  }
  if (!admitFlow(Key.Caller)) {
    reject(Key, Bucket, makeNotRunResponse(DefaultRetry), Ctx);
    return;
  }
  Observers.subscribe(Key, Bucket, Message, Ctx.Now, Ctx.Out);
}

void RequestCore::State::onIdempotent(const ExchangeKey &Key,
                                      base::BucketIndex Bucket,
                                      const coap::CoapMessage &Message,
                                      const EventContext &Ctx) {
  if (Message.MessageCode == coap::Code::Get && Message.Block2 &&
      Message.Block2->Number > 0)
    if (const auto Body = Bodies.find(Key.Caller, bodyKey(Message))) {
      respond({Key, Message.Block2}, Bucket, *Body, Ctx);
      return;
    }
  const auto Text = coap::queryValue(Message, "dl");
  const auto Limit = parseNumber(Text);
  if (Text && !Limit) {
    reject(Key, Bucket,
           makeResponse(coap::Code::BadRequest, "dl is not a time"), Ctx);
    return;
  }
  const base::Duration Left = Limit ? base::Duration(std::chrono::milliseconds(
                                          *Limit - Ctx.Now.Wall.Milliseconds))
                                    : Config.DefaultDeadline;
  const base::Duration Longest =
      std::chrono::milliseconds(MaxDeadlineMilliseconds);
  WorkItem &Item = createWork(Bucket, Message, Estimator.estimate(Message),
                              Ctx.Now.Monotonic + std::min(Left, Longest), Ctx);
  Item.Waiters.push_back({Key, Message.Block2});
  if (admitFlow(Key.Caller))
    admit(Item.Id, true, Ctx);
  else
    finishWithoutResponse(Item, DefaultRetry, Ctx);
}

void RequestCore::State::onNonIdempotent(const ExchangeKey &Key,
                                         base::BucketIndex Bucket,
                                         const coap::CoapMessage &Message,
                                         const EventContext &Ctx) {
  const auto Identity = parseIdentity(Message, Ctx.Now);
  if (Identity.has_error()) {
    reject(Key, Bucket,
           makeResponse(coap::Code::BadRequest, Identity.error().Message), Ctx);
    return;
  }
  const RequestIdentity &Run = Identity.value();
  const RecordKey RecordId{Key.Caller, Run.RequestId};
  const Waiter From{Key, Message.Block2};
  if (onRecordedRequest(RecordId, Run, From, Ctx))
    return;
  RequestRecord Record;
  Record.Bucket = Bucket;
  Record.Issued = Run.Issued;
  Record.Deadline = Run.Deadline;
  Record.Waiters = {From};
  Records.put(RecordId, std::move(Record), Ctx.Now);
  if (auto Refusal = checkUnrecordedRequest(Bucket, Run, Ctx)) {
    const bool NotRun = Refusal->MessageCode == coap::Code::ServiceUnavailable;
    count(NotRun ? Counter::RefusedNotRun : Counter::RefusedUnknown);
    completeRecord(RecordId,
                   NotRun ? RecordState::Refused : RecordState::Unknown,
                   *Refusal, Ctx);
    return;
  }
  WorkItem &Item = createWork(
      Bucket, Message, Estimator.estimate(Message),
      Ctx.Now.Monotonic +
          std::chrono::milliseconds(Run.Deadline - Ctx.Now.Wall.Milliseconds),
      Ctx);
  Item.Idempotent = false;
  Item.Record = RecordId;
  if (admitFlow(Key.Caller))
    admit(Item.Id, true, Ctx);
  else
    finishWithoutResponse(Item, DefaultRetry, Ctx);
}

// Handles a copy or retry of a request that has a record. Returns false if
// there is no record, or if the request was refused and may run as a new one.
bool RequestCore::State::onRecordedRequest(const RecordKey &Key,
                                           const RequestIdentity &Run,
                                           const Waiter &From,
                                           const EventContext &Ctx) {
  RequestRecord *Known = Records.find(Key);
  if (Known == nullptr)
    return false;
  if (Known->Issued != Run.Issued || Known->Deadline != Run.Deadline) {
    reject(From.Exchange, Known->Bucket,
           makeResponse(coap::Code::BadRequest,
                        "rid was used with another iat or dl"),
           Ctx);
    return true;
  }
  if (Known->State == RecordState::Refused &&
      Known->RefusedUntil <= Ctx.Now.Monotonic)
    return false;
  Known->Waiters.push_back(From);
  if (Known->State != RecordState::Queued &&
      Known->State != RecordState::Running)
    answerWaiters(Key, Ctx);
  return true;
}

std::optional<coap::CoapMessage>
RequestCore::State::checkUnrecordedRequest(base::BucketIndex Bucket,
                                           const RequestIdentity &Identity,
                                           const EventContext &Ctx) const {
  const BucketInfo &Info = Buckets.at(Bucket);
  const messages::BucketAuthority &Authority = Info.Authority;
  const int64_t Wall = Ctx.Now.Wall.Milliseconds;
  // Another agent may have run the request, or its record may have expired:
  // records are kept for the clock bound plus 2 s after the deadline, and this
  // agent's clock may be behind by the bound.
  if (Identity.Issued < Authority.UnknownBefore.Milliseconds ||
      Identity.Issued >= Authority.UnknownFrom.Milliseconds ||
      Wall > Identity.Deadline + ClockBoundMilliseconds)
    return makeUnknownResponse();
  // Without the former owner's snapshot, it may have run there.
  if (Authority.Role == BucketRole::Pending && !Info.Imported)
    return makeUnknownResponse();
  if (Wall >= Identity.Deadline)
    return makeNotRunResponse(base::Duration{0});
  const bool MayRun = Authority.Role == BucketRole::Owner &&
                      Authority.LeaseEnd > Ctx.Now.Monotonic && ClockTrusted;
  if (MayRun)
    return std::nullopt;
  return makeNotRunResponse(Authority.RetryAt > Ctx.Now.Monotonic
                                ? Authority.RetryAt - Ctx.Now.Monotonic
                                : DefaultRetry);
}

void RequestCore::State::cancelExchange(const ExchangeKey &Key,
                                        const EventContext &Ctx) {
  Observers.cancelExchange(Key);
  const auto RemoveFrom = [&Key](std::vector<Waiter> &Waiters) {
    return std::erase_if(Waiters, [&Key](const Waiter &Entry) {
             return Entry.Exchange == Key;
           }) > 0;
  };
  for (auto &[Id, Item] : WorkItems) {
    RequestRecord *Record = Item.Record ? Records.find(*Item.Record) : nullptr;
    std::vector<Waiter> &Waiters =
        Record != nullptr ? Record->Waiters : Item.Waiters;
    if (!RemoveFrom(Waiters))
      continue;
    count(Counter::CancelledByCaller);
    if (Waiters.empty())
      cancelWork(Item, Ctx);
    return;
  }
}

void RequestCore::State::respond(const Waiter &To, base::BucketIndex Bucket,
                                 const coap::CoapMessage &Full,
                                 const EventContext &Ctx) {
  coap::CoapMessage Answer = sliceBody(Full, To.Block2);
  Answer.Observe.reset();
  Callers.respond(To.Exchange, std::move(Answer), epochOf(Bucket), Ctx.Now,
                  Ctx.Out);
}

} // namespace burdockstream::requests
