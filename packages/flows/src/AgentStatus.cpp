// The agent's state of its target and of the balancers, and the statuses that
// it sends to the balancers.
#include "TargetStates.h"
#include "burdockstream/base/NameTable.h"
#include "burdockstream/flows/FlowAgent.h"

#include <algorithm>
#include <utility>

namespace burdockstream::flows {

using internal::TargetEvent;

namespace {

constexpr base::NameTable<ProbeResult, 4> ProbeNames({{
    {ProbeResult::Healthy, "healthy"},
    {ProbeResult::Unwilling, "unwilling"},
    {ProbeResult::NoProcess, "no_process"},
    {ProbeResult::NoAnswer, "no_answer"},
}});

// Sequence number of the first heartbeat of a target's run.
constexpr uint64_t FirstHeartbeatSequence = 1;

} // namespace

std::string_view toString(ProbeResult Result) {
  return ProbeNames.name(Result);
}

HeartbeatVerdict FlowAgent::onHeartbeat(const Heartbeat &Beat,
                                        base::TimePoint Now) {
  const bool First = !Heartbeats.known();
  const HeartbeatVerdict Verdict =
      Heartbeats.classify(Beat, Options.Target, Now);
  if (Verdict == HeartbeatVerdict::Late || Verdict == HeartbeatVerdict::Foreign)
    return Verdict;
  const bool Observed = hasObservedStart(Beat, Now);
  if (Verdict == HeartbeatVerdict::NewRun && !First) {
    // If the run is older than this process, the recorded flows are its own,
    // and the earlier run is that of a delayed heartbeat.
    if (Observed)
      resetAllFlows(Now); // the flows of the earlier run no longer exist
    KnowsAllFlows = Observed;
    // A new run is cold. If it is older than this process, the estimate was
    // valid; MinAnswersForEstimate responses restore it.
    ServiceTime.clear();
    apply(TargetEvent::Replace, "new_run", Now);
  }
  if (Verdict == HeartbeatVerdict::Resumed)
    KnowsAllFlows = false;
  // No earlier agent process can have opened flows at a target that has just
  // sent its first heartbeat.
  if (Beat.Sequence <= FirstHeartbeatSequence)
    KnowsAllFlows = true;
  LastHeartbeat = Now;
  Slots = std::clamp(Beat.Slots, 1U, MaxSlots);
  WarmupEnd = Now + std::chrono::milliseconds(Beat.WarmupMs);
  apply(Beat.Draining ? TargetEvent::Drain : TargetEvent::Ready, "heartbeat",
        Now);
  return Verdict;
}

// Returns whether the target's run has started since this process observes the
// target: by the number of heartbeats, since clocks may be stepped.
bool FlowAgent::hasObservedStart(const Heartbeat &Beat,
                                 base::TimePoint Now) const {
  if (Beat.Sequence <= FirstHeartbeatSequence)
    return true;
  const base::Duration Observed = Now - ObservedSince.value_or(Now);
  const base::Duration LongestInterval = Options.HeartbeatInterval * 3 / 2;
  return Beat.Sequence <= static_cast<uint64_t>(Observed / LongestInterval);
}

EndVerdict FlowAgent::onDeregister(const std::string &TargetId,
                                   int64_t StartedAtMs, base::TimePoint Now) {
  const EndVerdict Verdict = Heartbeats.end(TargetId, StartedAtMs);
  // No flow is reset yet, because the last answers may still be in transit.
  if (Verdict == EndVerdict::Ended)
    apply(TargetEvent::End, "deregistered", Now);
  if (Verdict == EndVerdict::Unproven) {
    apply(TargetEvent::Overdue, "deregistration_unproven", Now);
    start(Now);
  }
  return Verdict;
}

void FlowAgent::onProbe(ProbeResult Result, base::TimePoint StartedAt,
                        base::TimePoint Now) {
  // A heartbeat since then shows that the target has started after the check.
  if (Result == ProbeResult::NoProcess && LastHeartbeat <= StartedAt) {
    resetAllFlows(Now);
    // A process that listens there later starts without flows.
    KnowsAllFlows = true;
    apply(TargetEvent::End, toString(Result), Now);
  }
  if (Result == ProbeResult::Healthy && State == TargetState::Unknown) {
    LastHeartbeat = Now;
    apply(TargetEvent::Ready, toString(Result), Now);
  }
}

void FlowAgent::startLeaving(base::TimePoint Now) {
  AgentLeaving = true;
  returnHeld(Held.takeAll(), ReturnReason::NotReady, Now);
  sendStatuses(Now, Audience::All);
}

void FlowAgent::apply(TargetEvent Event, std::string_view Cause,
                      base::TimePoint Now) {
  const auto Next = internal::nextState(State, Event);
  if (!Next || *Next == State)
    return;
  const TargetState Before = std::exchange(State, *Next);
  if (Before == TargetState::Stopped)
    resumeSubscriptions(Now);
  if (State != TargetState::Ready)
    returnHeld(Held.takeAll(), ReturnReason::NotReady, Now);
  if (Hooks.OnState)
    Hooks.OnState(Before, State, Cause, Now - LastHeartbeat);
  sendStatuses(Now, Audience::All);
}

void FlowAgent::tick(base::TimePoint Now) {
  LastTick = Now;
  const bool Overdue = Now - LastHeartbeat > Options.HeartbeatOverdue;
  if (Overdue && State == TargetState::Ready)
    apply(TargetEvent::Overdue, "overdue", Now);
  const bool NeedsProbe = State == TargetState::Silent ||
                          (State == TargetState::Draining && Overdue);
  if (NeedsProbe && Now >= NextProbe)
    start(Now);
  expireSubscriptions(Now);
  expireOpenings(Now);
  expireWaiting(Now);
  admitHeld(Now);
  returnHeld(Held.takeOverdue(Now), ReturnReason::Busy, Now);
  completeTrials(Now);
  const bool Changed =
      reportedLoad(Now) != LastSentLoad || OpenFlows != LastSentFlows;
  if (Now >= NextStatus)
    sendStatuses(Now, Audience::All);
  else if (Changed && Now >= NextLocalStatus)
    sendStatuses(Now, Audience::Local);
  if (Retention.isAgingDue(Flows.size(), Now))
    ageRecords(Now);
  if (Now >= NextNotHeldAging) {
    NotHeld.age([](const FlowKey &, bool) {});
    ResetByClient.age([](const FlowKey &, bool) {});
    Trials.age([](const FlowKey &, const Trial &) {});
    NextNotHeldAging = Now + NotHeldRetention;
  }
}

void FlowAgent::ageRecords(base::TimePoint Now) {
  const bool TooMany = Flows.size() > MaxFlowRecords;
  bool DroppedOpen = false;
  Flows.age([&](const FlowKey &, FlowRecord &Old) {
    stopCounting(Old);
    DroppedOpen = DroppedOpen || (!Old.Closing && !Old.Sent.isEmpty());
    EarlyDrops += TooMany ? 1 : 0;
  });
  Retention.recordAging(DroppedOpen, Now);
}

void FlowAgent::expireSubscriptions(base::TimePoint Now) {
  std::erase_if(Balancers, [&](const Balancer &Each) {
    if (Now - Each.LastHello <= BalancerTimeout)
      return false;
    if (State == TargetState::Stopped &&
        LeftWhileStopped.size() < MaxLeftWhileStopped)
      LeftWhileStopped.push_back(Each);
    return true;
  });
}

void FlowAgent::resumeSubscriptions(base::TimePoint Now) {
  for (Balancer &Each : LeftWhileStopped) {
    const bool Subscribed =
        std::any_of(Balancers.begin(), Balancers.end(), [&](const auto &Other) {
          return Other.Address == Each.Address;
        });
    Each.LastHello = Now - BalancerTimeout + StartReportPeriod;
    if (!Subscribed)
      Balancers.push_back(Each);
  }
  LeftWhileStopped.clear();
}

void FlowAgent::onHello(base::SocketAddress From, base::Revision Routes,
                        const Hello &Hello, base::TimePoint Now) {
  if (Hello.EntryMissing && Hooks.OnEntryMissing)
    Hooks.OnEntryMissing(From);
  if (Routes > NewestRoutes) {
    NewestRoutes = Routes;
    NewestRoutesAt = Hello.Control;
    NewestRoutesSince = Now;
    NextStatus = Now; // report it to the other balancers at once
  }
  Retention.setIdleTimeout(Hello.IdleTimeout, Routes, Now);
  const auto Known =
      std::find_if(Balancers.begin(), Balancers.end(),
                   [&](const auto &Each) { return Each.Address == From; });
  if (Known != Balancers.end()) {
    Known->LastHello = Now;
    return;
  }
  Balancers.push_back(
      {From, Now, Hello.FailureDomain == Options.FailureDomain});
  sendStatuses(Now, Audience::All);
}

void FlowAgent::onPolicy(base::SocketAddress From, base::Revision Routes,
                         const TargetPolicy &Policy, base::TimePoint Now) {
  if (Policy.FailureDomain != Options.FailureDomain)
    return;
  if (Routes >= WarmupRoutes) {
    Warmup.set(Policy.WarmupFlowsPerSecond);
    WarmupRoutes = Routes;
  }
  applyEvacuation(Policy.Evacuation, From, Now);
}

void FlowAgent::applyEvacuation(const DomainEvacuation &Ordered,
                                base::SocketAddress From, base::TimePoint Now) {
  if (Ordered.Revision <= Evacuation.Revision)
    return;
  const bool Changed = Ordered.Evacuated != Evacuation.Evacuated;
  Evacuation = Ordered;
  if (!Changed)
    return;
  // The target may have to warm up again; its next heartbeat says so.
  if (!Evacuation.Evacuated && Warmup.value() > 0) {
    WarmupEnd = std::max(WarmupEnd, Now + Options.HeartbeatOverdue);
    ServiceTime.clear();
  }
  if (Hooks.OnEvacuation)
    Hooks.OnEvacuation(Evacuation, From);
  // Before the held packets, so that balancers do not offer these to other
  // targets of the domain.
  sendStatuses(Now, Audience::All);
  if (Evacuation.Evacuated)
    returnHeld(Held.takeAll(), ReturnReason::Evacuated, Now);
}

AgentFlowView FlowAgent::view(const FlowKey &Flow) const {
  AgentFlowView Result;
  Result.NotHeld = NotHeld.peek(Flow) != nullptr;
  if (const FlowRecord *Record = Flows.peek(Flow)) {
    Result.Known = true;
    Result.Open = Record->Open;
    Result.Waiting = Record->Waiting;
    Result.Class = Record->Class;
  }
  return Result;
}

// Returns the load for statuses. Late held openings do not count, since they do
// not delay new requests.
uint32_t FlowAgent::reportedLoad(base::TimePoint Now) const {
  return WaitingRequests + OpeningFlows +
         static_cast<uint32_t>(Held.countInTime(load(), Now));
}

TargetStatus FlowAgent::status(base::TimePoint Now) {
  TargetStatus Status;
  Status.Incarnation = Options.Incarnation;
  Status.Sequence = ++StatusSequence;
  Status.Service = base::serviceIdOf(Options.Target.Service);
  Status.FailureDomain = Options.FailureDomain;
  Status.State = AgentLeaving && State != TargetState::Stopped
                     ? TargetState::Leaving
                     : State;
  Status.Slots = Slots;
  Status.Waiting = reportedLoad(Now);
  Status.Flows = OpenFlows;
  Status.WarmupMs = static_cast<uint32_t>(
      base::toMilliseconds(std::max(WarmupEnd - Now, base::Duration(0))));
  Status.ServiceTimeUs = static_cast<uint32_t>(MeanServiceUs);
  Status.NewestRoutes = NewestRoutes;
  Status.NewestRoutesAt = NewestRoutesAt;
  Status.Evacuation = Evacuation;
  Status.WarmupFlowsPerSecond = Warmup.value();
  Status.SlotTimeUs = static_cast<uint32_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(
          ServiceTime.value().value_or(base::Duration(0)))
          .count());
  Status.HeldOpenings = static_cast<uint32_t>(Held.size());
  Status.EjectedMs =
      static_cast<uint32_t>(base::toMilliseconds(Ejection.remaining(Now)));
  return Status;
}

void FlowAgent::sendStatusTo(base::SocketAddress To, base::TimePoint Now) {
  FrameHeader Header;
  Header.Kind = FrameKind::Status;
  Header.Routes = NewestRoutes;
  Hooks.SendFrame(To, Header, packStatus(status(Now)));
}

void FlowAgent::sendStatuses(base::TimePoint Now, Audience To) {
  const auto Body = packStatus(status(Now));
  FrameHeader Header;
  Header.Kind = FrameKind::Status;
  Header.Routes = NewestRoutes;
  size_t Local = 0;
  for (const Balancer &Each : Balancers) {
    Local += Each.Local ? 1 : 0;
    if (Each.Local || To == Audience::All)
      Hooks.SendFrame(Each.Address, Header, Body);
  }
  LastSentLoad = reportedLoad(Now);
  LastSentFlows = OpenFlows;
  const auto Interval = [](base::Duration Shortest, size_t Receivers) {
    return std::max(Shortest, base::Duration(StatusTimePerBalancer *
                                             static_cast<int64_t>(Receivers)));
  };
  NextLocalStatus = Now + Interval(LocalStatusInterval, Local);
  if (To == Audience::All)
    NextStatus = Now + Interval(StatusInterval, Balancers.size());
}

} // namespace burdockstream::flows
