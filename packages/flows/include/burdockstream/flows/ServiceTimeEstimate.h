// Estimates the mean service time of a target's requests from the traffic that
// passes its agent.
//
// By Little's law, the mean service time is the busy time of the slots divided
// by the number of requests answered in that time. Time in the target's queue
// is not counted, so the estimate stays valid under overload and follows the
// target through its warm-up.
#ifndef BURDOCKSTREAM_FLOWS_SERVICETIMEESTIMATE_H
#define BURDOCKSTREAM_FLOWS_SERVICETIMEESTIMATE_H

#include "burdockstream/base/Time.h"

#include <cstdint>
#include <optional>

namespace burdockstream::flows {

// Answers required before an estimate is available. The longest requests take
// several times the mean, so fewer answers do not give a usable mean.
inline constexpr double MinAnswersForEstimate = 8;

// Exponential decay per answer: the estimate covers about the last 32 answers,
// so that it follows a warm-up of a few seconds.
inline constexpr double AnswerDecay = 1 - 1.0 / 32;

// Not thread-safe.
class ServiceTimeEstimate {
public:
  // Accounts the time since the last call, during which Busy slots were
  // working. Precondition: Now does not decrease between calls.
  void advance(uint32_t Busy, base::TimePoint Now);

  // Counts one answered request.
  void recordAnswer();

  // Returns the mean service time, or nullopt before MinAnswersForEstimate.
  std::optional<base::Duration> value() const;

  // Discards all measurements.
  void clear() { *this = ServiceTimeEstimate(); }

private:
  std::optional<base::TimePoint> CountedUntil;
  double BusySeconds = 0;
  double Answers = 0;
};

} // namespace burdockstream::flows

#endif
