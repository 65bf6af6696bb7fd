#include "burdockstream/flows/OfferPolicy.h"

#include "burdockstream/flows/HeldOpenings.h"

namespace burdockstream::flows {

bool repeatsOffers(base::Duration OpeningAttempt,
                   const std::optional<RequestTime> &RouteTime) {
  return OpeningAttempt > base::Duration(0) && RouteTime &&
         RouteTime->ToTimeLimit >= OpeningAttempt * MinAttemptsInTimeout;
}

bool mayBeHeld(uint8_t FurtherRounds, size_t Offers, size_t Candidates) {
  return FurtherRounds > 0 || Offers >= MaxOffers || Candidates <= 1;
}

bool expiresBeforeService(const OpeningProgress &Progress,
                          base::Duration Timeout) {
  return Progress.ExpectedWait &&
         Progress.SinceFirstCopy + *Progress.ExpectedWait >= Timeout;
}

RoundStep nextRound(const OpeningProgress &Progress,
                    base::Duration OpeningAttempt, base::Duration Timeout) {
  // A round that starts later than this may be held beyond the attempt.
  const base::Duration LastStart = OpeningAttempt - MaxHoldTime;
  if (Progress.SinceFirstCopy >= LastStart ||
      Progress.FurtherRounds == MaxFurtherRounds ||
      expiresBeforeService(Progress, Timeout))
    return RoundStep::Refuse;
  // A target that refuses the flow, instead of holding it, returns it at once.
  // Such targets must not cause a loop of offers.
  const base::Duration Earliest = MaxHoldTime * (Progress.FurtherRounds + 1);
  return Progress.SinceFirstCopy < Earliest ||
                 Progress.SinceLastOffer < MaxHoldTime
             ? RoundStep::Wait
             : RoundStep::Start;
}

} // namespace burdockstream::flows
