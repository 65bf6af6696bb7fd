// Concurrency limit of the endpoint with slow start and back-off, and the
// budget for retries.
#ifndef BURDOCKSTREAM_REQUESTS_SLOTS_H
#define BURDOCKSTREAM_REQUESTS_SLOTS_H

#include "burdockstream/requests/SchedulingPolicy.h"

#include <algorithm>

namespace burdockstream::requests {

// Limits the requests that run at the endpoint at the same time. Not
// thread-safe.
class Slots {
public:
  // Sets the upper bound from the configuration and the team's share.
  void setMaximum(uint32_t NewMaximum) { Maximum = NewMaximum; }

  // Slow start: a cold endpoint has one slot and gains one for each request
  // that completes before its deadline.
  void reset() { CurrentLimit = 1; }
  void grow() {
    CurrentLimit = std::min(CurrentLimit + 1, std::max(Maximum, 1U));
  }

  // Handles an overload response: halves the slots and starts nothing for
  // Pause.
  void shed(base::TimePoint Now, base::Duration Pause) {
    CurrentLimit = std::max(CurrentLimit / 2, 1U);
    PausedUntil = std::max(PausedUntil, Now + Pause);
  }

  // Precondition: available.
  void acquire(records::WorkClass Class) { ++count(Class); }
  // Precondition: a slot of Class is in use.
  void release(records::WorkClass Class) { --count(Class); }

  SlotUse use() const { return {limit(), RunningShort, RunningLong}; }
  uint32_t limit() const { return std::min(CurrentLimit, Maximum); }
  uint32_t running() const { return RunningShort + RunningLong; }
  // Returns whether a request may start now.
  bool available(base::TimePoint Now) const {
    return running() < limit() && Now >= PausedUntil;
  }
  base::TimePoint pausedUntil() const { return PausedUntil; }

private:
  uint32_t &count(records::WorkClass Class) {
    return Class == records::WorkClass::Short ? RunningShort : RunningLong;
  }

  uint32_t Maximum = 1;
  uint32_t CurrentLimit = 1;
  uint32_t RunningShort = 0;
  uint32_t RunningLong = 0;
  base::TimePoint PausedUntil = base::TimePoint::min();
};

// Limits retries to a share of the accepted requests. A fixed number of retries
// per request would multiply the load while the endpoint is failing. Not
// thread-safe.
class RetryBudget {
public:
  explicit RetryBudget(double InitShare) : Share(InitShare) {}

  // Adds the share that one accepted request contributes.
  void onAccepted() { Credit = std::min(Credit + Share, MaxCredit); }

  // Returns whether a retry is allowed, and charges it to the budget if so.
  bool tryConsume() {
    if (Credit < 1)
      return false;
    Credit -= 1;
    return true;
  }

private:
  // Unused credit is bounded, so that a long period without retries does not
  // permit a burst. The initial credit allows one retry.
  static constexpr double MaxCredit = 10;
  double Share;
  double Credit = 1;
};

} // namespace burdockstream::requests

#endif
