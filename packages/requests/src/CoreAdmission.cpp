#include "CoreState.h"

#include <glog/logging.h>

namespace burdockstream::requests {

namespace {

QueuedWork toQueuedWork(const WorkItem &Item) {
  return {Item.Id, Item.Class, Item.Arrived, Item.Deadline, Item.Expected};
}

// Returns a duration within which nearly all requests like Item finish,
// including the predicted Wait. The margins account for the variance of run
// times: without them, more than half of the requests accepted in a surge
// missed their deadline (policy_bench, measure surge).
base::Duration conservativeDuration(const WorkItem &Item, base::Duration Wait) {
  const base::Duration WaitMargin =
      Item.Spread.count() > 0 ? Wait * 3 / 4 : base::Duration{0};
  return Wait + WaitMargin + Item.Expected + 4 * Item.Spread;
}

} // namespace

void RequestCore::State::advance(WorkItem &Item, RequestEvent Event) {
  const auto Next = nextState(Item.State, Event);
  CHECK(Next) << "invalid transition of a request: event " << toString(Event)
              << " in state " << toString(Item.State);
  Item.State = *Next;
}

WorkItem &RequestCore::State::createWork(base::BucketIndex Bucket,
                                         const coap::CoapMessage &Message,
                                         const RunEstimate &Estimate,
                                         base::TimePoint Deadline,
                                         const EventContext &Ctx) {
  WorkItem &Item = WorkItems[++LastWork];
  Item.Id = LastWork;
  Item.Bucket = Bucket;
  Item.Request = Message;
  Item.Request.Observe.reset();
  Item.Request.Block2.reset();
  Item.Request.ETag.clear();
  Item.RunTimeKey = Estimate.Key;
  Item.Class = Estimate.Class;
  Item.Expected = Estimate.Expected;
  Item.Spread = Estimate.Spread;
  Item.Arrived = Ctx.Now.Monotonic;
  Item.Deadline = Deadline;
  Item.NotAfter = {Ctx.Now.Wall.Milliseconds +
                   std::chrono::floor<std::chrono::milliseconds>(
                       Deadline - Ctx.Now.Monotonic)
                       .count()};
  WorkDeadlines.set(Item.Id, Deadline);
  return Item;
}

bool RequestCore::State::admitFlow(base::SocketAddress Caller) {
  if (Callers.isAdmitted(Caller))
    return true;
  const uint32_t Limit =
      std::min(Service.ConnectionsPerEndpoint,
               Share.Flows.value_or(Service.ConnectionsPerEndpoint));
  if (Callers.admittedFlows() >= Limit)
    return false;
  Callers.admit(Caller);
  return true;
}

bool RequestCore::State::endpointUsable(const EventContext &Ctx) const {
  return Endpoint.alive() && !DrainWindowElapsed &&
         Ctx.Now.Monotonic < DrainWindowEnd;
}

base::Duration RequestCore::State::predictWait(const QueuedWork &Entry,
                                               base::Now Now) const {
  base::Duration Remainder{0};
  for (const auto &[Id, Item] : WorkItems)
    if (Item.HoldsSlot)
      Remainder += std::max(base::Duration{0},
                            Item.Expected - (Now.Monotonic - Item.Started));
  const base::Duration Wait =
      Queue.predictWait(Config.Policy, Entry, EndpointSlots.use(), Remainder);
  const base::TimePoint Paused = EndpointSlots.pausedUntil();
  return Paused > Now.Monotonic ? Wait + (Paused - Now.Monotonic) : Wait;
}

void RequestCore::State::admit(WorkId Id, bool AllowMove,
                               const EventContext &Ctx) {
  WorkItem &Item = WorkItems.at(Id);
  if (Item.Deadline <= Ctx.Now.Monotonic) {
    finishWithoutResponse(Item, base::Duration{0}, Ctx);
    return;
  }
  const bool Usable = endpointUsable(Ctx);
  const bool Immediate =
      Usable && Queue.size() == 0 && EndpointSlots.available(Ctx.Now.Monotonic);
  const QueuedWork Entry = toQueuedWork(Item);
  const base::Duration Wait =
      Immediate ? base::Duration{0} : predictWait(Entry, Ctx.Now);
  if (!Immediate && AllowMove && tryMove(Item, Wait, Ctx))
    return;
  // A request that finds a free slot is always started, so that new samples
  // correct an overestimated run time.
  const bool InTime =
      Immediate ||
      Ctx.Now.Monotonic + conservativeDuration(Item, Wait) <= Item.Deadline;
  if (!Usable || !InTime || Queue.size() >= Config.MaxQueue) {
    finishWithoutResponse(Item, Wait, Ctx);
    return;
  }
  if (Item.State == RequestState::Received) {
    advance(Item, RequestEvent::Enqueue);
    count(Counter::Accepted);
    Budget.onAccepted();
  }
  Queue.push(Entry);
}

void RequestCore::State::dispatch(const EventContext &Ctx) {
  while (endpointUsable(Ctx) && EndpointSlots.available(Ctx.Now.Monotonic)) {
    const auto Id =
        Queue.pick(Config.Policy, EndpointSlots.use(), Ctx.Now.Monotonic);
    if (!Id)
      return;
    WorkItem &Item = WorkItems.at(*Id);
    if (!start(Item, Ctx))
      finishWithoutResponse(Item, std::chrono::seconds(1), Ctx);
  }
}

void RequestCore::State::readmitQueue(const EventContext &Ctx) {
  const std::vector<QueuedWork> Waiting = Queue.entries();
  for (const QueuedWork &Entry : Waiting) {
    Queue.remove(Entry.Id);
    admit(Entry.Id, true, Ctx);
  }
}

std::optional<base::WallTime>
RequestCore::State::latestStart(const WorkItem &Item, base::Now Now) const {
  base::WallTime Latest = Item.NotAfter;
  // For a request of another agent, its not-after time includes the lease.
  if (!Item.Idempotent && !Item.Origin) {
    const BucketInfo &Info = Buckets.at(Item.Bucket);
    const bool Moving = Info.ExportedTo.Value != 0;
    if (!Moving && Info.Authority.Role != messages::BucketRole::Owner)
      return std::nullopt;
    const auto Lease = std::chrono::floor<std::chrono::milliseconds>(
        (Moving ? Info.LeaseAtExport : Info.Authority.LeaseEnd) -
        Now.Monotonic);
    Latest.Milliseconds =
        std::min(Latest.Milliseconds, Now.Wall.Milliseconds + Lease.count());
  }
  if (Latest.Milliseconds <= Now.Wall.Milliseconds)
    return std::nullopt;
  return Latest;
}

// Marks the request as started. The record must be updated before the request
// is sent, because from then on it may run.
void RequestCore::State::markStarted(WorkItem &Item, base::WallTime Latest,
                                     base::Now Now) {
  advance(Item, RequestEvent::Start);
  Item.Request.NotAfter = Latest;
  Item.MayHaveRunBefore = Item.MayHaveRun;
  Item.MayHaveRun = true;
  Item.Started = Now.Monotonic;
  if (!Item.Record)
    return;
  RequestRecord *Record = Records.find(*Item.Record);
  CHECK(Record != nullptr) << "record removed before its request's deadline";
  Record->State = RecordState::Running;
  Record->Runner = Config.Self; // responsible for the result, wherever it runs
}

bool RequestCore::State::start(WorkItem &Item, const EventContext &Ctx) {
  const auto Latest = latestStart(Item, Ctx.Now);
  if (!Latest)
    return false;
  markStarted(Item, *Latest, Ctx.Now);
  Item.Exchange = Endpoint.open(Item.Request,
                                Item.Idempotent ? ExchangeKind::Idempotent
                                                : ExchangeKind::NonIdempotent,
                                Ctx.Now, Ctx.Out);
  WorkByExchange[Item.Exchange] = Item.Id;
  Item.HoldsSlot = true;
  EndpointSlots.acquire(Item.Class);
  if (Item.Idempotent)
    AttemptDeadlines.set(Item.Id,
                         Ctx.Now.Monotonic + Config.EndpointResponseTimeout);
  return true;
}

} // namespace burdockstream::requests
