#include "burdockstream/membership/RecordTable.h"

#include "burdockstream/base/Hash.h"

#include <glog/logging.h>

namespace burdockstream::membership {

namespace {

// Target number of records per digest group.
constexpr size_t RecordsPerGroup = 64;

} // namespace

bool RecordTable::merge(const messages::RecordEntry &Record) {
  const base::ServiceId Service = base::serviceIdOf(Record.Service);
  const auto [It, Added] = Records.try_emplace(Service, Record);
  if (!Added) {
    if (Record.StoreRevision <= It->second.StoreRevision)
      return false;
    toggleGroupHash(Service, It->second.StoreRevision);
    It->second = Record;
  }
  toggleGroupHash(Service, Record.StoreRevision);
  return true;
}

const messages::RecordEntry *RecordTable::find(base::ServiceId Service) const {
  const auto It = Records.find(Service);
  return It == Records.end() ? nullptr : &It->second;
}

void RecordTable::forEach(
    const std::function<void(const messages::RecordEntry &)> &Visit) const {
  for (const auto &[Service, Record] : Records)
    Visit(Record);
}

std::vector<uint64_t> RecordTable::digest(size_t Groups) const {
  CHECK(Groups > 0 && MaxDigestGroups % Groups == 0);
  std::vector<uint64_t> Result(Groups);
  for (size_t Group = 0; Group < MaxDigestGroups; ++Group)
    Result[Group % Groups] ^= GroupHashes[Group];
  return Result;
}

size_t RecordTable::digestGroups() const {
  size_t Groups = 1;
  while (Groups < MaxDigestGroups && Groups * RecordsPerGroup < Records.size())
    Groups *= 2;
  return Groups;
}

void RecordTable::toggleGroupHash(base::ServiceId Service,
                                  base::Revision Revision) {
  GroupHashes[Service.Value % MaxDigestGroups] ^=
      base::hashPair(Service.Value, static_cast<uint64_t>(Revision), 0);
}

} // namespace burdockstream::membership
