// Queue of requests waiting for a slot, and prediction of their waiting times.
#ifndef BURDOCKSTREAM_REQUESTS_WORKQUEUE_H
#define BURDOCKSTREAM_REQUESTS_WORKQUEUE_H

#include "burdockstream/requests/SchedulingPolicy.h"

#include <vector>

namespace burdockstream::requests {

// Not thread-safe.
class WorkQueue {
public:
  // Appends Entry. Precondition: its id is not in the queue.
  void push(const QueuedWork &Entry) { Entries.push_back(Entry); }

  // Removes the entry with Id, if there is one.
  void remove(uint64_t Id) {
    std::erase_if(Entries,
                  [Id](const QueuedWork &Entry) { return Entry.Id == Id; });
  }

  // Removes the entry that the policy starts next and returns its id, or
  // nullopt if the policy starts none.
  std::optional<uint64_t> pick(const SchedulingPolicy &Policy,
                               const SlotUse &Use, base::TimePoint Now);

  // Predicts how long Candidate waits for a slot. RunningRemainder is the sum
  // of the expected remaining run times of all running requests.
  base::Duration predictWait(const SchedulingPolicy &Policy,
                             const QueuedWork &Candidate, const SlotUse &Use,
                             base::Duration RunningRemainder) const;

  const std::vector<QueuedWork> &entries() const { return Entries; }
  size_t size() const { return Entries.size(); }

private:
  std::vector<QueuedWork> Entries; // in order of arrival
};

} // namespace burdockstream::requests

#endif
