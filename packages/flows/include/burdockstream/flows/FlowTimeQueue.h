// A FIFO queue of flow events with their times, used to expire per-flow state a
// fixed time after an event without one timer per flow.
#ifndef BURDOCKSTREAM_FLOWS_FLOWTIMEQUEUE_H
#define BURDOCKSTREAM_FLOWS_FLOWTIMEQUEUE_H

#include "burdockstream/base/Time.h"
#include "burdockstream/flows/FlowKey.h"

#include <deque>

namespace burdockstream::flows {

// Events that no longer matter stay queued until they are old enough; the
// consumer checks whether they still apply. Not thread-safe.
class FlowTimeQueue {
public:
  // Appends an event of Flow. Precondition: At does not decrease between calls.
  void add(const FlowKey &Flow, base::TimePoint At) {
    Entries.push_back({Flow, At});
  }

  // Removes the events that are older than Age at Now and passes each to
  // Take(Flow, At), oldest first.
  template <typename FunctionT>
  void popOlderThan(base::Duration Age, base::TimePoint Now, FunctionT Take) {
    for (; !Entries.empty() && Now - Entries.front().At > Age;
         Entries.pop_front())
      Take(Entries.front().Flow, Entries.front().At);
  }

  void clear() { Entries.clear(); }

private:
  struct Entry {
    FlowKey Flow;
    base::TimePoint At;
  };
  std::deque<Entry> Entries;
};

} // namespace burdockstream::flows

#endif
