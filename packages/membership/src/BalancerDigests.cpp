// The part of BalancerMembership that joins the group and repairs changes that
// gossip did not deliver: balancers compare digests, and the contents of the
// groups that differ are sent to the balancer that sent its digest.
#include "WireSize.h"
#include "burdockstream/membership/BalancerMembership.h"

#include <algorithm>
#include <bit>

namespace burdockstream::membership {

namespace {

using messages::MemberInfo;
using messages::MemberState;

// If a digest exchange repairs at most this many entries, they are gossiped
// too. Larger numbers, as after a partition, are left to the digest exchanges
// of the other balancers, which would transfer them again anyway.
constexpr size_t MaxRepairsGossiped = 16;

// Returns the indexes of the groups whose hashes differ.
std::vector<uint16_t> differingGroups(const std::vector<uint64_t> &Theirs,
                                      const std::vector<uint64_t> &Own) {
  std::vector<uint16_t> Result;
  for (size_t I = 0; I < Theirs.size(); ++I)
    if (Theirs[I] != Own[I])
      Result.push_back(static_cast<uint16_t>(I));
  return Result;
}

// Returns whether a digest received with this number of groups can be compared.
bool isValidGroupCount(size_t Groups) {
  return std::has_single_bit(Groups) && Groups <= MemberTable::MaxDigestGroups;
}

// Returns the members in Groups, ordered by group.
std::vector<const MemberInfo *> membersOf(const MemberTable &Table,
                                          const std::vector<uint16_t> &Groups,
                                          size_t GroupCount) {
  std::vector<std::vector<const MemberInfo *>> Lists(GroupCount);
  Table.forEach([&](const MemberInfo &Member) {
    Lists[MemberTable::groupOf(Member.Id, GroupCount)].push_back(&Member);
  });
  std::vector<const MemberInfo *> Result;
  for (uint16_t Group : Groups)
    Result.insert(Result.end(), Lists[Group].begin(), Lists[Group].end());
  return Result;
}

// Returns the records in Groups, ordered by group.
std::vector<const messages::RecordEntry *>
recordsOf(const RecordTable &Table, const std::vector<uint16_t> &Groups,
          size_t GroupCount) {
  std::vector<std::vector<const messages::RecordEntry *>> Lists(GroupCount);
  Table.forEach([&](const messages::RecordEntry &Record) {
    const base::ServiceId Service = base::serviceIdOf(Record.Service);
    Lists[RecordTable::groupOf(Service, GroupCount)].push_back(&Record);
  });
  std::vector<const messages::RecordEntry *> Result;
  for (uint16_t Group : Groups)
    Result.insert(Result.end(), Lists[Group].begin(), Lists[Group].end());
  return Result;
}

// Adds as many of Items as fit, starting at a random one. If not everything
// fits, a balancer that sends its digest repeatedly or to several peers thus
// obtains different parts, and eventually all of a group that alone exceeds the
// limit.
template <typename T>
void addFromRandomStart(const std::vector<const T *> &Items,
                        base::RandomSource &Random,
                        MessagePacker<messages::DigestDiff> &Packer) {
  if (Items.empty())
    return;
  const size_t Start = base::randomBelow(Random, Items.size());
  for (size_t I = 0; I < Items.size(); ++I)
    if (!Packer.add(*Items[(Start + I) % Items.size()]))
      return;
}

} // namespace

void BalancerMembership::tickDigest(base::Now Now, ActionSink &Sink) {
  const base::TimePoint T = Now.Monotonic;
  if (Joining &&
      (T - JoinBegan >= JoinTimeout || T - LastReadyPeer >= JoinAloneTimeout ||
       ConfiguredBalancers.empty()))
    finishJoining(T, Sink);
  const bool Fast = Joining || CatchingUp;
  NextDigest = T + (Fast ? JoinDigestInterval : DigestInterval);
  for (size_t I = 0; I < (Fast ? JoinDigestPeers : 1); ++I) {
    const base::SocketAddress Peer = digestPeer();
    if (Peer == base::SocketAddress{})
      break;
    // The probe announces this balancer to the peer.
    if (Joining || !Table.findByAddress(Peer))
      send(Sink, Peer, messages::Probe{0, Self});
    sendDigest(Peer, Sink);
  }
  // The short interval is kept only if the next reply contains changes.
  // Otherwise, under constant change, tables that never become equal would keep
  // it forever.
  CatchingUp = false;
}

void BalancerMembership::finishJoining(base::TimePoint Now, ActionSink &Sink) {
  Joining = false;
  NextDigest =
      Now + base::Duration(base::randomBelow(*Random, DigestInterval.count()));
  updateLiveBalancers();
  if (Self.State == MemberState::Starting) {
    Self.State = MemberState::Ready;
    publishSelf(Self.Version + 1, Now, Sink);
  }
  Sink.push_back(Joined{});
}

// Half of the digests are sent to a configured balancer, whether or not it is
// known to be alive. This is how the two sides of a partition find each other
// after it has healed.
base::SocketAddress BalancerMembership::digestPeer() {
  const bool UseConfigured = Joining || base::randomBelow(*Random, 2) == 0;
  if (UseConfigured && !ConfiguredBalancers.empty())
    return ConfiguredBalancers[base::randomBelow(*Random,
                                                 ConfiguredBalancers.size())]
        .Address;
  const std::vector<base::SocketAddress> Peers = randomPeers(1);
  return Peers.empty() ? base::SocketAddress{} : Peers.front();
}

void BalancerMembership::sendDigest(base::SocketAddress To, ActionSink &Sink) {
  ++Counters.DigestsSent;
  // A balancer that is missing many entries sends the finest groups, so that
  // groups that it has obtained completely are not sent again.
  const bool Finest = Joining || CatchingUp;
  const size_t MemberGroups =
      Finest ? MemberTable::MaxDigestGroups : Table.digestGroups();
  const size_t RecordGroups =
      Finest ? RecordTable::MaxDigestGroups : Records.digestGroups();
  send(Sink, To,
       messages::Digest{Table.digest(MemberGroups),
                        Records.digest(RecordGroups)});
}

void BalancerMembership::on(const messages::Digest &Body,
                            base::SocketAddress From, ActionSink &Sink) {
  const size_t MemberGroups = Body.MemberGroups.size();
  const size_t RecordGroups = Body.RecordGroups.size();
  // A joining balancer does not answer: two balancers that start together would
  // each take the other's empty tables for the state of the group.
  if (Joining || !isValidGroupCount(MemberGroups) ||
      !isValidGroupCount(RecordGroups))
    return;
  std::vector<uint16_t> Members =
      differingGroups(Body.MemberGroups, Table.digest(MemberGroups));
  std::vector<uint16_t> Changed =
      differingGroups(Body.RecordGroups, Records.digest(RecordGroups));
  if (Members.empty() && Changed.empty()) {
    send(Sink, From, messages::DigestDiff{});
    return;
  }
  MessagePacker<messages::DigestDiff> Packer(MaxDiffDatagrams);
  addFromRandomStart(membersOf(Table, Members, MemberGroups), *Random, Packer);
  addFromRandomStart(recordsOf(Records, Changed, RecordGroups), *Random,
                     Packer);
  for (messages::DigestDiff &Diff : Packer.take()) {
    Diff.WantReply = true;
    send(Sink, From, std::move(Diff));
  }
}

void BalancerMembership::on(const messages::DigestDiff &Body,
                            base::SocketAddress From, base::Now Now,
                            ActionSink &Sink) {
  const base::TimePoint T = Now.Monotonic;
  LastReadyPeer = T;
  if (Body.Members.empty() && Body.Records.empty()) {
    ++Counters.DigestsEqual;
    if (Joining)
      finishJoining(T, Sink);
    return;
  }
  const bool Spread = !Joining && Body.Members.size() + Body.Records.size() <=
                                      MaxRepairsGossiped;
  bool AnyMerged = false;
  MessagePacker<messages::DigestDiff> Newer(MaxDiffDatagrams);
  for (const MemberInfo &Member : Body.Members) {
    // Adding unknown tombstones would keep them in circulation forever.
    if (isStoppedOrDead(Member.State) && !Table.find(Member.Id))
      continue;
    const MergeResult Merged = mergeMember(Member, Spread, T, Sink);
    AnyMerged |= Merged.Changed;
    if (Merged.Outdated)
      for (const MemberInfo &Known : supersedingEntries(Member))
        Newer.add(Known);
  }
  for (const messages::RecordEntry &Record : Body.Records) {
    if (mergeRecord(Record, Spread, T, Sink)) {
      AnyMerged = true;
      continue;
    }
    const messages::RecordEntry *Known =
        Records.find(base::serviceIdOf(Record.Service));
    if (Known->StoreRevision > Record.StoreRevision)
      Newer.add(*Known);
  }
  if (AnyMerged && Body.WantReply && !Spread) {
    // The size of a reply is limited, so the peer may have more changes.
    CatchingUp = true;
    NextDigest = std::min(NextDigest, T + JoinDigestInterval);
  }
  if (Body.WantReply)
    for (messages::DigestDiff &Diff : Newer.take())
      send(Sink, From, std::move(Diff));
}

} // namespace burdockstream::membership
