// Order of revisions across the eras of a store. A store that returns from an
// older copy starts a new era, in which it gives out again revisions and leases
// of the era before. An ordered revision has the era in its upper bits, so that
// every revision of a later era is higher.
#ifndef BURDOCKSTREAM_BASE_STOREERA_H
#define BURDOCKSTREAM_BASE_STOREERA_H

#include "burdockstream/base/Ids.h"

#include <algorithm>
#include <cstdint>

namespace burdockstream::base {

// Number of an era; rises by one with each return from an older copy.
using Era = int64_t;

// Era of a store that does not number its eras.
inline constexpr Era FirstEra = 1;

// Bits of an ordered revision that hold the revision within its era.
inline constexpr int RevisionBits = 40;

inline constexpr Era MaxEra = (Era{1} << (62 - RevisionBits)) - 1;

// A store may count from any number, such as the time of its start. Revisions
// that need more than RevisionBits are ordered in a second form, which has
// fewer bits for the era and compares higher than the first one. Both forms are
// ordered among themselves; a store whose counter passes 2^40 and which returns
// from a copy of before is not.
inline constexpr int LargeRevisionBits = 53; // exact in any JSON parser
inline constexpr Revision LargeRevisionMark = Revision{1} << 62;

inline constexpr Revision MaxRevisionInEra =
    (Revision{1} << LargeRevisionBits) - 1;

// The last era whose large revisions are ordered.
inline constexpr Era MaxLargeEra = (Era{1} << (62 - LargeRevisionBits)) - 1;

// Returns the ordered form of Given, which the store gave out in StoreEra. In
// the first era both are the same below 2^40, as in builds that do not know
// eras. Precondition: Given is from 0 to MaxRevisionInEra. Thread safety: any
// thread.
constexpr Revision orderRevision(Era StoreEra, Revision Given) {
  if (Given >> RevisionBits == 0)
    return ((std::clamp(StoreEra, FirstEra, MaxEra) - FirstEra)
            << RevisionBits) +
           Given;
  return LargeRevisionMark +
         ((std::clamp(StoreEra, FirstEra, MaxLargeEra) - FirstEra)
          << LargeRevisionBits) +
         Given;
}

// Return the era and the revision within it. Precondition: Ordered is not
// negative. Thread safety: any thread.
constexpr Era eraOf(Revision Ordered) {
  if ((Ordered & LargeRevisionMark) == 0)
    return (Ordered >> RevisionBits) + FirstEra;
  return ((Ordered - LargeRevisionMark) >> LargeRevisionBits) + FirstEra;
}
constexpr Revision givenRevision(Revision Ordered) {
  const bool IsLarge = (Ordered & LargeRevisionMark) != 0;
  const int Bits = IsLarge ? LargeRevisionBits : RevisionBits;
  return Ordered & ((Revision{1} << Bits) - 1);
}

} // namespace burdockstream::base

#endif
