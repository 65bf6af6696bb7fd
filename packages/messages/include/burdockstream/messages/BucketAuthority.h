// Permissions of an agent for the requests of one bucket (a share of a
// service's callers) at one point in time. The ownership module computes them
// and request handling enforces them.
#ifndef BURDOCKSTREAM_MESSAGES_BUCKETAUTHORITY_H
#define BURDOCKSTREAM_MESSAGES_BUCKETAUTHORITY_H

#include "burdockstream/base/Ids.h"
#include "burdockstream/base/Time.h"

#include <cstdint>
#include <limits>

namespace burdockstream::messages {

enum class BucketRole : uint8_t {
  NotOwner, // forward packets to Owner
  Pending,  // a handover to this agent is in progress: buffer packets briefly
  Provisional, // idempotent requests and subscriptions only
  Suspended,   // recorded as owner, but the lease has expired: idempotent
               // requests only
  Owner,       // all requests, until LeaseEnd
};

struct BucketAuthority {
  BucketRole Role = BucketRole::NotOwner;
  base::DaemonId Owner; // NotOwner: where to forward packets; zero if unknown
  base::TimePoint LeaseEnd; // Owner: no non-idempotent request may start at the
                            // endpoint later
  base::WallTime UnknownBefore; // non-idempotent requests issued earlier may
                                // have run on another agent
  base::TimePoint RetryAt; // Provisional, Suspended: earliest time to retry
  // Provisional, Suspended: a non-idempotent request issued at this time or
  // later may be run by an owner that this agent has not learned of yet. It
  // must be refused with an unknown outcome; earlier ones may be refused as not
  // run.
  base::WallTime UnknownFrom{std::numeric_limits<int64_t>::max()};
};

} // namespace burdockstream::messages

#endif
