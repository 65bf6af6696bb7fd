// Limits how many frames of one kind a daemon sends a second.
#ifndef BURDOCKSTREAM_FLOWS_FRAMEBUDGET_H
#define BURDOCKSTREAM_FLOWS_FRAMEBUDGET_H

#include "burdockstream/base/Time.h"

#include <algorithm>

namespace burdockstream::flows {

// Thread safety: one thread at a time.
class FrameBudget {
public:
  FrameBudget(double InitPerSecond, double InitBurst)
      : PerSecond(InitPerSecond), Burst(InitBurst), Available(InitBurst) {}

  // Takes Frames if there are as many. Precondition: Now is not before that of
  // an earlier call.
  bool take(double Frames, base::TimePoint Now) {
    const std::chrono::duration<double> Elapsed = Now - RefilledAt;
    RefilledAt = Now;
    Available = std::min(Burst, Available + Elapsed.count() * PerSecond);
    if (Available < Frames)
      return false;
    Available -= Frames;
    return true;
  }

private:
  double PerSecond;
  double Burst;
  double Available;
  base::TimePoint RefilledAt{};
};

} // namespace burdockstream::flows

#endif
