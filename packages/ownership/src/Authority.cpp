// Determines what an agent may do with the requests of a bucket. Called for
// each packet.
#include "OwnershipState.h"

#include <algorithm>

namespace burdockstream::ownership {
namespace {

using messages::BucketAuthority;
using messages::BucketRole;

// How long a new owner holds packets before it answers as provisional owner
// (docs/design.md, section 8).
constexpr base::Duration HoldDuration = std::chrono::milliseconds(1'500);

// Shorter than a claim takes, so that callers retry soon after it completes.
constexpr base::Duration RetryInterval = std::chrono::seconds(1);

} // namespace

bool OwnershipCore::State::affirmed(base::TimePoint Now) const {
  return Lease.held(Now) && AffirmedPeriod == Lease.period();
}

BucketAuthority
OwnershipCore::State::foreignAuthority(const internal::LocalBucket &Bucket,
                                       base::Now Now) const {
  BucketAuthority Result;
  const bool OwnerAlive = Bucket.Owner.Value != 0 && !Bucket.OwnerDeparted &&
                          Bucket.Owner != Config.Self;
  if (OwnerAlive || Bucket.Desired != Config.Self) {
    Result.Owner = OwnerAlive ? Bucket.Owner : Bucket.Desired;
    return Result;
  }
  // The records of the old owner are missing, so any request may have run
  // there.
  Result.Role = BucketRole::Provisional;
  Result.UnknownBefore = internal::LatestWallTime;
  Result.RetryAt =
      std::max(Store.nextOperation(), Now.Monotonic + RetryInterval);
  return Result;
}

BucketAuthority OwnershipCore::State::authority(base::BucketIndex Index,
                                                base::Now Now) const {
  const internal::LocalBucket &Bucket = LocalBuckets[Index];
  BucketAuthority Result;
  Result.RetryAt = Now.Monotonic + RetryInterval;
  switch (Bucket.State) {
  case internal::BucketState::Foreign:
    return foreignAuthority(Bucket, Now);
  case internal::BucketState::HandingOver:
    Result.Owner = Bucket.Target;
    return Result;
  case internal::BucketState::Imported:
    Result.Role = Now.Monotonic - Bucket.ImportedAt < HoldDuration
                      ? BucketRole::Pending
                      : BucketRole::Provisional;
    Result.UnknownBefore = Bucket.SnapshotUnknownBefore;
    Result.UnknownFrom = Bucket.SnapshotUnknownFrom;
    return Result;
  case internal::BucketState::Held:
    break;
  }
  Result.UnknownBefore = Bucket.UnknownBefore;
  Result.Owner = Config.Self;
  if (affirmed(Now.Monotonic)) {
    Result.Role = BucketRole::Owner;
    Result.LeaseEnd = Lease.leaseEnd();
  } else {
    Result.Role = BucketRole::Suspended;
    Result.UnknownFrom = OwnedUntil;
  }
  return Result;
}

} // namespace burdockstream::ownership
