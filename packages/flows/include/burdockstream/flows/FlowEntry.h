// A balancer's state of one flow: the target that its packets are forwarded to,
// and the offers of its opening packet.
#ifndef BURDOCKSTREAM_FLOWS_FLOWENTRY_H
#define BURDOCKSTREAM_FLOWS_FLOWENTRY_H

#include "burdockstream/base/Time.h"
#include "burdockstream/flows/OfferPolicy.h"
#include "burdockstream/flows/TargetTable.h"

#include <algorithm>
#include <array>
#include <bit>
#include <cstdint>
#include <optional>
#include <span>

namespace burdockstream::flows {

// Copies of an opening packet with this number or a higher one are not told
// apart: CopiesSeen has a bit for each number.
inline constexpr uint32_t MaxCopyNumber = 7;

// A copy of an opening packet may cross the return of an earlier one within
// this time: several round trips.
inline constexpr base::Duration ReturnCrossingTime =
    std::chrono::milliseconds(50);

// Not thread-safe.
struct FlowEntry {
  TargetIndex Target = NoTarget;
  // Targets that the opening packet was sent to; the first Offers are valid.
  std::array<TargetIndex, MaxOffers> Offered{};
  uint8_t Offers = 0;
  // Bit I: the offer to Offered[I] was returned, or is no longer awaited.
  uint8_t Returned = 0;
  bool MayBeOpen = false;    // a target may have accepted it unnoticed
  uint8_t CopiesSeen = 0;    // bit I: copy I of the opening packet
  uint8_t FurtherRounds = 0; // rounds of offers after the first one
  // Milliseconds from the first copy to the last offer, and to the last further
  // copy that was sent to the same target; 0: none.
  uint16_t OfferedAfterMs = 0;
  uint16_t CopyOfferedAfterMs = 0;
  // Sequence number of the client's opening packet; nothing if this balancer
  // has not received any.
  std::optional<uint32_t> OpeningSequence;
  // When the client sent the first copy of its opening packet.
  base::TimePoint FirstCopySentAt{};

  // Returns whether an opening packet with Sequence opens another flow: a
  // client that uses a port again starts with another number.
  bool isOfFormerFlow(uint32_t Sequence) const {
    return OpeningSequence && *OpeningSequence != Sequence;
  }

  // Returns whether the answer to an offer is awaited.
  bool hasPendingOffer() const { return Returned != allOffers(); }
  // Returns the last target with a pending offer. Precondition: there is one.
  TargetIndex pendingTarget() const {
    const auto Pending = static_cast<uint8_t>(allOffers() & ~Returned);
    return Offered[static_cast<size_t>(std::bit_width(Pending) - 1)];
  }
  uint8_t refusals() const {
    return static_cast<uint8_t>(std::popcount(Returned));
  }

  void recordOffer(TargetIndex To, base::TimePoint Now) {
    Target = To;
    Offered[Offers++] = To;
    OfferedAfterMs = millisecondsSinceFirstCopy(Now);
  }

  // Returns when the opening packet was sent to Target, rounded down to
  // milliseconds.
  base::TimePoint offeredAt() const {
    return FirstCopySentAt + std::chrono::milliseconds(OfferedAfterMs);
  }

  // Returns whether the offer to To is awaited.
  bool isPendingAt(TargetIndex To) const {
    for (size_t I = 0; I < Offers; ++I)
      if (Offered[I] == To && ((Returned >> I) & 1) == 0)
        return true;
    return false;
  }

  // Records that a further copy was sent to the target of a pending offer.
  void recordCopyOffer(base::TimePoint Now) {
    CopyOfferedAfterMs = millisecondsSinceFirstCopy(Now);
  }

  void forgetOffers() { Offers = Returned = 0; }

  // Gives up waiting for offers; their targets may still accept the flow.
  void giveUpPendingOffers() {
    MayBeOpen = MayBeOpen || hasPendingOffer();
    Returned = allOffers();
  }

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

  // Records that From has returned the opening packet. A copy that was sent to
  // it just before may have arrived after the return, and be accepted.
  void recordReturn(TargetIndex From, base::TimePoint Now) {
    for (size_t I = 0; I < Offers; ++I)
      if (Offered[I] == From)
        Returned = static_cast<uint8_t>(Returned | (1U << I));
    const base::Duration SinceCopy =
        Now - FirstCopySentAt - std::chrono::milliseconds(CopyOfferedAfterMs);
    if (CopyOfferedAfterMs != 0 && From == Target &&
        SinceCopy < ReturnCrossingTime)
      MayBeOpen = true;
  }

  // Returns the input of OfferPolicy.h. ExpectedWait is that of a new request
  // of the service, nullopt if unknown.
  OpeningProgress progress(base::TimePoint Now,
                           std::optional<base::Duration> ExpectedWait) const {
    const base::Duration Since = Now - FirstCopySentAt;
    return {Since, FurtherRounds, ExpectedWait,
            Since - std::chrono::milliseconds(OfferedAfterMs)};
  }

private:
  uint8_t allOffers() const { return static_cast<uint8_t>((1U << Offers) - 1); }
  uint16_t millisecondsSinceFirstCopy(base::TimePoint Now) const {
    return static_cast<uint16_t>(std::clamp<int64_t>(
        base::toMilliseconds(Now - FirstCopySentAt), 0, UINT16_MAX));
  }
};

} // namespace burdockstream::flows

#endif
