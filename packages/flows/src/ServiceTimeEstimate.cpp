#include "burdockstream/flows/ServiceTimeEstimate.h"

namespace burdockstream::flows {

void ServiceTimeEstimate::advance(uint32_t Busy, base::TimePoint Now) {
  if (CountedUntil)
    BusySeconds +=
        Busy * std::chrono::duration<double>(Now - *CountedUntil).count();
  CountedUntil = Now;
}

void ServiceTimeEstimate::recordAnswer() {
  Answers = Answers * AnswerDecay + 1;
  BusySeconds *= AnswerDecay;
}

std::optional<base::Duration> ServiceTimeEstimate::value() const {
  if (Answers < MinAnswersForEstimate)
    return std::nullopt;
  return std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double>(BusySeconds / Answers));
}

} // namespace burdockstream::flows
