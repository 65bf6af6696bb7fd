// Limits the new flows of a target that is warming up to what operators state
// that it can take.
//
// Load pattern: a failure domain opens again after an evacuation, or a target
// has just started. It has no work, so all balancers place flows there at the
// same moment. Only the target's agent sees all of them, so it keeps the limit;
// what exceeds it is held, and offered to other targets after a short time.
#ifndef BURDOCKSTREAM_FLOWS_WARMUPLIMIT_H
#define BURDOCKSTREAM_FLOWS_WARMUPLIMIT_H

#include "burdockstream/base/Time.h"

#include <cstdint>
#include <deque>

namespace burdockstream::flows {

// The limit holds for any span of this length.
inline constexpr base::Duration WarmupWindow = std::chrono::seconds(1);

// Thread safety, for all methods: one thread at a time. Precondition: Now does
// not decrease between calls.
class WarmupLimit {
public:
  // Sets the number of flows per WarmupWindow; 0: no limit.
  void set(uint32_t FlowsPerWindow) { Limit = FlowsPerWindow; }
  uint32_t value() const { return Limit; }

  // Returns whether a target in warm-up can take one more flow now.
  bool admits(base::TimePoint Now);

  // The target in warm-up got a flow.
  void record(base::TimePoint Now);

private:
  uint32_t Limit = 0;
  std::deque<base::TimePoint> Recent; // flows of the last window, oldest first
};

} // namespace burdockstream::flows

#endif
