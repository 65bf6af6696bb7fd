#include "CoreState.h"
#include "LocalResponses.h"

namespace burdockstream::requests {

namespace {

using messages::BucketRole;

// How long a new owner waits for the former owner's snapshot before it serves
// the bucket provisionally.
constexpr base::Duration SnapshotTimeout = std::chrono::milliseconds(1'500);
// Bounds memory. Callers retransmit the packets that are dropped.
constexpr size_t MaxHeldPackets = 1024;

bool mayServe(BucketRole Role) {
  return Role != BucketRole::NotOwner && Role != BucketRole::Pending;
}

} // namespace

BucketRole RequestCore::State::roleOf(base::BucketIndex Bucket,
                                      base::Now Now) const {
  const auto Found = Buckets.find(Bucket);
  // After the export nothing may start here, because the new owner's snapshot
  // would not contain it, even if the new role is not yet reported.
  if (Found == Buckets.end() || Found->second.ExportedTo.Value != 0)
    return BucketRole::NotOwner;
  const BucketInfo &Info = Found->second;
  if (Info.Authority.Role == BucketRole::Pending &&
      Now.Monotonic >= Info.PendingSince + SnapshotTimeout)
    return BucketRole::Provisional;
  return Info.Authority.Role;
}

void RequestCore::State::setAuthority(
    base::BucketIndex Bucket, const messages::BucketAuthority &Authority,
    const EventContext &Ctx) {
  BucketInfo &Info = Buckets[Bucket];
  const BucketRole Before = Info.Authority.Role;
  Info.Authority = Authority;
  if (Before == Authority.Role)
    return;
  if (Authority.Role == BucketRole::Pending)
    Info.PendingSince = Ctx.Now.Monotonic;
  if (Authority.Role == BucketRole::NotOwner) {
    Observers.freeze(Bucket);
    Observers.stopRetransmissions(Bucket);
  }
  if (Before == BucketRole::NotOwner) // this agent owns the bucket again
    Info.ExportedTo = {};
  if (!mayServe(Before) && mayServe(Authority.Role))
    Observers.resume(Bucket, Ctx.Now, Ctx.Out);
  if (Before == BucketRole::Pending)
    releaseHeldPackets(Bucket, Ctx);
}

void RequestCore::State::holdPacket(const messages::Forward &Packet) {
  if (HeldPackets.size() >= MaxHeldPackets) {
    count(Counter::DroppedHeld);
    return;
  }
  HeldPackets.push_back(
      {Packet, Buckets[Packet.Bucket].PendingSince + SnapshotTimeout});
}

void RequestCore::State::releaseHeldPackets(
    std::optional<base::BucketIndex> Bucket, const EventContext &Ctx) {
  std::vector<messages::Forward> Packets;
  std::erase_if(HeldPackets, [&](const HeldPacket &Entry) {
    const bool Release =
        Entry.Packet.Bucket == Bucket || Entry.Until <= Ctx.Now.Monotonic;
    if (Release)
      Packets.push_back(Entry.Packet);
    return Release;
  });
  for (const messages::Forward &Packet : Packets)
    onCaller(Packet, Ctx);
}

messages::BucketSnapshot
RequestCore::State::exportBucket(base::BucketIndex Bucket, base::DaemonId To,
                                 base::Epoch OwnerEpoch) {
  BucketInfo &Info = Buckets[Bucket];
  Info.ExportedTo = To;
  Info.LeaseAtExport = Info.Authority.Role == BucketRole::Owner
                           ? Info.Authority.LeaseEnd
                           : base::TimePoint::min();
  Observers.freeze(Bucket);
  Observers.stopRetransmissions(Bucket);
  return {Service.Id, Bucket, OwnerEpoch, Records.exportBucket(Bucket),
          Observers.exportBucket(Bucket)};
}

void RequestCore::State::importBucket(const messages::BucketSnapshot &Snapshot,
                                      const EventContext &Ctx) {
  if (Snapshot.Service != Service.Id) {
    count(Counter::WrongService);
    return;
  }
  BucketInfo &Info = Buckets[Snapshot.Bucket];
  Info.Imported = true;
  Info.ExportedTo = {};
  Info.OwnerEpoch = std::max(Info.OwnerEpoch, Snapshot.OwnerEpoch + 1);
  for (const messages::RequestRecord &Record : Snapshot.Requests) {
    if (const auto Key = Records.import(Snapshot.Bucket, Record, Ctx.Now))
      answerWaiters(*Key, Ctx);
    const RecordKey Key{Record.Caller, Record.RequestId};
    const RequestRecord *Known = Records.find(Key);
    if (Known != nullptr && Known->State == RecordState::Running &&
        DeadPeers.contains(Known->Runner))
      completeRecord(Key, RecordState::Unknown, makeUnknownResponse(), Ctx);
  }
  Observers.resume(Snapshot.Bucket, Ctx.Now, Ctx.Out);
  for (const messages::Subscription &Entry : Snapshot.Subscriptions)
    Observers.import(Snapshot.Bucket, Entry, Ctx.Now, Ctx.Out);
}

base::Epoch RequestCore::State::epochOf(base::BucketIndex Bucket) const {
  const auto Found = Buckets.find(Bucket);
  return Found == Buckets.end() ? 0 : Found->second.OwnerEpoch;
}

} // namespace burdockstream::requests
