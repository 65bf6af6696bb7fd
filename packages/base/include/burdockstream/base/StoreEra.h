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

inline constexpr Revision MaxRevisionInEra = (Revision{1} << RevisionBits) - 1;

inline constexpr Era MaxEra = (Era{1} << (62 - RevisionBits)) - 1;

// Returns the ordered form of Given, which the store gave out in StoreEra. In
// the first era both are the same, as in builds that do not know eras.
// Precondition: Given is from 0 to MaxRevisionInEra. Thread safety: any thread.
constexpr Revision orderRevision(Era StoreEra, Revision Given) {
  return ((std::clamp(StoreEra, FirstEra, MaxEra) - FirstEra) << RevisionBits) +
         Given;
}

// Return the era and the revision within it. Precondition: Ordered is not
// negative. Thread safety: any thread.
constexpr Era eraOf(Revision Ordered) {
  return (Ordered >> RevisionBits) + FirstEra;
}
constexpr Revision givenRevision(Revision Ordered) {
  return Ordered & MaxRevisionInEra;
}

} // namespace burdockstream::base

#endif
