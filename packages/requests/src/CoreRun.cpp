#include "CoreState.h"
#include "LocalResponses.h"

#include <glog/logging.h>

namespace burdockstream::requests {

namespace {

// How long a response to a non-idempotent request is awaited after its
// deadline. Such a response changes the record from unknown to answered and
// frees the slot.
constexpr base::Duration LateResponseWindow = std::chrono::seconds(5);

// Pause after a 5.03 response of the endpoint: the default without Max-Age, and
// the upper bound, because Max-Age may be stale or too long.
constexpr base::Duration DefaultShedPause = std::chrono::seconds(1);
constexpr base::Duration MaxShedPause = std::chrono::seconds(5);

bool isShed(const coap::CoapMessage &Response) {
  return Response.MessageCode == coap::Code::ServiceUnavailable;
}

// Returns Response without the fields that belong to the exchange with the
// endpoint, or a 5.02 response if it cannot be forwarded.
coap::CoapMessage sanitizeResponse(const coap::CoapMessage &Response) {
  coap::CoapMessage Clean = Response;
  Clean.Type = coap::MessageType::Confirmable;
  Clean.MessageId = 0;
  Clean.Token.clear();
  Clean.NotAfter.reset();
  if (Clean.Payload.size() > coap::MaxBodySize)
    return makeResponse(coap::Code::BadGateway, "the body exceeds 60000 bytes");
  if (Clean.Block2 && Clean.Block2->More)
    return makeResponse(coap::Code::BadGateway,
                        "the endpoint sent a body in blocks");
  Clean.Block2.reset();
  if (coap::serializeMessage(Clean).has_error())
    return makeResponse(coap::Code::BadGateway, "unusable response");
  return Clean;
}

} // namespace

void RequestCore::State::onEndpoint(std::span<const uint8_t> Datagram,
                                    const EventContext &Ctx) {
  const bool WasAlive = Endpoint.alive();
  const auto Events = Endpoint.receive(Datagram, Ctx.Out);
  if (!WasAlive && Endpoint.alive() && !DrainWindowElapsed)
    Observers.reregisterAll(Ctx.Now, Ctx.Out);
  for (const EndpointEvent &Event : Events)
    onEndpointEvent(Event, Ctx);
}

void RequestCore::State::onEndpointEvent(const EndpointEvent &Event,
                                         const EventContext &Ctx) {
  EndpointEvent Clean = Event;
  Clean.Message = sanitizeResponse(Event.Message);
  const auto Found = WorkByExchange.find(Event.Exchange);
  if (Found != WorkByExchange.end()) {
    WorkItem &Item = WorkItems.at(Found->second);
    if (Event.What == EndpointEvent::Kind::Response)
      onResponse(Item, Clean.Message, Ctx);
    else if (Event.What == EndpointEvent::Kind::NoAck)
      onNoAck(Item, Ctx);
    else
      onAttemptFailed(Item, Ctx);
    return;
  }
  const bool Silent = Event.What == EndpointEvent::Kind::NoAck &&
                      !Endpoint.receivedSince(Event.Exchange);
  Observers.onEndpoint(Clean, Ctx.Now, Ctx.Out);
  if (Silent)
    onEndpointDead(Ctx);
}

void RequestCore::State::onResponse(WorkItem &Item,
                                    const coap::CoapMessage &Response,
                                    const EventContext &Ctx) {
  if (isShed(Response)) {
    onShed(Item, Response, Ctx);
    return;
  }
  const base::Duration Run = Ctx.Now.Monotonic - Item.Started;
  Estimator.addSample(Item.RunTimeKey, Run);
  if (Item.State == RequestState::Running) {
    EndpointSlots.grow();
    if (Callbacks.Sample)
      Callbacks.Sample({Item.Class, Item.Started - Item.Arrived, Run});
  }
  releaseAttempt(Item);
  finish(Item, RequestEvent::Respond, Response, Ctx);
}

void RequestCore::State::onShed(WorkItem &Item,
                                const coap::CoapMessage &Response,
                                const EventContext &Ctx) {
  count(Counter::EndpointShed);
  const base::Duration Asked =
      Response.MaxAgeSeconds
          ? base::Duration(std::chrono::seconds(*Response.MaxAgeSeconds))
          : DefaultShedPause;
  const base::Duration Pause = std::min(Asked, MaxShedPause);
  EndpointSlots.shed(Ctx.Now.Monotonic, Pause);
  ShedPauseEnd = EndpointSlots.pausedUntil();
  releaseAttempt(Item);
  const bool Again =
      Item.Idempotent && !Item.Origin && Item.State == RequestState::Running &&
      Item.Deadline > Ctx.Now.Monotonic + Pause && Budget.tryConsume();
  if (!Again) {
    finish(Item, RequestEvent::Respond, Response, Ctx);
    return;
  }
  count(Counter::Retried);
  advance(Item, RequestEvent::Requeue);
  admit(Item.Id, true, Ctx);
}

void RequestCore::State::onNoAck(WorkItem &Item, const EventContext &Ctx) {
  if (!Endpoint.receivedSince(Item.Exchange))
    onEndpointDead(Ctx);
  else if (Item.Idempotent && Item.State == RequestState::Running)
    onAttemptFailed(Item, Ctx);
  // Otherwise the endpoint is alive and may still answer a non-idempotent
  // request, because only the acknowledgment may be lost. Wait until the
  // request's deadline.
}

void RequestCore::State::onEndpointDead(const EventContext &Ctx) {
  if (!Endpoint.alive())
    return;
  count(Counter::EndpointDead);
  LOG(WARNING) << "endpoint does not respond; requests are moved to other "
                  "agents or refused until it answers a ping";
  Endpoint.markDead(Ctx.Now);
  EndpointSlots.reset();
  std::vector<WorkId> Running;
  for (const auto &[Id, Item] : WorkItems)
    if (Item.Exchange != 0 && Item.State == RequestState::Running)
      Running.push_back(Id);
  for (const WorkId Id : Running)
    onAttemptFailed(WorkItems.at(Id), Ctx);
  readmitQueue(Ctx);
}

void RequestCore::State::releaseAttempt(WorkItem &Item) {
  if (Item.HoldsSlot)
    EndpointSlots.release(Item.Class);
  Item.HoldsSlot = false;
  AttemptDeadlines.clear(Item.Id);
  WorkByExchange.erase(Item.Exchange);
  Endpoint.close(Item.Exchange);
  Item.Exchange = 0;
  WorkByMove.erase(Item.MoveSequence);
  Item.MoveSequence = 0;
  Item.MovedTo = {};
}

void RequestCore::State::onAttemptFailed(WorkItem &Item,
                                         const EventContext &Ctx) {
  if (Item.State != RequestState::Running)
    return; // answered as unknown; a late response is still accepted
  if (!Item.Idempotent) {
    if (Item.HoldsSlot)
      EndpointSlots.release(Item.Class);
    Item.HoldsSlot = false;
    finish(Item, RequestEvent::LoseTrack, makeUnknownResponse(), Ctx);
    return;
  }
  releaseAttempt(Item);
  const bool Again = !Item.Origin && Budget.tryConsume();
  if (!Again) {
    if (!Item.Origin)
      count(Counter::RetryBudgetEmpty);
    finish(Item, RequestEvent::LoseTrack, makeUnknownResponse(), Ctx);
    return;
  }
  count(Counter::Retried);
  advance(Item, RequestEvent::Requeue);
  admit(Item.Id, true, Ctx);
}

void RequestCore::State::finishWithoutResponse(WorkItem &Item,
                                               base::Duration RetryAfter,
                                               const EventContext &Ctx) {
  if (Item.MayHaveRun)
    finish(Item, RequestEvent::LoseTrack, makeUnknownResponse(), Ctx);
  else
    finish(Item, RequestEvent::Refuse, makeNotRunResponse(RetryAfter), Ctx);
}

void RequestCore::State::finish(WorkItem &Item, RequestEvent Event,
                                const coap::CoapMessage &Full,
                                const EventContext &Ctx) {
  advance(Item, Event);
  count(Event == RequestEvent::Respond  ? Counter::Answered
        : Event == RequestEvent::Refuse ? Counter::RefusedNotRun
                                        : Counter::RefusedUnknown);
  deliver(Item, Full, Ctx);
  // Keep the work item while a late result of a non-idempotent request may
  // arrive.
  const bool AwaitLateResponse = Event == RequestEvent::LoseTrack &&
                                 !Item.Idempotent &&
                                 (Item.Exchange != 0 || Item.MoveSequence != 0);
  if (AwaitLateResponse)
    WorkDeadlines.set(Item.Id, std::max(Item.Deadline, Ctx.Now.Monotonic) +
                                   LateResponseWindow);
  else
    removeWorkItem(Item.Id);
}

void RequestCore::State::deliver(WorkItem &Item, const coap::CoapMessage &Full,
                                 const EventContext &Ctx) {
  if (Item.Origin) {
    using messages::RunOutcome;
    replyToPeer(*Item.Origin,
                Item.State == RequestState::Answered  ? RunOutcome::Answered
                : Item.State == RequestState::Refused ? RunOutcome::Refused
                                                      : RunOutcome::Unknown,
                Full, Ctx);
    return;
  }
  if (Item.Record) {
    // 5.03 means that the request did not run, so the caller may retry it.
    const RecordState Outcome = isShed(Full) ? RecordState::Refused
                                : Item.State == RequestState::Answered
                                    ? RecordState::Answered
                                    : RecordState::Unknown;
    completeRecord(*Item.Record, Outcome, Full, Ctx);
    return;
  }
  for (const Waiter &To : Item.Waiters) {
    const coap::CoapMessage First = sliceBody(Full, To.Block2);
    if (Item.Request.MessageCode == coap::Code::Get &&
        First.Payload.size() < Full.Payload.size())
      Bodies.put(To.Exchange.Caller, bodyKey(Item.Request), Full, Ctx.Now);
    respond(To, Item.Bucket, Full, Ctx);
  }
  Item.Waiters.clear();
}

void RequestCore::State::completeRecord(const RecordKey &Key,
                                        RecordState Outcome,
                                        const coap::CoapMessage &Answer,
                                        const EventContext &Ctx) {
  RequestRecord *Record = Records.find(Key);
  if (Record == nullptr) // expired; later copies are answered as unknown
    return;
  Record->State = Outcome;
  Record->Answer = Answer;
  answerWaiters(Key, Ctx);
  const auto Info = Buckets.find(Record->Bucket);
  if (Info == Buckets.end() || Info->second.ExportedTo.Value == 0)
    return;
  Ctx.Out.emplace_back(
      SendToPeer{Info->second.ExportedTo,
                 messages::RecordUpdate{Service.Id, Record->Bucket,
                                        Records.toWire(Key, *Record)}});
}

void RequestCore::State::answerWaiters(const RecordKey &Key,
                                       const EventContext &Ctx) {
  RequestRecord &Record = *Records.find(Key);
  const coap::CoapMessage Answer = Record.State == RecordState::Unknown
                                       ? makeUnknownResponse()
                                       : Record.Answer;
  const std::vector<Waiter> Waiters = std::move(Record.Waiters);
  Record.Waiters.clear();
  for (const Waiter &To : Waiters)
    respond(To, Record.Bucket, Answer, Ctx);
}

void RequestCore::State::cancelWork(WorkItem &Item, const EventContext &Ctx) {
  if (Item.State == RequestState::Queued) {
    Queue.remove(Item.Id);
    if (Item.Record)
      completeRecord(*Item.Record, RecordState::Refused,
                     makeNotRunResponse(base::Duration{0}), Ctx);
  } else if (Item.Idempotent && Item.State == RequestState::Running) {
    Endpoint.cancel(Item.Exchange, Ctx.Out);
    releaseAttempt(Item);
  } else {
    return; // non-idempotent requests are not cancelled while running
  }
  advance(Item, RequestEvent::Cancel);
  removeWorkItem(Item.Id);
}

void RequestCore::State::removeWorkItem(WorkId Id) {
  WorkItem &Item = WorkItems.at(Id);
  advance(Item, RequestEvent::Forget);
  releaseAttempt(Item);
  WorkDeadlines.clear(Id);
  Queue.remove(Id);
  WorkItems.erase(Id);
}

} // namespace burdockstream::requests
