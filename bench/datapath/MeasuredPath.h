// What the measured data paths share: their figures and one measured step.
#ifndef BURDOCKSTREAM_BENCH_DATAPATH_MEASUREDPATH_H
#define BURDOCKSTREAM_BENCH_DATAPATH_MEASUREDPATH_H

#include "burdockstream/bench/RelayBench.h"

#include <functional>

namespace burdockstream::datapath {

struct PathFigures {
  bench::RelayFigures Relay;
  uint64_t Allocations = 0; // during the measured steps
  double BytesPerFlow = 0;  // held by a path that keeps flows
};

// Adds the processor time and the allocations of Step to Figures. Thread
// safety: one thread.
void measureStep(PathFigures &Figures, const std::function<void()> &Step);

} // namespace burdockstream::datapath

#endif
