// The state of OwnershipCore. Its member functions are implemented in several
// source files, which include this header.
#ifndef BURDOCKSTREAM_OWNERSHIP_SRC_OWNERSHIPSTATE_H
#define BURDOCKSTREAM_OWNERSHIP_SRC_OWNERSHIPSTATE_H

#include "BucketStates.h"
#include "FenceTracker.h"
#include "MemberView.h"
#include "OwnersRecordClient.h"
#include "burdockstream/ownership/LeaseClient.h"
#include "burdockstream/ownership/OwnershipCore.h"

#include <limits>
#include <map>
#include <optional>
#include <vector>

namespace burdockstream::ownership {
namespace internal {

inline constexpr base::WallTime EarliestWallTime{
    std::numeric_limits<int64_t>::min()};
inline constexpr base::WallTime LatestWallTime{
    std::numeric_limits<int64_t>::max()};

struct LocalBucket {
  BucketState State = BucketState::Foreign;
  // As last reported to the caller.
  messages::BucketRole Role = messages::BucketRole::NotOwner;
  // The owner with the highest epoch that the record or a peer has reported.
  base::DaemonId Owner;
  base::Epoch OwnerEpoch = 0;
  bool OwnerDeparted = false;
  // The desired owner according to this agent's bucket table.
  base::DaemonId Desired;
  base::TimePoint DesiredSince;
  // Valid in states Held and HandingOver.
  base::WallTime UnknownBefore = EarliestWallTime;
  base::TimePoint NoHandoverBefore = base::TimePoint::min();
  // Valid in state HandingOver.
  base::DaemonId Target;
  base::TimePoint HandoverStartedAt;
  base::TimePoint ExportedAt;
  base::WallTime UnknownFrom;
  bool Acknowledged = false;
  bool Reclaim = false;
  // Valid in state Imported.
  base::DaemonId SnapshotFrom;
  base::Epoch SnapshotEpoch = 0;
  base::WallTime SnapshotUnknownBefore;
  base::WallTime SnapshotUnknownFrom;
  base::TimePoint ImportedAt;
};

// The next content of the ownership record. Changed: it must be written.
// NeedsRead: the known record is older than what peers have reported.
struct SwapPlan {
  OwnersRecord Record;
  bool Changed = false;
  bool NeedsRead = false;
};

} // namespace internal

struct OwnershipCore::State {
  State(OwnershipConfig InitConfig, base::RandomSource &InitRandom,
        base::Now Now);

  // OwnershipCore.cpp
  void run(base::Now Now, OwnershipSink &Sink);
  void updateLeaseState(base::Now Now);
  void sendRequests(base::TimePoint Now, OwnershipSink &Sink);
  void reportRoles(base::Now Now, OwnershipSink &Sink);
  void scheduleNext(base::TimePoint Now);
  bool busy() const;

  // BucketChanges.cpp
  void applyRecord(base::Now Now, OwnershipSink &Sink);
  void acquire(base::BucketIndex Bucket, base::Epoch NewEpoch, base::Now Now);
  void relinquish(base::BucketIndex Bucket, base::DaemonId Owner,
                  base::Epoch NewEpoch, OwnershipSink &Sink);
  void applyOwnerUpdate(const messages::BucketOwner &Update,
                        OwnershipSink &Sink);
  void discardStaleSnapshots();
  void announce(const std::vector<base::BucketIndex> &Buckets,
                OwnershipSink &Sink);
  void announceAll(base::TimePoint Now, OwnershipSink &Sink);

  // SwapPlanning.cpp
  void startStoreOperation(base::Now Now, OwnershipSink &Sink);
  internal::SwapPlan plan(base::TimePoint Now) const;
  void planBucket(base::BucketIndex Bucket, base::TimePoint Now,
                  internal::SwapPlan &Plan) const;
  bool shouldAcquire(const internal::LocalBucket &Bucket,
                     const BucketEntry &Entry, base::TimePoint Now) const;
  bool needsAffirmation(base::TimePoint Now) const;
  bool pollDue(base::TimePoint Now) const;
  bool hasNewFences(const internal::FenceTimes &ActiveFences) const;
  void updateFences(base::TimePoint Now);
  bool claimable(base::DaemonId Owner) const;

  // Handovers.cpp
  void startHandovers(base::Now Now, OwnershipSink &Sink);
  void checkHandovers(base::Now Now, OwnershipSink &Sink);
  bool handoverDue(const internal::LocalBucket &Bucket,
                   base::TimePoint Now) const;
  bool shouldReclaim(const internal::LocalBucket &Bucket,
                     base::TimePoint Now) const;
  void acceptTransfer(const messages::BucketTransfer &Transfer, base::Now Now,
                      OwnershipSink &Sink);
  bool acceptSnapshot(const messages::BucketSnapshot &Snapshot,
                      base::DaemonId From, base::Now Now);
  bool refusesPermanently(const messages::BucketSnapshot &Snapshot) const;
  void acknowledge(const messages::BucketTransferAck &Ack, base::Now Now);
  void reportDrain(base::TimePoint Now, OwnershipSink &Sink);

  // Authority.cpp
  bool affirmed(base::TimePoint Now) const;
  messages::BucketAuthority authority(base::BucketIndex Bucket,
                                      base::Now Now) const;
  messages::BucketAuthority
  foreignAuthority(const internal::LocalBucket &Bucket, base::Now Now) const;

  OwnershipConfig Config;
  base::RandomSource &Random;
  LeaseClient Lease;
  internal::FenceTracker Fences;
  internal::OwnersRecordClient Store;
  internal::MemberView Members;
  std::vector<internal::LocalBucket> LocalBuckets;
  OwnershipCounters Counters;

  // Lease period of the write with which this agent last confirmed its buckets.
  uint64_t AffirmedPeriod = 0;
  uint64_t LastSeenPeriod = 0;
  // The latest time at which this agent is known to have owned its buckets.
  base::WallTime OwnedUntil = internal::EarliestWallTime;
  base::TimePoint Started;
  base::TimePoint NextAnnouncement;
  base::TimePoint NextPoll;
  base::TimePoint NextTick;
  bool Draining = false;
  bool DrainReported = false;
  uint32_t BlockedBuckets = 0;
};

} // namespace burdockstream::ownership

#endif
