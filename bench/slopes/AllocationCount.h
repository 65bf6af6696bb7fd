// Replaces operator new and delete to count heap allocations, and measures CPU
// time per call.
#ifndef BURDOCKSTREAM_BENCH_SLOPES_ALLOCATIONCOUNT_H
#define BURDOCKSTREAM_BENCH_SLOPES_ALLOCATIONCOUNT_H

#include <cstdint>
#include <functional>

namespace burdockstream::bench {

// Returns the total usable size of the blocks that are allocated now, without
// the allocator's overhead of 8 bytes per block. Thread safety: the program
// must have one thread.
int64_t allocatedBytes();

// Returns the number of allocations since the start of the program. Thread
// safety: the program must have one thread.
uint64_t allocationCount();

// Calls Body Count times and returns the mean thread CPU time of a call in
// microseconds. Precondition: Count is not zero. Thread safety: any thread.
double cpuMicroseconds(uint64_t Count, const std::function<void()> &Body);

} // namespace burdockstream::bench

#endif
