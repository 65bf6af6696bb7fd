// Applies changes of bucket ownership that are reported by the ownership record
// or by peers.
#include "OwnershipState.h"

#include <algorithm>

namespace burdockstream::ownership {
namespace {

using internal::BucketEvent;
using internal::BucketState;
using internal::LocalBucket;
using messages::MemberState;

// A lost update is compensated by the next one. With 100 agents per service
// each agent has about 280 B/s of such traffic.
constexpr base::Duration AnnouncementInterval = std::chrono::seconds(30);

// Delay before a bucket is handed over again after an aborted handover.
constexpr base::Duration HandoverRetryDelay = std::chrono::seconds(3);

} // namespace

void OwnershipCore::State::acquire(base::BucketIndex Index,
                                   base::Epoch NewEpoch, base::Now Now) {
  LocalBucket &Bucket = LocalBuckets[Index];
  // The snapshot is complete only if its sender was the immediately preceding
  // owner: it stopped running requests before it wrote the snapshot, and no
  // other agent can have run any since.
  const bool Complete = Bucket.State == BucketState::Imported &&
                        Bucket.SnapshotEpoch + 1 == NewEpoch &&
                        Bucket.OwnerEpoch == Bucket.SnapshotEpoch &&
                        Bucket.Owner == Bucket.SnapshotFrom;
  if (Complete) {
    Bucket.UnknownBefore = Bucket.SnapshotUnknownBefore;
    ++Counters.HandoversIn;
  } else if (NewEpoch == 1) {
    Bucket.UnknownBefore = internal::EarliestWallTime;
    ++Counters.FirstAssignments;
  } else {
    // This includes an aborted handover: the other agent may have refused
    // requests as not run, and those must not run here later.
    Bucket.UnknownBefore = {
        Now.Wall.Milliseconds +
        std::chrono::duration_cast<std::chrono::milliseconds>(MaxClockOffset)
            .count()};
    ++(Bucket.State == BucketState::HandingOver ? Counters.Reclaims
                                                : Counters.Claims);
  }
  if (Bucket.State == BucketState::HandingOver)
    Bucket.NoHandoverBefore = Now.Monotonic + HandoverRetryDelay;
  Bucket.State = next(Bucket.State, BucketEvent::RecordNamesSelf);
  Bucket.Owner = Config.Self;
  Bucket.OwnerEpoch = NewEpoch;
}

void OwnershipCore::State::relinquish(base::BucketIndex Index,
                                      base::DaemonId Owner,
                                      base::Epoch NewEpoch,
                                      OwnershipSink &Sink) {
  LocalBucket &Bucket = LocalBuckets[Index];
  ExportedBucket Exported{Index, Bucket.OwnerEpoch, Bucket.UnknownBefore,
                          OwnedUntil};
  bool HasState = Bucket.State == BucketState::Held;
  if (Bucket.State == BucketState::HandingOver) {
    Counters.HandoversOut += Owner == Bucket.Target ? 1 : 0;
    HasState = Owner != Bucket.Target || !Bucket.Acknowledged;
    Exported.UnknownFrom = Bucket.UnknownFrom;
  } else if (Bucket.State == BucketState::Imported) {
    HasState = true;
    Exported = {Index, Bucket.SnapshotEpoch, Bucket.SnapshotUnknownBefore,
                Bucket.SnapshotUnknownFrom};
  }
  Bucket.State = next(Bucket.State, BucketEvent::RecordNamesOther);
  Bucket.Owner = Owner;
  Bucket.OwnerEpoch = NewEpoch;
  const messages::MemberInfo *Peer = Members.find(Owner);
  if (!HasState || !Peer)
    return;
  if (!Sink.empty())
    if (auto *Last = std::get_if<ExportBuckets>(&Sink.back());
        Last && Last->To.Id == Owner) {
      Last->Buckets.push_back(Exported);
      return;
    }
  Sink.emplace_back(ExportBuckets{*Peer, {Exported}});
}

void OwnershipCore::State::applyOwnerUpdate(const messages::BucketOwner &Update,
                                            OwnershipSink &Sink) {
  if (Update.Bucket >= LocalBuckets.size() ||
      Update.OwnerEpoch <= LocalBuckets[Update.Bucket].OwnerEpoch)
    return;
  // Only the record, not a peer, can make this agent the owner.
  if (Update.Owner == Config.Self)
    Store.requireRead();
  else
    relinquish(Update.Bucket, Update.Owner, Update.OwnerEpoch, Sink);
}

void OwnershipCore::State::discardStaleSnapshots() {
  for (LocalBucket &Bucket : LocalBuckets)
    if (Bucket.State == BucketState::Imported &&
        (Bucket.SnapshotEpoch < Bucket.OwnerEpoch ||
         (Bucket.SnapshotEpoch == Bucket.OwnerEpoch &&
          Bucket.SnapshotFrom != Bucket.Owner)))
      Bucket.State = next(Bucket.State, BucketEvent::SnapshotDiscarded);
}

void OwnershipCore::State::applyRecord(base::Now Now, OwnershipSink &Sink) {
  const OwnersRecord &Record = Store.known()->Record;
  std::vector<base::BucketIndex> Acquired;
  for (base::BucketIndex Index = 0; Index < Config.Buckets; ++Index) {
    const BucketEntry &Entry = Record.Buckets[Index];
    if (Entry.OwnerEpoch <= LocalBuckets[Index].OwnerEpoch)
      continue;
    if (Entry.Owner == Config.Self) {
      acquire(Index, Entry.OwnerEpoch, Now);
      Acquired.push_back(Index);
    } else {
      relinquish(Index, Entry.Owner, Entry.OwnerEpoch, Sink);
    }
  }
  discardStaleSnapshots();

  const uint64_t Period = Store.appliedPeriod(Config.Self);
  if (Period != 0 && Period == Lease.period() && Lease.held(Now.Monotonic) &&
      Period != AffirmedPeriod) {
    AffirmedPeriod = Period;
    ++Counters.Affirmations;
  }
  announce(Acquired, Sink);
}

void OwnershipCore::State::announce(
    const std::vector<base::BucketIndex> &Buckets, OwnershipSink &Sink) {
  if (Buckets.empty())
    return;
  messages::OwnershipUpdate Update{
      Config.Service, Store.known() ? Store.known()->StoreRevision : 0, {}};
  for (const base::BucketIndex Index : Buckets)
    Update.Buckets.push_back(
        {Index, Config.Self, LocalBuckets[Index].OwnerEpoch});
  for (const messages::MemberInfo &Peer : Members.all())
    if (Peer.Id != Config.Self && Peer.State != MemberState::Dead &&
        Peer.State != MemberState::Stopped)
      Sink.emplace_back(SendToPeer{Peer, Update});
}

void OwnershipCore::State::announceAll(base::TimePoint Now,
                                       OwnershipSink &Sink) {
  if (Now < NextAnnouncement)
    return;
  const auto Interval = static_cast<uint64_t>(AnnouncementInterval.count());
  NextAnnouncement =
      Now + base::Duration(Interval / 2 + base::randomBelow(Random, Interval));
  std::vector<base::BucketIndex> Own;
  for (base::BucketIndex Index = 0; Index < Config.Buckets; ++Index)
    if (LocalBuckets[Index].State == BucketState::Held)
      Own.push_back(Index);
  announce(Own, Sink);
}

} // namespace burdockstream::ownership
