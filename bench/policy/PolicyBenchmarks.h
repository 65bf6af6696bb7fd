// Benchmarks of the scheduling and placement policies against the criteria of
// docs/design.md, section 2.2. They run in virtual time; the results depend
// only on the options.
#ifndef BURDOCKSTREAM_BENCH_POLICY_POLICYBENCHMARKS_H
#define BURDOCKSTREAM_BENCH_POLICY_POLICYBENCHMARKS_H

#include "Report.h"

#include "burdockstream/base/Time.h"

#include <cstdint>

namespace burdockstream::bench {

struct BenchmarkOptions {
  uint64_t Seed = 20261204;
  // Time over which requests arrive in each run of measureShortWait.
  base::Duration Length = std::chrono::seconds(1200);
};

// Measures how many flows break and how unevenly load is spread when the set of
// endpoints changes. Thread safety: any thread, as for all functions below.
BenchmarkResult measureBalance(const BenchmarkOptions &Options);

// Measures goodput and latency at the peak of a demand surge.
BenchmarkResult measureSurge(const BenchmarkOptions &Options);

// Measures how long short requests queue behind long ones.
BenchmarkResult measureShortWait(const BenchmarkOptions &Options);

} // namespace burdockstream::bench

#endif
