// Planned handover of buckets: the current owner sends snapshots, the new owner
// accepts them and writes itself into the ownership record.
#include "OwnershipState.h"

#include <algorithm>

namespace burdockstream::ownership {
namespace {

using internal::BucketEvent;
using internal::BucketState;
using internal::LocalBucket;
using std::chrono::milliseconds;

// A bucket table that has just changed may change again, so a handover waits
// until the desired owner has been stable for this long.
constexpr base::Duration HandoverSettleTime = milliseconds(1'000);
constexpr base::Duration RepeatInterval = milliseconds(1'000);

// After this time without an acknowledgement the new owner is taken to be
// unreachable or unwilling to accept the bucket.
constexpr base::Duration AcknowledgeTimeout = milliseconds(4'000);

// The new owner retries its write of the ownership record. If this agent
// reaches the store and the record still names this agent after this time, the
// new owner cannot reach the store.
constexpr base::Duration ConfirmTimeout = milliseconds(10'000);

ExportBuckets &exportTo(const messages::MemberInfo &Peer, size_t FirstAction,
                        OwnershipSink &Sink) {
  for (size_t I = FirstAction; I < Sink.size(); ++I)
    if (auto *Export = std::get_if<ExportBuckets>(&Sink[I]);
        Export && Export->To.Id == Peer.Id)
      return *Export;
  return std::get<ExportBuckets>(Sink.emplace_back(ExportBuckets{Peer, {}}));
}

} // namespace

bool OwnershipCore::State::handoverDue(const LocalBucket &Bucket,
                                       base::TimePoint Now) const {
  if (Bucket.State != BucketState::Held || Bucket.Desired == Config.Self ||
      !Members.ready(Bucket.Desired) || Now < Bucket.NoHandoverBefore)
    return false;
  // While the store is down the new owner could become provisional owner only.
  return Draining ||
         (!Store.failing() && Now - Bucket.DesiredSince >= HandoverSettleTime);
}

void OwnershipCore::State::startHandovers(base::Now Now, OwnershipSink &Sink) {
  const size_t FirstAction = Sink.size();
  for (base::BucketIndex Index = 0; Index < Config.Buckets; ++Index) {
    LocalBucket &Bucket = LocalBuckets[Index];
    if (!handoverDue(Bucket, Now.Monotonic))
      continue;
    Bucket.State = next(Bucket.State, BucketEvent::HandoverStarted);
    Bucket.Target = Bucket.Desired;
    Bucket.HandoverStartedAt = Bucket.ExportedAt = Now.Monotonic;
    Bucket.UnknownFrom = OwnedUntil;
    Bucket.Acknowledged = Bucket.Reclaim = false;
    exportTo(*Members.find(Bucket.Target), FirstAction, Sink)
        .Buckets.push_back({Index, Bucket.OwnerEpoch, Bucket.UnknownBefore,
                            Bucket.UnknownFrom});
  }
}

bool OwnershipCore::State::shouldReclaim(const LocalBucket &Bucket,
                                         base::TimePoint Now) const {
  if (Members.departed(Bucket.Target, Now) || !Members.find(Bucket.Target))
    return true;
  const base::Duration Age = Now - Bucket.HandoverStartedAt;
  if (!Bucket.Acknowledged)
    return Age >= AcknowledgeTimeout;
  return Age >= ConfirmTimeout && !Store.failing() && Store.known() &&
         Store.known()->SentAt >= Bucket.HandoverStartedAt + ConfirmTimeout / 2;
}

void OwnershipCore::State::checkHandovers(base::Now Now, OwnershipSink &Sink) {
  const size_t FirstAction = Sink.size();
  for (base::BucketIndex Index = 0; Index < Config.Buckets; ++Index) {
    LocalBucket &Bucket = LocalBuckets[Index];
    if (Bucket.State != BucketState::HandingOver || Bucket.Reclaim)
      continue;
    // A reclaim also writes the record, so that a write of the other agent that
    // is still in flight fails with a conflict.
    Bucket.Reclaim = shouldReclaim(Bucket, Now.Monotonic);
    if (Bucket.Reclaim || Bucket.Acknowledged ||
        Now.Monotonic - Bucket.ExportedAt < RepeatInterval)
      continue;
    Bucket.ExportedAt = Now.Monotonic;
    exportTo(*Members.find(Bucket.Target), FirstAction, Sink)
        .Buckets.push_back({Index, Bucket.OwnerEpoch, Bucket.UnknownBefore,
                            Bucket.UnknownFrom});
  }
}

bool OwnershipCore::State::acceptSnapshot(
    const messages::BucketSnapshot &Snapshot, base::DaemonId From,
    base::Now Now) {
  if (Snapshot.Service != Config.Service ||
      Snapshot.Bucket >= LocalBuckets.size() || Snapshot.OwnerEpoch == 0)
    return false;
  LocalBucket &Bucket = LocalBuckets[Snapshot.Bucket];
  // A former owner that is informed late of its replacement sends a snapshot of
  // an older epoch; its records are merged.
  if (Bucket.State == BucketState::Held)
    return Snapshot.OwnerEpoch < Bucket.OwnerEpoch;
  if (Bucket.State == BucketState::HandingOver)
    return false;
  if (Snapshot.OwnerEpoch < Bucket.OwnerEpoch ||
      (Snapshot.OwnerEpoch == Bucket.OwnerEpoch && Bucket.Owner != From))
    return false;
  if (Bucket.State == BucketState::Imported) {
    if (Snapshot.OwnerEpoch < Bucket.SnapshotEpoch)
      return false;
    if (Snapshot.OwnerEpoch == Bucket.SnapshotEpoch)
      return Bucket.SnapshotFrom == From;
  } else if (Draining) {
    return false;
  }
  Bucket.State = next(Bucket.State, BucketEvent::SnapshotAccepted);
  Bucket.SnapshotFrom = From;
  Bucket.SnapshotEpoch = Snapshot.OwnerEpoch;
  Bucket.SnapshotUnknownBefore = {Snapshot.UnknownBeforeMilliseconds};
  Bucket.SnapshotUnknownFrom = {Snapshot.UnknownFromMilliseconds};
  Bucket.ImportedAt = Now.Monotonic;
  return true;
}

void OwnershipCore::State::acceptTransfer(
    const messages::BucketTransfer &Transfer, base::Now Now,
    OwnershipSink &Sink) {
  if (Transfer.To != Config.Self || Transfer.From == Config.Self)
    return;
  messages::BucketTransferAck Ack{Config.Self, {}, {}};
  for (const messages::BucketSnapshot &Snapshot : Transfer.Buckets) {
    if (acceptSnapshot(Snapshot, Transfer.From, Now))
      Ack.Buckets.push_back(Snapshot.Bucket);
    else if (refusesPermanently(Snapshot))
      Ack.Refused.push_back(Snapshot.Bucket);
  }
  if (!Ack.Buckets.empty())
    Sink.emplace_back(ImportBuckets{Transfer.From, Ack.Buckets});
  const messages::MemberInfo *Peer = Members.find(Transfer.From);
  if (Peer && !(Ack.Buckets.empty() && Ack.Refused.empty()))
    Sink.emplace_back(SendToPeer{*Peer, std::move(Ack)});
}

// A draining agent accepts no further snapshots. A bucket that is foreign to
// it, and of which it has accepted no snapshot of this epoch, can thus never
// become its own.
bool OwnershipCore::State::refusesPermanently(
    const messages::BucketSnapshot &Snapshot) const {
  return Draining && Snapshot.Service == Config.Service &&
         Snapshot.Bucket < LocalBuckets.size() &&
         LocalBuckets[Snapshot.Bucket].State == BucketState::Foreign &&
         LocalBuckets[Snapshot.Bucket].SnapshotEpoch < Snapshot.OwnerEpoch;
}

void OwnershipCore::State::acknowledge(const messages::BucketTransferAck &Ack,
                                       base::Now Now) {
  // The record still names this agent and the other one has imported nothing,
  // so this agent may resume without a write. A reclaim that has started is
  // completed by its own write.
  for (const base::BucketIndex Index : Ack.Refused) {
    if (Index >= LocalBuckets.size() ||
        LocalBuckets[Index].Target != Ack.From ||
        LocalBuckets[Index].State != BucketState::HandingOver ||
        LocalBuckets[Index].Acknowledged || LocalBuckets[Index].Reclaim)
      continue;
    LocalBuckets[Index].State =
        next(LocalBuckets[Index].State, BucketEvent::HandoverRefused);
    LocalBuckets[Index].NoHandoverBefore = Now.Monotonic + HandoverSettleTime;
    ++Counters.HandoversRefused;
  }
  for (const base::BucketIndex Index : Ack.Buckets)
    if (Index < LocalBuckets.size() && LocalBuckets[Index].Target == Ack.From &&
        LocalBuckets[Index].State == BucketState::HandingOver)
      LocalBuckets[Index].Acknowledged = true;
}

void OwnershipCore::State::reportDrain(base::TimePoint Now,
                                       OwnershipSink &Sink) {
  if (!Draining)
    return;
  uint32_t Blocked = 0;
  bool Empty = !Store.unresolved();
  for (const LocalBucket &Bucket : LocalBuckets) {
    Empty &= Bucket.State == BucketState::Foreign;
    Blocked += Bucket.State == BucketState::Held &&
                       Now >= Bucket.NoHandoverBefore &&
                       !handoverDue(Bucket, Now)
                   ? 1
                   : 0;
  }
  if (Blocked != BlockedBuckets && Blocked != 0)
    Sink.emplace_back(DrainBlocked{Blocked});
  BlockedBuckets = Blocked;
  if (Empty && !DrainReported)
    Sink.emplace_back(Drained{});
  DrainReported = Empty;
}

} // namespace burdockstream::ownership
