#include "WorkQueue.h"

#include <glog/logging.h>

namespace burdockstream::requests {

std::optional<uint64_t> WorkQueue::pick(const SchedulingPolicy &Policy,
                                        const SlotUse &Use,
                                        base::TimePoint Now) {
  if (Entries.empty())
    return std::nullopt;
  const std::optional<size_t> Index = Policy.PickNext(Entries, Use, Now);
  if (!Index)
    return std::nullopt;
  CHECK_LT(*Index, Entries.size()) << "scheduling policy " << Policy.Name
                                   << " returned an index beyond the queue";
  const uint64_t Id = Entries[*Index].Id;
  Entries.erase(Entries.begin() + static_cast<ptrdiff_t>(*Index));
  return Id;
}

base::Duration WorkQueue::predictWait(const SchedulingPolicy &Policy,
                                      const QueuedWork &Candidate,
                                      const SlotUse &Use,
                                      base::Duration RunningRemainder) const {
  base::Duration Ahead{0};
  for (const QueuedWork &Other : Entries)
    if (Policy.StartsBefore(Candidate, Other))
      Ahead += Other.Expected;
  const uint32_t Running = Use.RunningShort + Use.RunningLong;
  if (Running < Use.Limit && Ahead.count() == 0)
    return base::Duration{0};
  return (Ahead + RunningRemainder) / std::max(Use.Limit, 1U);
}

} // namespace burdockstream::requests
