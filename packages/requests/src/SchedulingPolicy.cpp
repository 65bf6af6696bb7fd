#include "burdockstream/requests/SchedulingPolicy.h"

#include <algorithm>

namespace burdockstream::requests {

namespace {

using records::WorkClass;

// Returns whether long work may use an unreserved slot. A single slot is never
// reserved.
bool longMayStart(double ReservedShare, const SlotUse &Slots) {
  if (Slots.Limit < 2)
    return true;
  const auto Reserved = std::clamp<uint32_t>(
      static_cast<uint32_t>(ReservedShare * Slots.Limit), 1, Slots.Limit - 1);
  return Slots.RunningLong < Slots.Limit - Reserved;
}

// Returns the index of the entry of Class that Better ranks first, the oldest
// of equals, or nullopt if there is none.
template <typename BetterT>
std::optional<size_t> findBest(std::span<const QueuedWork> Queue,
                               WorkClass Class, BetterT Better) {
  std::optional<size_t> Best;
  for (size_t Index = 0; Index < Queue.size(); ++Index)
    if (Queue[Index].Class == Class &&
        (!Best || Better(Queue[Index], Queue[*Best])))
      Best = Index;
  return Best;
}

// Returns the index of the oldest entry that has waited for at least AgingLimit
// and may start, or nullopt.
std::optional<size_t> oldestAged(std::span<const QueuedWork> Queue,
                                 bool LongAllowed, base::Duration AgingLimit,
                                 base::TimePoint Now) {
  for (size_t Index = 0; Index < Queue.size(); ++Index)
    if (Now - Queue[Index].Arrived >= AgingLimit &&
        (LongAllowed || Queue[Index].Class == WorkClass::Short))
      return Index;
  return std::nullopt;
}

// Orders entries of one class by earliest deadline.
bool hasEarlierDeadline(const QueuedWork &Left, const QueuedWork &Right) {
  return Left.Deadline < Right.Deadline;
}

// Returns the index of the oldest long entry that has waited for at least
// Limit, or nullopt.
std::optional<size_t> oldestLong(std::span<const QueuedWork> Queue,
                                 base::Duration Limit, base::TimePoint Now) {
  for (size_t Index = 0; Index < Queue.size(); ++Index)
    if (Queue[Index].Class == WorkClass::Long &&
        Now - Queue[Index].Arrived >= Limit)
      return Index;
  return std::nullopt;
}

bool startsBeforeByClassThenDeadline(const QueuedWork &Candidate,
                                     const QueuedWork &Other) {
  if (Candidate.Class != Other.Class)
    return Other.Class == WorkClass::Short;
  return Other.Deadline <= Candidate.Deadline;
}

} // namespace

SchedulingPolicy makeFifoPolicy() {
  return {"fifo",
          [](std::span<const QueuedWork>, const SlotUse &, base::TimePoint) {
            return std::optional<size_t>(0);
          },
          [](const QueuedWork &, const QueuedWork &) { return true; }};
}

SchedulingPolicy makeShortFirstPolicy(double ReservedShare) {
  SchedulingPolicy Policy;
  Policy.Name = "short-first";
  Policy.PickNext = [ReservedShare](std::span<const QueuedWork> Queue,
                                    const SlotUse &Slots, base::TimePoint) {
    const auto Earlier = [](const QueuedWork &, const QueuedWork &) {
      return false; // the queue is in order of arrival
    };
    auto Index = findBest(Queue, WorkClass::Short, Earlier);
    if (!Index && longMayStart(ReservedShare, Slots))
      Index = findBest(Queue, WorkClass::Long, Earlier);
    return Index;
  };
  Policy.StartsBefore = [](const QueuedWork &Candidate,
                           const QueuedWork &Other) {
    return Candidate.Class == WorkClass::Long ||
           Other.Class == WorkClass::Short;
  };
  return Policy;
}

SchedulingPolicy makeDeadlinePolicy(double ReservedShare,
                                    base::Duration AgingLimit) {
  SchedulingPolicy Policy;
  Policy.Name = "deadline";
  Policy.PickNext = [ReservedShare,
                     AgingLimit](std::span<const QueuedWork> Queue,
                                 const SlotUse &Slots, base::TimePoint Now) {
    const bool LongAllowed = longMayStart(ReservedShare, Slots);
    auto Index = oldestAged(Queue, LongAllowed, AgingLimit, Now);
    if (!Index)
      Index = findBest(Queue, WorkClass::Short, hasEarlierDeadline);
    if (!Index && LongAllowed)
      Index = findBest(Queue, WorkClass::Long, hasEarlierDeadline);
    return Index;
  };
  Policy.StartsBefore = startsBeforeByClassThenDeadline;
  return Policy;
}

SchedulingPolicy makeBorrowPolicy(double ReservedShare,
                                  base::Duration BorrowLimit,
                                  base::Duration AgingLimit) {
  SchedulingPolicy Policy;
  Policy.Name = "borrow";
  Policy.PickNext = [ReservedShare, BorrowLimit,
                     AgingLimit](std::span<const QueuedWork> Queue,
                                 const SlotUse &Slots, base::TimePoint Now) {
    auto Index = oldestLong(Queue, AgingLimit, Now);
    if (!Index)
      Index = findBest(Queue, WorkClass::Short, hasEarlierDeadline);
    if (!Index && longMayStart(ReservedShare, Slots))
      Index = findBest(Queue, WorkClass::Long, hasEarlierDeadline);
    if (!Index)
      Index = oldestLong(Queue, BorrowLimit, Now);
    return Index;
  };
  Policy.StartsBefore = startsBeforeByClassThenDeadline;
  Policy.RetryAt = [BorrowLimit](std::span<const QueuedWork> Queue) {
    for (const QueuedWork &Entry : Queue)
      if (Entry.Class == WorkClass::Long)
        return Entry.Arrived + BorrowLimit;
    return base::Never;
  };
  return Policy;
}

} // namespace burdockstream::requests
