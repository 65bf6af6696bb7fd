// Flows in the order in which something happened to them, for what ends some
// time after it.
#ifndef BURDOCKSTREAM_FLOWS_FLOWTIMES_H
#define BURDOCKSTREAM_FLOWS_FLOWTIMES_H

#include "burdockstream/base/Time.h"
#include "burdockstream/flows/FlowKey.h"

#include <deque>

namespace burdockstream::flows {

// Thread safety: one thread at a time.
class FlowTimes {
public:
  // Precondition: At is not before that of an earlier call.
  void add(const FlowKey &Flow, base::TimePoint At) {
    Entries.push_back({Flow, At});
  }

  // Gives entries that are older than Age to Take(Flow, At), oldest first, and
  // removes them.
  template <typename FunctionT>
  void takeOlder(base::Duration Age, base::TimePoint Now, FunctionT Take) {
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
