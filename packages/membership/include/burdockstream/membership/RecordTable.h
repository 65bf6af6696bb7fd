// The newest configuration record of every service that a balancer knows.
#ifndef BURDOCKSTREAM_MEMBERSHIP_RECORDTABLE_H
#define BURDOCKSTREAM_MEMBERSHIP_RECORDTABLE_H

#include "burdockstream/messages/Messages.h"

#include <array>
#include <cstdint>
#include <functional>
#include <unordered_map>
#include <vector>

namespace burdockstream::membership {

// Thread safety: loop thread only.
class RecordTable {
public:
  // Number of digest groups that are maintained. A digest may combine them into
  // fewer groups.
  static constexpr size_t MaxDigestGroups = 64;

  // Stores Record if the service has none or one of a lower store revision.
  // Returns whether it was stored.
  bool merge(const messages::RecordEntry &Record);

  // Returns the service's record, or null. Valid until the next merge().
  const messages::RecordEntry *find(base::ServiceId Service) const;

  // Calls Visit for every record, including retired ones, in no particular
  // order. Visit must not modify the table.
  void forEach(
      const std::function<void(const messages::RecordEntry &)> &Visit) const;

  // Returns the hash of every digest group. Precondition: Groups is a power of
  // two and at most MaxDigestGroups.
  std::vector<uint64_t> digest(size_t Groups) const;
  // Returns the number of digest groups for the table's current size.
  size_t digestGroups() const;
  // Returns the digest group of Service when the digest has Groups groups.
  static size_t groupOf(base::ServiceId Service, size_t Groups) {
    return Service.Value % MaxDigestGroups % Groups;
  }

  size_t size() const { return Records.size(); }

private:
  void toggleGroupHash(base::ServiceId Service, base::Revision Revision);

  std::unordered_map<base::ServiceId, messages::RecordEntry> Records;
  std::array<uint64_t, MaxDigestGroups> GroupHashes{};
};

} // namespace burdockstream::membership

#endif
