#include "MeasuredPath.h"

#include "AllocationCount.h"
#include "burdockstream/bench/ThreadTime.h"

namespace burdockstream::datapath {

void measureStep(PathResult &Result, const std::function<void()> &Step) {
  const uint64_t AllocationsBefore = bench::allocationCount();
  const double Start = bench::threadCpuSeconds();
  Step();
  Result.Relay.CpuSeconds += bench::threadCpuSeconds() - Start;
  Result.Allocations += bench::allocationCount() - AllocationsBefore;
}

} // namespace burdockstream::datapath
