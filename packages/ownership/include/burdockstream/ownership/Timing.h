// Intervals of the lease and fence protocol (docs/design.md, section 8). They
// are not configurable, because all daemons must use the same values.
#ifndef BURDOCKSTREAM_OWNERSHIP_TIMING_H
#define BURDOCKSTREAM_OWNERSHIP_TIMING_H

#include "burdockstream/base/Time.h"

namespace burdockstream::ownership {

// An agent may use a grant for LeaseTerm after it sent the request. The arbiter
// retains the grant one third longer, so that clock rates may deviate by up to
// 10% in either direction (ratio 1.22).
inline constexpr base::Duration LeaseTerm = std::chrono::seconds(6);
inline constexpr base::Duration GrantRetention = std::chrono::seconds(8);
inline constexpr base::Duration LeaseRequestInterval = std::chrono::seconds(2);

// Without a lease an agent requests one more often, because it refuses callers'
// requests until it has one.
inline constexpr base::Duration SuspendedRequestInterval =
    std::chrono::milliseconds(500);

// Lifetime of a consent at the claimant. The claimant must complete its read of
// the ownership record while the consents that it relies on are not older.
inline constexpr base::Duration ConsentLifetime = std::chrono::seconds(4);

// How long an arbiter refuses grants after its latest consent. Any value above
// ConsentLifetime * 1.22 is safe, because an agent whose lease has lapsed must
// write the ownership record before it runs non-idempotent requests again.
inline constexpr base::Duration FenceRetention = std::chrono::seconds(10);

// A restarted arbiter has lost its grants, so it does not answer until all of
// them have expired.
inline constexpr base::Duration ArbiterRestartDelay = GrantRetention;

// Largest allowed difference between the wall clocks of callers and agents.
inline constexpr base::Duration MaxClockOffset = std::chrono::seconds(2);

} // namespace burdockstream::ownership

#endif
