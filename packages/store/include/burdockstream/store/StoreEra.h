// The history that a revision or a lease of the store belongs to. A store that
// returns from an older copy starts a new history: it gives out revisions and
// leases again that it has already given out in the one before.
#ifndef BURDOCKSTREAM_STORE_STOREERA_H
#define BURDOCKSTREAM_STORE_STOREERA_H

#include <cstdint>

namespace burdockstream::store {

// Number of a history; rises by one with each return from an older copy.
using Era = int64_t;

// The store does not number its histories, or has not answered yet.
inline constexpr Era UnknownEra = 0;

} // namespace burdockstream::store

#endif
