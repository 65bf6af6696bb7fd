#include "CoreState.h"
#include "LocalResponses.h"

namespace burdockstream::requests {

void RequestCore::State::tick(const EventContext &Ctx) {
  std::vector<CallerEvent> CallerEvents;
  Callers.tick(Ctx.Now, Ctx.Out, CallerEvents);
  for (const CallerEvent &Event : CallerEvents)
    onCallerEvent(Event, Ctx);
  for (const EndpointEvent &Event : Endpoint.tick(Ctx.Now, Ctx.Out))
    onEndpointEvent(Event, Ctx);
  while (const auto Id = WorkDeadlines.popDue(Ctx.Now.Monotonic))
    onWorkDeadline(*Id, Ctx);
  while (const auto Id = AttemptDeadlines.popDue(Ctx.Now.Monotonic))
    onAttemptTimeout(*Id, Ctx);
  for (const RecordKey &Key : Records.tick(Ctx.Now))
    completeRecord(Key, RecordState::Unknown, makeUnknownResponse(), Ctx);
  while (const auto Key = PeerRunExpiries.popDue(Ctx.Now.Monotonic))
    PeerRuns.erase(*Key);
  Bodies.tick(Ctx.Now);
  if (!DrainWindowElapsed)
    Observers.tick(Ctx.Now, Ctx.Out);
  releaseHeldPackets(std::nullopt, Ctx);
  if (ShedPauseEnd <= Ctx.Now.Monotonic)
    ShedPauseEnd = base::Never;
  if (DrainWindowEnd <= Ctx.Now.Monotonic && !DrainWindowElapsed) {
    DrainWindowElapsed = true;
    readmitQueue(Ctx);
  }
}

void RequestCore::State::onWorkDeadline(WorkId Id, const EventContext &Ctx) {
  WorkItem &Item = WorkItems.at(Id);
  if (Item.State == RequestState::Queued) {
    count(Counter::DeadlineInQueue);
    finishWithoutResponse(Item, base::Duration{0}, Ctx);
    return;
  }
  if (Item.State != RequestState::Running) { // no late response arrived
    removeWorkItem(Id);
    return;
  }
  count(Counter::DeadlineRunning);
  if (Item.MoveSequence != 0)
    count(Counter::MoveLost);
  if (Item.Idempotent) {
    Endpoint.cancel(Item.Exchange, Ctx.Out);
    releaseAttempt(Item);
  }
  finish(Item, RequestEvent::LoseTrack, makeUnknownResponse(), Ctx);
}

void RequestCore::State::onAttemptTimeout(WorkId Id, const EventContext &Ctx) {
  WorkItem &Item = WorkItems.at(Id);
  if (Item.MoveSequence != 0)
    count(Counter::MoveLost);
  else
    Endpoint.cancel(Item.Exchange, Ctx.Out);
  onAttemptFailed(Item, Ctx);
}

base::TimePoint RequestCore::State::nextDeadline() const {
  base::TimePoint Next = std::min(
      {Callers.nextDeadline(), Endpoint.nextDeadline(), WorkDeadlines.next(),
       AttemptDeadlines.next(), Records.nextDeadline(), PeerRunExpiries.next(),
       Bodies.nextDeadline(), ShedPauseEnd});
  if (!DrainWindowElapsed)
    Next = std::min({Next, Observers.nextDeadline(), DrainWindowEnd});
  const bool SlotFree = EndpointSlots.running() < EndpointSlots.limit();
  if (Config.Policy.RetryAt && SlotFree && Endpoint.alive() &&
      !DrainWindowElapsed)
    Next = std::min(Next, std::max(Config.Policy.RetryAt(Queue.entries()),
                                   EndpointSlots.pausedUntil()));
  for (const HeldPacket &Entry : HeldPackets)
    Next = std::min(Next, Entry.Until);
  return Next;
}

bool RequestCore::State::isIdle() const {
  return WorkItems.empty() && HeldPackets.empty() && Callers.idle();
}

LoadView RequestCore::State::load(base::Now Now) const {
  const QueuedWork Probe{0, records::WorkClass::Short, Now.Monotonic,
                         base::Never, base::Duration{0}};
  return {Queue.size(),           EndpointSlots.running(),
          EndpointSlots.limit(),  Callers.admittedFlows(),
          Records.size(),         Observers.size(),
          predictWait(Probe, Now)};
}

} // namespace burdockstream::requests
