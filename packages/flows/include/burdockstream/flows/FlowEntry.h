// A balancer's state of one flow: the target that its packets are forwarded to,
// and the offers of its opening packet.
#ifndef BURDOCKSTREAM_FLOWS_FLOWENTRY_H
#define BURDOCKSTREAM_FLOWS_FLOWENTRY_H

#include "burdockstream/base/Time.h"
#include "burdockstream/flows/OfferPolicy.h"
#include "burdockstream/flows/TargetTable.h"

#include <array>
#include <cstdint>
#include <optional>

namespace burdockstream::flows {

// Not thread-safe.
struct FlowEntry {
  TargetIndex Target = NoTarget;
  // Targets that the opening packet was sent to; the first Offers are valid.
  std::array<TargetIndex, MaxOffers> Offered{};
  uint8_t Offers = 0;
  uint8_t Refusals = 0;      // offers that were returned
  bool MayBeOpen = false;    // a target may have accepted it unnoticed
  uint8_t FurtherRounds = 0; // rounds of offers after the first one
  // When the client sent the first copy of its opening packet.
  base::TimePoint FirstCopySentAt{};

  // Returns whether an offer was neither returned nor written off.
  bool hasPendingOffer() const { return Offers > Refusals; }

  // Counts the return of the opening packet by From. In further rounds only the
  // last offer can be pending.
  void recordReturn(TargetIndex From) {
    if (FurtherRounds == 0)
      ++Refusals;
    else if (From == Target)
      Refusals = Offers;
  }

  // Returns the input of OfferPolicy.h. ExpectedWait is that of a new request
  // of the service, nullopt if unknown.
  OpeningProgress progress(base::TimePoint Now,
                           std::optional<base::Duration> ExpectedWait) const {
    return {Now - FirstCopySentAt, FurtherRounds, ExpectedWait};
  }
};

} // namespace burdockstream::flows

#endif
