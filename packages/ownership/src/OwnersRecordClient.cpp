#include "OwnersRecordClient.h"

#include "burdockstream/ownership/OwnershipCore.h"

#include <algorithm>
#include <glog/logging.h>
#include <utility>

namespace burdockstream::ownership::internal {
namespace {

using std::chrono::milliseconds;

// Back-off after conflicts: after a mass restart 100 agents may write at the
// same time, and one write takes about 20 ms.
constexpr base::Duration ConflictDelay = milliseconds(20);
constexpr base::Duration MaxConflictDelay = milliseconds(100);
constexpr base::Duration FailureDelay = milliseconds(200);
constexpr base::Duration MaxFailureDelay = milliseconds(5'000);
constexpr base::Duration OperationTimeout = milliseconds(15'000);
constexpr size_t MaxTrackedAttempts = 8;

base::Duration backoff(base::Duration First, base::Duration Max, uint32_t Count,
                       base::RandomSource &Random) {
  const base::Duration Full =
      std::min(Max, First * (1U << std::min(Count, 8U)));
  const auto Half = static_cast<uint64_t>(Full.count()) / 2;
  return base::Duration(Half + base::randomBelow(Random, Half + 1));
}

} // namespace

bool KnownRecord::fenced(base::DaemonId Id) const {
  const auto It = Fenced.find(Id);
  return It != Fenced.end() && ReceivedAt - It->second <= ConsentLifetime;
}

OwnersRecordClient::OwnersRecordClient(uint16_t InitBuckets,
                                       base::RandomSource &InitRandom)
    : Buckets(InitBuckets), Random(InitRandom) {}

void OwnersRecordClient::read(base::TimePoint Now, FenceTimes ActiveFences,
                              OwnershipSink &Sink) {
  CHECK(idle(Now));
  InFlight = Operation{++Operations, false, Now, std::move(ActiveFences), {}};
  Sink.emplace_back(ReadOwners{InFlight->Id});
}

void OwnersRecordClient::swap(base::TimePoint Now, FenceTimes ActiveFences,
                              OwnersRecord Record, OwnerEntry Self,
                              uint64_t LeasePeriod, OwnershipSink &Sink) {
  CHECK(idle(Now) && Known);
  // Each attempt has its own number, which identifies a timed-out write that
  // takes effect later.
  Self.WriteNumber = ++LastWriteNumber;
  Record.setOwner(Self);
  Record.removeOwnersWithoutBuckets();
  Record.Nonce = Random();
  Attempts.push_back({Self.WriteNumber, LeasePeriod});
  if (Attempts.size() > MaxTrackedAttempts)
    Attempts.pop_front();
  InFlight =
      Operation{++Operations, true, Now, std::move(ActiveFences), Record};
  Sink.emplace_back(
      SwapOwners{InFlight->Id, Known->StoreRevision, std::move(Record)});
}

void OwnersRecordClient::updateKnown(OwnersRecord Record,
                                     base::Revision StoreRevision,
                                     const Operation &Source,
                                     base::TimePoint Now) {
  if (StoreRevision == 0)
    Record = OwnersRecord{0, {}, std::vector<BucketEntry>(Buckets)};
  Known = KnownRecord{std::move(Record), StoreRevision, Source.SentAt, Now,
                      Source.ActiveFences};
  ReadRequired = false;
  if (Undecided && *Undecided != StoreRevision)
    Undecided.reset();
  Failures = 0;
}

void OwnersRecordClient::backOffAfterFailure(base::TimePoint Now) {
  NextOperation =
      Now + backoff(FailureDelay, MaxFailureDelay, Failures, Random);
  ++Failures;
}

void OwnersRecordClient::retryAfterConflict(base::TimePoint Now) {
  NextOperation =
      Now + backoff(ConflictDelay, MaxConflictDelay, Conflicts, Random);
  ++Conflicts;
}

// The number of buckets of a service never changes, so a record with another
// number must not be used.
bool OwnersRecordClient::hasWrongBucketCount(const StoreResult &Result,
                                             const Operation &Completed) const {
  const bool HasRecord =
      Result.Outcome == StoreOutcome::Conflict ||
      (Result.Outcome == StoreOutcome::Success && !Completed.Swap);
  return HasRecord && Result.StoreRevision != 0 &&
         Result.Record.Buckets.size() != Buckets;
}

bool OwnersRecordClient::handle(const StoreResult &Result, base::TimePoint Now,
                                OwnershipCounters &Counters) {
  if (!InFlight || InFlight->Id != Result.Operation)
    return false;
  const Operation Completed = std::move(*InFlight);
  InFlight.reset();
  if (hasWrongBucketCount(Result, Completed)) {
    ++Counters.StoreFailures;
    backOffAfterFailure(Now);
    return false;
  }
  switch (Result.Outcome) {
  case StoreOutcome::Success:
    Conflicts = Completed.Swap ? 0 : Conflicts;
    updateKnown(Completed.Swap ? Completed.Record : Result.Record,
                Result.StoreRevision, Completed, Now);
    return true;
  case StoreOutcome::Conflict:
    ++Counters.SwapConflicts;
    updateKnown(Result.Record, Result.StoreRevision, Completed, Now);
    retryAfterConflict(Now);
    return true;
  case StoreOutcome::Unknown:
    ReadRequired = true;
    if (Completed.Swap)
      Undecided = Known->StoreRevision;
    [[fallthrough]];
  case StoreOutcome::Unavailable:
    ++Counters.StoreFailures;
    backOffAfterFailure(Now);
    return false;
  }
  return false;
}

void OwnersRecordClient::expire(base::TimePoint Now,
                                OwnershipCounters &Counters) {
  if (InFlight && Now - InFlight->SentAt >= OperationTimeout)
    handle(StoreResult{InFlight->Id, StoreOutcome::Unknown, 0, {}}, Now,
           Counters);
}

uint64_t OwnersRecordClient::appliedPeriod(base::DaemonId Self) const {
  const OwnerEntry *Entry = Known ? Known->Record.owner(Self) : nullptr;
  if (!Entry)
    return 0;
  const auto It =
      std::ranges::find(Attempts, Entry->WriteNumber, &Attempt::WriteNumber);
  return It == Attempts.end() ? 0 : It->LeasePeriod;
}

} // namespace burdockstream::ownership::internal
