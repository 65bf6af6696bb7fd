// Scheduling policies: the order in which queued requests are assigned to the
// endpoint's slots. A policy is a set of pure functions over plain data, so
// that benchmarks can compare policies without running an agent.
#ifndef BURDOCKSTREAM_REQUESTS_SCHEDULINGPOLICY_H
#define BURDOCKSTREAM_REQUESTS_SCHEDULINGPOLICY_H

#include "burdockstream/base/Time.h"
#include "burdockstream/records/ServiceConfig.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>

namespace burdockstream::requests {

// A request waiting for a slot.
struct QueuedWork {
  uint64_t Id = 0;
  records::WorkClass Class = records::WorkClass::Short;
  base::TimePoint Arrived;
  base::TimePoint Deadline;
  base::Duration Expected{0}; // predicted run time at the endpoint
};

// Current use of the endpoint's slots.
struct SlotUse {
  uint32_t Limit = 0; // slots that may be used now
  uint32_t RunningShort = 0;
  uint32_t RunningLong = 0;
};

// All functions must be set, except where noted.
struct SchedulingPolicy {
  std::string Name;
  // Returns the index of the entry to start next, or nullopt if all entries
  // must wait although a slot is free. Preconditions: Queue is not empty and is
  // in order of arrival; a slot is free.
  std::function<std::optional<size_t>(std::span<const QueuedWork> Queue,
                                      const SlotUse &Slots,
                                      base::TimePoint Now)>
      PickNext;
  // Returns whether the queued entry Other is expected to start before
  // Candidate; used to predict waiting times.
  std::function<bool(const QueuedWork &Candidate, const QueuedWork &Other)>
      StartsBefore;
  // Returns the time from which PickNext lets a waiting entry use a slot that
  // is reserved until then, or base::Never. May be empty if PickNext does not
  // depend on the time.
  std::function<base::TimePoint(std::span<const QueuedWork> Queue)> RetryAt =
      nullptr;
};

// First in, first out; the baseline for comparisons. Thread safety: any thread.
SchedulingPolicy makeFifoPolicy();

// Short work first, in order of arrival within each class. Long work never uses
// the reserved share of the slots, which is at least one slot if there are two
// or more. Long work starves while short work fills all slots.
// Precondition: 0 <= ReservedShare < 1. Thread safety: any thread.
SchedulingPolicy makeShortFirstPolicy(double ReservedShare);

// Short work first with a reserved share as in makeShortFirstPolicy, and
// earliest deadline first within each class. To prevent starvation, work that
// has waited for AgingLimit precedes all other work, in order of arrival.
// Preconditions: 0 <= ReservedShare < 1, AgingLimit > 0.
// Thread safety: any thread.
SchedulingPolicy makeDeadlinePolicy(double ReservedShare,
                                    base::Duration AgingLimit);

// Like makeDeadlinePolicy, but long work that has waited for BorrowLimit may
// also use reserved slots, so that the reservation does not limit the
// throughput of long work. Long work that has waited for AgingLimit precedes
// short work.
// Preconditions: 0 <= ReservedShare < 1, 0 < BorrowLimit <= AgingLimit.
// Thread safety: any thread.
SchedulingPolicy makeBorrowPolicy(double ReservedShare,
                                  base::Duration BorrowLimit,
                                  base::Duration AgingLimit);

} // namespace burdockstream::requests

#endif
