#include "burdockstream/routing/FlowHash.h"

#include "burdockstream/base/Hash.h"

namespace burdockstream::routing {

base::BucketIndex flowBucket(base::SocketAddress Caller,
                             base::ServiceId Service, uint64_t Seed,
                             uint16_t Buckets) {
  const uint64_t Hash =
      base::hashPair(base::packAddress(Caller), Service.Value, Seed);
  // Multiply-shift range reduction of the upper 32 hash bits. Unlike a modulo
  // it needs no division, and this runs for every datagram.
  return static_cast<base::BucketIndex>(((Hash >> 32) * Buckets) >> 32);
}

} // namespace burdockstream::routing
