// Maps a flow (caller address and service) to its bucket by a seeded hash.
#ifndef BURDOCKSTREAM_ROUTING_FLOWHASH_H
#define BURDOCKSTREAM_ROUTING_FLOWHASH_H

#include "burdockstream/base/Ids.h"
#include "burdockstream/base/SocketAddress.h"

namespace burdockstream::routing {

// Returns the bucket, in [0, Buckets), of the flow from Caller to Service. Seed
// is the hash seed of the cluster; daemons agree on the bucket only if their
// seeds and bucket counts are equal. Precondition: Buckets is not zero. Thread
// safety: any thread.
base::BucketIndex flowBucket(base::SocketAddress Caller,
                             base::ServiceId Service, uint64_t Seed,
                             uint16_t Buckets);

} // namespace burdockstream::routing

#endif
