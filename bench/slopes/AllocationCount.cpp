#include "AllocationCount.h"

#include "burdockstream/bench/ThreadTime.h"

#include <cstdlib>
#include <malloc.h>
#include <new>

namespace {

int64_t AllocatedBytes = 0;
uint64_t AllocationCount = 0;

void deallocate(void *Memory) {
  if (Memory != nullptr)
    AllocatedBytes -= static_cast<int64_t>(malloc_usable_size(Memory));
  std::free(Memory);
}

} // namespace

void *operator new(size_t Size) {
  void *Memory = std::malloc(Size);
  if (Memory == nullptr)
    std::abort();
  AllocatedBytes += static_cast<int64_t>(malloc_usable_size(Memory));
  ++AllocationCount;
  return Memory;
}
void operator delete(void *Memory) noexcept { deallocate(Memory); }
void operator delete(void *Memory, size_t) noexcept { deallocate(Memory); }

namespace burdockstream::bench {

int64_t allocatedBytes() { return AllocatedBytes; }

uint64_t allocationCount() { return AllocationCount; }

double cpuMicroseconds(uint64_t Count, const std::function<void()> &Body) {
  const double Start = threadCpuSeconds();
  for (uint64_t I = 0; I < Count; ++I)
    Body();
  return (threadCpuSeconds() - Start) * 1e6 / static_cast<double>(Count);
}

} // namespace burdockstream::bench
