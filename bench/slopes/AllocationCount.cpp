#include "AllocationCount.h"

#include "burdockstream/bench/ThreadTime.h"

#include <cstdlib>
#include <malloc.h>
#include <new>

namespace {

int64_t Held = 0;
uint64_t Allocations = 0;

void release(void *Memory) {
  if (Memory != nullptr)
    Held -= static_cast<int64_t>(malloc_usable_size(Memory));
  std::free(Memory);
}

} // namespace

void *operator new(size_t Size) {
  void *Memory = std::malloc(Size);
  if (Memory == nullptr)
    std::abort();
  Held += static_cast<int64_t>(malloc_usable_size(Memory));
  ++Allocations;
  return Memory;
}
void operator delete(void *Memory) noexcept { release(Memory); }
void operator delete(void *Memory, size_t) noexcept { release(Memory); }

namespace burdockstream::bench {

int64_t heldBytes() { return Held; }

uint64_t allocations() { return Allocations; }

double cpuMicroseconds(uint64_t Count, const std::function<void()> &Body) {
  const double Start = threadCpuSeconds();
  for (uint64_t I = 0; I < Count; ++I)
    Body();
  return (threadCpuSeconds() - Start) * 1e6 / static_cast<double>(Count);
}

} // namespace burdockstream::bench
