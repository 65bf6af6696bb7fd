// Counts the heap blocks that the program allocates through operator new, and
// measures processor time.
#ifndef BURDOCKSTREAM_BENCH_SLOPES_ALLOCATIONCOUNT_H
#define BURDOCKSTREAM_BENCH_SLOPES_ALLOCATIONCOUNT_H

#include <cstdint>
#include <functional>

namespace burdockstream::bench {

// Returns the usable size of all blocks that are held now, without the
// allocator's own overhead of 8 bytes per block. Thread safety: the program
// must have one thread.
int64_t heldBytes();

// Returns how many blocks were allocated so far. Thread safety: the program
// must have one thread.
uint64_t allocations();

// Returns the thread CPU time of one call of Body in microseconds, the mean of
// Count calls. Thread safety: any thread.
double cpuMicroseconds(uint64_t Count, const std::function<void()> &Body);

} // namespace burdockstream::bench

#endif
