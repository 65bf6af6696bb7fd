#include "burdockstream/membership/MemberTable.h"

#include "burdockstream/base/Hash.h"
#include "burdockstream/membership/Settings.h"

#include <algorithm>
#include <glog/logging.h>

namespace burdockstream::membership {

namespace {

using messages::MemberInfo;
using messages::MemberState;
using messages::Role;

// Target number of members per digest group.
constexpr size_t MembersPerGroup = 64;

int statePrecedence(MemberState State) {
  switch (State) {
  case MemberState::Dead:
    return 2;
  case MemberState::Suspect:
    return 1;
  default:
    return 0;
  }
}

bool isLiveBalancer(const MemberInfo &Info) {
  return Info.Kind == Role::Balancer && !isStoppedOrDead(Info.State);
}

} // namespace

bool isStoppedOrDead(MemberState State) {
  return State == MemberState::Stopped || State == MemberState::Dead;
}

bool supersedes(const MemberInfo &New, const MemberInfo &Old) {
  if (New.Version != Old.Version)
    return New.Version > Old.Version;
  return statePrecedence(New.State) > statePrecedence(Old.State);
}

MergeResult MemberTable::merge(const MemberInfo &Info, base::TimePoint Now) {
  MergeResult Result;
  if (const MemberInfo *Old = find(Info.Id); Old && !supersedes(Info, *Old)) {
    Result.Outdated = supersedes(*Old, Info);
    return Result;
  }
  MemberInfo New = Info;
  const MemberInfo *Occupant = findByAddress(Info.Data);
  if (Occupant && Occupant->Id != Info.Id && !isStoppedOrDead(Info.State)) {
    MemberInfo Other = *Occupant;
    if (Other.Version < Info.Version) {
      Other.State = MemberState::Dead;
      store(Other, Now);
      Result.Replaced = Other.Id;
    } else {
      New.State = MemberState::Dead;
      Result.Outdated = true;
    }
  }
  store(New, Now);
  Result.Changed = true;
  return Result;
}

void MemberTable::updateLoad(base::DaemonId Id, uint16_t LoadPercent) {
  if (const auto It = Entries.find(Id); It != Entries.end())
    It->second.Info.LoadPercent = LoadPercent;
}

const MemberInfo *MemberTable::find(base::DaemonId Id) const {
  const auto It = Entries.find(Id);
  return It == Entries.end() ? nullptr : &It->second.Info;
}

const MemberInfo *MemberTable::findByAddress(base::SocketAddress Data) const {
  const auto It = ByAddress.find(Data);
  return It == ByAddress.end() ? nullptr : find(It->second);
}

std::vector<MemberInfo> MemberTable::ofService(base::ServiceId Service) const {
  std::vector<MemberInfo> Result;
  if (const auto It = ByService.find(Service); It != ByService.end())
    for (base::DaemonId Id : It->second.Members)
      Result.push_back(Entries.at(Id).Info);
  std::sort(
      Result.begin(), Result.end(),
      [](const MemberInfo &A, const MemberInfo &B) { return A.Id < B.Id; });
  return Result;
}

void MemberTable::forEach(
    const std::function<void(const MemberInfo &)> &Visit) const {
  for (const auto &[Id, Entry] : Entries)
    Visit(Entry.Info);
}

std::vector<MemberInfo> MemberTable::expire(base::TimePoint Now) {
  std::vector<MemberInfo> Result;
  for (const auto &[Id, Since] : Tombstones)
    if (Since + TombstoneLifetime <= Now)
      Result.push_back(Entries.at(Id).Info);
  for (const MemberInfo &Info : Result)
    erase(Info.Id);
  NextExpiry = base::Never;
  for (const auto &[Id, Since] : Tombstones)
    NextExpiry = std::min(NextExpiry, Since + TombstoneLifetime);
  return Result;
}

void MemberTable::erase(base::DaemonId Id) {
  const auto It = Entries.find(Id);
  if (It == Entries.end())
    return;
  unlink(It->second);
  updateBalancers(Id, isLiveBalancer(It->second.Info), false);
  Entries.erase(It);
}

std::vector<uint64_t> MemberTable::digest(size_t Groups) const {
  CHECK(Groups > 0 && MaxDigestGroups % Groups == 0);
  std::vector<uint64_t> Result(Groups);
  for (size_t Group = 0; Group < MaxDigestGroups; ++Group)
    Result[Group % Groups] ^= GroupHashes[Group];
  return Result;
}

size_t MemberTable::digestGroups() const {
  size_t Groups = 1;
  while (Groups < MaxDigestGroups && Groups * MembersPerGroup < Entries.size())
    Groups *= 2;
  return Groups;
}

uint64_t MemberTable::generation(base::ServiceId Service) const {
  const auto It = ByService.find(Service);
  return It == ByService.end() ? 0 : It->second.Generation;
}

void MemberTable::store(const MemberInfo &Info, base::TimePoint Now) {
  TableEntry &Entry = Entries[Info.Id];
  const bool Known = Entry.Info.Id == Info.Id;
  if (Known)
    unlink(Entry);
  const bool WasDraining = Known && Entry.Info.State == MemberState::Draining;
  if (isLiveBalancer(Info) &&
      WasDraining != (Info.State == MemberState::Draining))
    ++BalancerGeneration;
  updateBalancers(Info.Id, Known && isLiveBalancer(Entry.Info),
                  isLiveBalancer(Info));
  Entry.Info = Info;
  Entry.TombstoneSince = isStoppedOrDead(Info.State) ? Now : base::Never;
  link(Entry);
}

void MemberTable::link(const TableEntry &Entry) {
  const MemberInfo &Info = Entry.Info;
  if (isStoppedOrDead(Info.State)) {
    Tombstones[Info.Id] = Entry.TombstoneSince;
    NextExpiry = std::min(NextExpiry, Entry.TombstoneSince + TombstoneLifetime);
  } else {
    ByAddress[Info.Data] = Info.Id;
    toggleGroupHash(Info);
  }
  if (Info.Kind == Role::Agent) {
    ServiceIndex &Index = ByService[Info.Service];
    Index.Members.push_back(Info.Id);
    ++Index.Generation;
  }
}

void MemberTable::unlink(const TableEntry &Entry) {
  const MemberInfo &Info = Entry.Info;
  if (isStoppedOrDead(Info.State)) {
    Tombstones.erase(Info.Id);
  } else {
    const auto It = ByAddress.find(Info.Data);
    if (It != ByAddress.end() && It->second == Info.Id)
      ByAddress.erase(It);
    toggleGroupHash(Info);
  }
  if (Info.Kind == Role::Agent) {
    ServiceIndex &Index = ByService[Info.Service];
    std::erase(Index.Members, Info.Id);
    ++Index.Generation;
  }
}

void MemberTable::updateBalancers(base::DaemonId Id, bool Before, bool After) {
  if (Before == After)
    return;
  ++BalancerGeneration;
  if (After)
    Balancers.push_back(Id);
  else
    std::erase(Balancers, Id);
}

void MemberTable::toggleGroupHash(const MemberInfo &Info) {
  const bool Suspect = Info.State == MemberState::Suspect;
  GroupHashes[Info.Id.Value % MaxDigestGroups] ^=
      base::hashPair(Info.Id.Value, Info.Version, Suspect ? 1 : 0);
}

} // namespace burdockstream::membership
