// A token bucket that limits the rate at which a daemon sends one kind of
// frame. A token is one frame or one byte, as the owner of the bucket defines.
#ifndef BURDOCKSTREAM_FLOWS_TOKENBUCKET_H
#define BURDOCKSTREAM_FLOWS_TOKENBUCKET_H

#include "burdockstream/base/Time.h"

#include <algorithm>

namespace burdockstream::flows {

// The bucket starts full. Not thread-safe.
class TokenBucket {
public:
  TokenBucket(double InitRatePerSecond, double InitBurst)
      : RatePerSecond(InitRatePerSecond), Burst(InitBurst), Tokens(InitBurst) {}

  // Refills the bucket and returns whether it holds Amount tokens.
  // Precondition: Now does not decrease between calls of any method.
  bool canConsume(double Amount, base::TimePoint Now) {
    const std::chrono::duration<double> Elapsed = Now - LastRefill;
    LastRefill = Now;
    Tokens = std::min(Burst, Tokens + Elapsed.count() * RatePerSecond);
    return Tokens >= Amount;
  }

  // Removes Amount tokens and returns true, or returns false and removes none
  // if the bucket holds fewer.
  bool consume(double Amount, base::TimePoint Now) {
    if (!canConsume(Amount, Now))
      return false;
    Tokens -= Amount;
    return true;
  }

private:
  double RatePerSecond;
  double Burst;
  double Tokens;
  base::TimePoint LastRefill{};
};

} // namespace burdockstream::flows

#endif
