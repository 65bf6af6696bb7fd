#include "burdockstream/membership/WatcherElection.h"

#include <algorithm>

namespace burdockstream::membership {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr size_t FrequentRanks = 4;
constexpr base::Duration FrequentAttemptInterval = seconds(5);
constexpr base::Duration MaxAttemptInterval = seconds(300);
constexpr base::Duration InitialBackoff = milliseconds(500);
constexpr base::Duration WatchRestartDelay = seconds(1);
// A call without a result after this time has failed. It is shorter than the
// lease, which must be extended before it expires.
constexpr base::Duration StoreCallTimeout = seconds(4);
constexpr base::Duration KeepAliveInterval = WatcherLease / 3;
constexpr base::Duration KeepAliveRetryDelay = seconds(1);

} // namespace

base::Duration watcherAttemptInterval(size_t Rank) {
  base::Duration Result = FrequentAttemptInterval;
  for (size_t R = FrequentRanks; R <= Rank && Result < MaxAttemptInterval;
       R += 2)
    Result *= 2;
  return std::min(Result, MaxAttemptInterval);
}

void WatcherElection::setRank(size_t NewRank, base::TimePoint Now) {
  if (Rank == NewRank)
    return;
  const bool Better = !Rank || NewRank < *Rank;
  Rank = NewRank;
  // The first attempt is made at a random time within the interval, because
  // after a start of the whole cluster all balancers call this at the same
  // time.
  if (Better && Pending == Call::None && !Slot)
    NextAttempt =
        std::min(NextAttempt,
                 Now + base::Duration(base::randomBelow(
                           *Random, watcherAttemptInterval(NewRank).count())));
}

void WatcherElection::advanceKnownRevision(base::Revision Revision) {
  KnownRevision = std::max(KnownRevision, Revision);
}

void WatcherElection::handle(const watcher::Event &Body, base::TimePoint Now,
                             watcher::Sink &Sink) {
  std::visit([&](const auto &E) { on(E, Now, Sink); }, Body);
}

void WatcherElection::tick(base::TimePoint Now, watcher::Sink &Sink) {
  if (Slot && Now >= LeaseEnd) {
    stepDown(Now, Sink);
    return;
  }
  if (Pending != Call::None && Now >= CallTimeout)
    callFailed(Now, Sink);
  if (Slot && Now >= NextWatch) {
    NextWatch = base::Never;
    Sink.push_back(
        watcher::StartWatch{KnownRevision == 0 ? 0 : KnownRevision + 1});
  }
  if (Pending != Call::None)
    return;
  if (Slot && Now >= NextKeepAlive) {
    beginCall(Call::KeepAlive, Now);
    Sink.push_back(watcher::KeepAlive{Lease});
  } else if (!Slot && Now >= NextAttempt) {
    beginCall(Call::ReadKeys, Now);
    Sink.push_back(watcher::ReadKeys{});
  }
}

base::TimePoint WatcherElection::nextDeadline() const {
  base::TimePoint Next = Pending != Call::None ? CallTimeout
                         : Slot                ? NextKeepAlive
                                               : NextAttempt;
  if (Slot)
    Next = std::min({Next, LeaseEnd, NextWatch});
  return Next;
}

void WatcherElection::beginCall(Call Kind, base::TimePoint Now) {
  Pending = Kind;
  CallBegan = Now;
  CallTimeout = Now + StoreCallTimeout;
  NextAttempt = base::Never;
}

base::Duration WatcherElection::jitter(base::Duration Mean) {
  return Mean / 2 + base::Duration(base::randomBelow(
                        *Random, static_cast<uint64_t>(Mean.count())));
}

void WatcherElection::waitForNextAttempt(base::TimePoint Now) {
  Backoff = base::Duration(0);
  NextAttempt = Now + jitter(watcherAttemptInterval(Rank.value_or(0)));
}

void WatcherElection::retryAfterError(base::TimePoint Now) {
  // The backoff is limited to the interval of the rank, so that all balancers
  // together never call the store more often after an outage than without one.
  Backoff = std::clamp(2 * Backoff, InitialBackoff,
                       watcherAttemptInterval(Rank.value_or(0)));
  NextAttempt = Now + jitter(Backoff);
}

void WatcherElection::stepDown(base::TimePoint Now, watcher::Sink &Sink) {
  Slot.reset();
  Pending = Call::None;
  NextWatch = base::Never;
  Sink.push_back(watcher::StopWatch{});
  retryAfterError(Now);
}

void WatcherElection::callFailed(base::TimePoint Now, watcher::Sink &Sink) {
  const Call Failed = Pending;
  Pending = Call::None;
  if (Failed != Call::KeepAlive)
    retryAfterError(Now);
  else if (Now >= LeaseEnd)
    stepDown(Now, Sink);
  else
    NextKeepAlive = Now + KeepAliveRetryDelay;
}

void WatcherElection::takeFirstFreeKey(base::TimePoint Now,
                                       watcher::Sink &Sink) {
  const auto Free = std::find(Held.begin(), Held.end(), false);
  if (Free == Held.end()) {
    // The unused lease expires by itself; revoking it would cost another write.
    Pending = Call::None;
    waitForNextAttempt(Now);
    return;
  }
  CandidateSlot = static_cast<size_t>(Free - Held.begin());
  // The lease runs from the time when it was requested.
  const base::TimePoint Requested = CallBegan;
  beginCall(Call::TakeKey, Now);
  CallBegan = Requested;
  Sink.push_back(watcher::TakeKey{CandidateSlot, Lease});
}

void WatcherElection::on(const watcher::KeysRead &Body, base::TimePoint Now,
                         watcher::Sink &Sink) {
  if (Pending != Call::ReadKeys)
    return;
  Held = Body.Held;
  if (std::find(Held.begin(), Held.end(), false) == Held.end()) {
    Pending = Call::None;
    waitForNextAttempt(Now);
    return;
  }
  beginCall(Call::Lease, Now);
  Sink.push_back(watcher::RequestLease{});
}

void WatcherElection::on(const watcher::LeaseGranted &Body, base::TimePoint Now,
                         watcher::Sink &Sink) {
  if (Pending != Call::Lease)
    return;
  Lease = Body.Lease;
  takeFirstFreeKey(Now, Sink);
}

void WatcherElection::on(const watcher::KeyTaken &, base::TimePoint Now,
                         watcher::Sink &Sink) {
  if (Pending != Call::TakeKey)
    return;
  Pending = Call::None;
  Backoff = base::Duration(0);
  Slot = CandidateSlot;
  LeaseEnd = CallBegan + WatcherLease;
  NextKeepAlive = Now + KeepAliveInterval;
  Sink.push_back(
      watcher::StartWatch{KnownRevision == 0 ? 0 : KnownRevision + 1});
}

void WatcherElection::on(const watcher::KeyLost &, base::TimePoint Now,
                         watcher::Sink &Sink) {
  if (Slot) {
    stepDown(Now, Sink);
  } else if (Pending == Call::TakeKey) {
    Held[CandidateSlot] = true;
    takeFirstFreeKey(Now, Sink);
  }
}

void WatcherElection::on(const watcher::KeepAliveConfirmed &,
                         base::TimePoint Now, watcher::Sink &) {
  if (Pending != Call::KeepAlive)
    return;
  Pending = Call::None;
  LeaseEnd = CallBegan + WatcherLease;
  NextKeepAlive = Now + KeepAliveInterval;
}

void WatcherElection::on(const watcher::StoreError &, base::TimePoint Now,
                         watcher::Sink &Sink) {
  if (Pending != Call::None)
    callFailed(Now, Sink);
}

void WatcherElection::on(const watcher::WatchEnded &Body, base::TimePoint Now,
                         watcher::Sink &) {
  if (Body.Compacted)
    KnownRevision = 0;
  if (Slot)
    NextWatch = Now + jitter(WatchRestartDelay);
}

} // namespace burdockstream::membership
