// CPU time of the calling thread. Unlike wall time, it does not grow with other
// load on the machine.
#ifndef BURDOCKSTREAM_BENCH_THREADTIME_H
#define BURDOCKSTREAM_BENCH_THREADTIME_H

#include <ctime>

namespace burdockstream::bench {

// Returns the CPU time of the calling thread in seconds. Thread safety: any
// thread.
inline double threadCpuSeconds() {
  timespec Time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &Time);
  return static_cast<double>(Time.tv_sec) +
         static_cast<double>(Time.tv_nsec) / 1e9;
}

} // namespace burdockstream::bench

#endif
