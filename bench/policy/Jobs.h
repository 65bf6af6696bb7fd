// Synthetic workloads, their requests (jobs), and the outcome of each request.
#ifndef BURDOCKSTREAM_BENCH_POLICY_JOBS_H
#define BURDOCKSTREAM_BENCH_POLICY_JOBS_H

#include "burdockstream/base/Random.h"
#include "burdockstream/base/Time.h"
#include "burdockstream/records/ServiceConfig.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

namespace burdockstream::bench {

enum class Outcome : uint8_t { Pending, Answered, Refused };

struct Job {
  records::WorkClass Class = records::WorkClass::Short;
  base::TimePoint Arrived;
  base::TimePoint Deadline;
  base::Duration RunTime{0}; // at a warmed-up endpoint
  std::optional<base::TimePoint> Started;
  base::TimePoint Ended;
  Outcome Result = Outcome::Pending;

  // Returns whether the job was answered by its deadline.
  bool metDeadline() const {
    return Result == Outcome::Answered && Ended <= Deadline;
  }
};

// An open-loop workload: arrivals do not wait for responses. The times between
// arrivals are exponential; run times are exponential and truncated at five
// times their mean.
struct Workload {
  // Arrivals per second, by the time since the start.
  std::function<double(base::Duration)> ArrivalRate;
  base::Duration Length{0};
  double LongFraction = 0; // share of arrivals that are long requests
  base::Duration ShortMean{0};
  base::Duration LongMean{0};
  base::Duration ShortTimeout{0}; // time from arrival to deadline
  base::Duration LongTimeout{0};
  uint64_t FlowsPerAgent = 200;
};

// Draws from the exponential distribution with the given mean, truncated at
// MaxFactor times Mean. Thread safety: as Random.
base::Duration drawExponential(base::RandomSource &Random, base::Duration Mean,
                               double MaxFactor = 5);

// Returns the mean run time of Load's requests in seconds, with the truncation
// taken into account. Thread safety: any thread.
double meanRunSeconds(const Workload &Load);

// Returns the smallest value that at least the given fraction of Values does
// not exceed (nearest-rank method), or zero if Values is empty. Thread safety:
// any thread.
base::Duration percentile(std::vector<base::Duration> Values, double Fraction);

} // namespace burdockstream::bench

#endif
