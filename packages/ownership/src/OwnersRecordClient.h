// Client of the ownership record in the store for one agent: issues at most one
// operation at a time, retries with jitter and tracks which of the agent's
// writes took effect.
#ifndef BURDOCKSTREAM_OWNERSHIP_SRC_OWNERSRECORDCLIENT_H
#define BURDOCKSTREAM_OWNERSHIP_SRC_OWNERSRECORDCLIENT_H

#include "FenceTracker.h"
#include "burdockstream/base/Random.h"
#include "burdockstream/ownership/OwnershipActions.h"

#include <deque>
#include <optional>

namespace burdockstream::ownership {

struct OwnershipCounters;

namespace internal {

// The record as it was in the store at some time between SentAt and ReceivedAt,
// the times of the request and of its answer.
struct KnownRecord {
  OwnersRecord Record;
  base::Revision StoreRevision = 0;
  base::TimePoint SentAt;
  base::TimePoint ReceivedAt;
  FenceTimes Fenced; // fences that were valid at SentAt

  // Returns whether Id was certainly fenced when the store was read. A consent
  // that has expired at ReceivedAt does not count, because it may have expired
  // before the store was read. Thread safety: const access only.
  bool fenced(base::DaemonId Id) const;
};

class OwnersRecordClient {
public:
  // Random must outlive the object. Thread safety: loop thread only.
  OwnersRecordClient(uint16_t Buckets, base::RandomSource &Random);

  // Returns whether a new operation may be started: none is in flight and the
  // back-off has elapsed. Thread safety: loop thread only.
  bool idle(base::TimePoint Now) const {
    return !InFlight && Now >= NextOperation;
  }

  // Returns the end of the back-off before the next operation. Thread safety:
  // loop thread only.
  base::TimePoint nextOperation() const { return NextOperation; }

  // Returns whether an operation has failed since the last success or conflict.
  // Thread safety: loop thread only.
  bool failing() const { return Failures > 0; }

  // Returns the latest record that was read or written, or std::nullopt before
  // the first. Thread safety: loop thread only.
  const std::optional<KnownRecord> &known() const { return Known; }

  // Starts a read. Precondition: idle(). Thread safety: loop thread only.
  void read(base::TimePoint Now, FenceTimes ActiveFences, OwnershipSink &Sink);

  // Starts a compare-and-swap to Record, after setting its nonce and the entry
  // of Self with a new write number. LeasePeriod is the current lease period,
  // or zero without a lease. Precondition: idle() and known(). Thread safety:
  // loop thread only.
  void swap(base::TimePoint Now, FenceTimes ActiveFences, OwnersRecord Record,
            OwnerEntry Self, uint64_t LeasePeriod, OwnershipSink &Sink);

  // Processes the outcome of an operation. Returns whether known() was updated.
  // Thread safety: loop thread only.
  bool handle(const StoreResult &Result, base::TimePoint Now,
              OwnershipCounters &Counters);

  // Treats an operation without an outcome for 15 s as one with an unknown
  // outcome. Thread safety: loop thread only.
  void expire(base::TimePoint Now, OwnershipCounters &Counters);

  // Requires a read before the next write. Thread safety: loop thread only.
  void requireRead() { ReadRequired = true; }

  // Returns whether the next operation must be a read. Thread safety: loop
  // thread only.
  bool readRequired() const { return ReadRequired || !Known; }

  // Returns whether a write may have taken effect that known() does not
  // reflect. Thread safety: loop thread only.
  bool unresolved() const { return InFlight || ReadRequired || undecided(); }

  // Returns whether a write with an unknown outcome may still take effect.
  // While the revision is unchanged a read cannot rule that out, but another
  // write can. Thread safety: loop thread only.
  bool undecided() const { return Undecided.has_value(); }

  // Returns the lease period in which the write was started whose number the
  // known record has for Self; zero if it is none of the latest writes of this
  // agent. Thread safety: loop thread only.
  uint64_t appliedPeriod(base::DaemonId Self) const;

private:
  struct Operation {
    uint64_t Id = 0;
    bool Swap = false;
    base::TimePoint SentAt;
    FenceTimes ActiveFences;
    OwnersRecord Record; // swap only: the written record
  };
  struct Attempt {
    uint64_t WriteNumber = 0;
    uint64_t LeasePeriod = 0;
  };

  void updateKnown(OwnersRecord Record, base::Revision StoreRevision,
                   const Operation &Source, base::TimePoint Now);
  bool hasWrongBucketCount(const StoreResult &Result,
                           const Operation &Completed) const;
  void backOffAfterFailure(base::TimePoint Now);
  void retryAfterConflict(base::TimePoint Now);

  uint16_t Buckets;
  base::RandomSource &Random;
  std::optional<KnownRecord> Known;
  std::optional<Operation> InFlight;
  std::deque<Attempt> Attempts;
  uint64_t Operations = 0;
  uint64_t LastWriteNumber = 0;
  base::TimePoint NextOperation = base::TimePoint::min();
  uint32_t Failures = 0;
  uint32_t Conflicts = 0;
  bool ReadRequired = false;
  // Revision expected by the write whose outcome is unknown.
  std::optional<base::Revision> Undecided;
};

} // namespace internal
} // namespace burdockstream::ownership

#endif
