#include "MeasuredPath.h"

#include "AllocationCount.h"
#include "burdockstream/bench/ThreadTime.h"

namespace burdockstream::datapath {

void measureStep(PathFigures &Figures, const std::function<void()> &Step) {
  const uint64_t Before = bench::allocations();
  const double Start = bench::threadCpuSeconds();
  Step();
  Figures.Relay.CpuSeconds += bench::threadCpuSeconds() - Start;
  Figures.Allocations += bench::allocations() - Before;
}

} // namespace burdockstream::datapath
