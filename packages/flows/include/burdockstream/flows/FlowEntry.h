// A balancer's state of one flow: the target that its packets are forwarded to,
// and the offers of its opening packet.
#ifndef BURDOCKSTREAM_FLOWS_FLOWENTRY_H
#define BURDOCKSTREAM_FLOWS_FLOWENTRY_H

#include "burdockstream/base/Time.h"
#include "burdockstream/flows/OfferPolicy.h"
#include "burdockstream/flows/TargetTable.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <optional>
#include <span>

namespace burdockstream::flows {

// Copies of an opening packet with this number or a higher one are not told
// apart.
inline constexpr uint32_t MaxCopyNumber = 7;

// Not thread-safe.
struct FlowEntry {
  TargetIndex Target = NoTarget;
  // Targets that the opening packet was sent to; the first Offers are valid.
  std::array<TargetIndex, MaxOffers> Offered{};
  uint8_t Offers = 0;
  uint8_t Refusals = 0;      // offers that were returned
  bool MayBeOpen = false;    // a target may have accepted it unnoticed
  uint8_t CopiesSeen = 0;    // bit I: copy I of the opening packet
  uint8_t FurtherRounds = 0; // rounds of offers after the first one
  // When the client sent the first copy of its opening packet.
  base::TimePoint FirstCopySentAt{};

  // Returns whether an offer was neither returned nor written off.
  bool hasPendingOffer() const { return Offers > Refusals; }

  // Records that copy number Copy of the opening packet has arrived; the first
  // one starts an attempt.
  void recordCopy(uint32_t Copy) {
    const uint8_t Before = Copy == 0 ? 0 : CopiesSeen;
    CopiesSeen =
        static_cast<uint8_t>(Before | (1U << std::min(Copy, MaxCopyNumber)));
  }

  // Returns whether a target may have accepted the flow without this balancer's
  // knowledge: an offer has no answer, or the client has sent a copy, by the
  // times after the first one in CopyTimes, that did not arrive here and that
  // the fabric may have given to another balancer.
  bool mayBeOpen(std::span<const base::Duration> CopyTimes,
                 base::TimePoint Now) const {
    for (size_t I = 0; I < std::min<size_t>(CopyTimes.size(), MaxCopyNumber);
         ++I)
      if (CopyTimes[I] <= Now - FirstCopySentAt && ((CopiesSeen >> I) & 1) == 0)
        return true;
    return MayBeOpen || hasPendingOffer();
  }

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
