// Ejects a target that fails requests: balancers place no flows there for some
// time. The agent decides it from what it sees of its target without reading
// contents.
//
// Load pattern: a target that fails every request at once has no work in
// progress, so it looks like the least loaded target and attracts most new
// flows of its failure domain. Many of these carry requests that the client may
// not repeat. The target's heartbeats and health checks may be good all the
// while, and it may fail and recover in turns.
//
// Rule: consecutive failures eject the target. After each ejection it gets
// flows again; until it has answered for a while, a single failure ejects it
// anew, for twice the time. Balancers ignore ejections if too many targets of a
// service are ejected at the same time.
#ifndef BURDOCKSTREAM_FLOWS_OUTLIEREJECTION_H
#define BURDOCKSTREAM_FLOWS_OUTLIEREJECTION_H

#include "burdockstream/base/Time.h"

#include <cstdint>

namespace burdockstream::flows {

// Consecutive failures that eject a target.
inline constexpr uint32_t FailuresToEject = 3;

// Time of the first ejection, and the upper limit of the doubled times.
inline constexpr base::Duration MinEjectionTime = std::chrono::seconds(2);
inline constexpr base::Duration MaxEjectionTime = std::chrono::seconds(16);

// Without a failure for this long after an ejection, earlier ejections no
// longer count.
inline constexpr base::Duration EjectionMemory = std::chrono::seconds(30);

// Thread safety, for all methods: one thread at a time. Precondition: Now does
// not decrease between calls.
class OutlierEjection {
public:
  // The target has answered a request.
  void recordAnswer() { Failures = 0; }

  // The target has aborted a flow instead of answering a request. Returns
  // whether this ejects the target.
  bool recordFailure(base::TimePoint Now);

  // Forgets all failures, since the target has been replaced.
  void clear() { *this = OutlierEjection(); }

  // Returns the time until the end of the ejection, 0 if there is none.
  base::Duration remaining(base::TimePoint Now) const;

private:
  uint32_t Failures = 0;             // consecutive ones
  base::Duration LastEjectionTime{}; // 0: none counts
  base::TimePoint EjectedUntil{};
};

} // namespace burdockstream::flows

#endif
