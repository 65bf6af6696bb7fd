// The result of measuring a data path, and the measurement of one step of it.
#ifndef BURDOCKSTREAM_BENCH_DATAPATH_MEASUREDPATH_H
#define BURDOCKSTREAM_BENCH_DATAPATH_MEASUREDPATH_H

#include "burdockstream/bench/RelayBench.h"

#include <functional>

namespace burdockstream::datapath {

struct PathResult {
  bench::RelayResult Relay;
  uint64_t Allocations = 0; // during the measured steps
  double BytesPerFlow = 0;  // heap memory, for paths that store flows
};

// Runs Step and adds its thread CPU time and its allocations to Result. Thread
// safety: the program must have one thread.
void measureStep(PathResult &Result, const std::function<void()> &Step);

} // namespace burdockstream::datapath

#endif
