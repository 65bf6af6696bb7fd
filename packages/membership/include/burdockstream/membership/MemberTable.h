// The table of all members that a daemon knows. Entries are merged by version.
#ifndef BURDOCKSTREAM_MEMBERSHIP_MEMBERTABLE_H
#define BURDOCKSTREAM_MEMBERSHIP_MEMBERTABLE_H

#include "burdockstream/base/Time.h"
#include "burdockstream/messages/Messages.h"

#include <array>
#include <cstdint>
#include <functional>
#include <optional>
#include <unordered_map>
#include <vector>

namespace burdockstream::membership {

// Returns whether State is Stopped or Dead. Thread safety: any thread.
bool isStoppedOrDead(messages::MemberState State);

// Returns whether New replaces Old, which must be entries of the same daemon.
// The higher version wins; at equal versions, Dead wins over Suspect, and
// Suspect over the states that a daemon announces for itself.
// Thread safety: any thread.
bool supersedes(const messages::MemberInfo &New,
                const messages::MemberInfo &Old);

struct MergeResult {
  bool Changed = false;  // the daemon's entry was added or replaced
  bool Outdated = false; // the table has an entry that supersedes the input
  // The daemon that the input replaced at its data address, now marked dead.
  std::optional<base::DaemonId> Replaced;
};

// Thread safety: loop thread only.
class MemberTable {
public:
  // Number of digest groups that are maintained. A digest may combine them into
  // fewer groups.
  static constexpr size_t MaxDigestGroups = 64;

  // Merges Info, received at Now. Two daemons at one data address cannot both
  // be running: the one with the higher version is kept, because versions start
  // from the wall clock, and the other is stored as dead.
  MergeResult merge(const messages::MemberInfo &Info, base::TimePoint Now);

  // Updates the load of Id, if known, without a new version.
  void updateLoad(base::DaemonId Id, uint16_t LoadPercent);

  // Returns the entry of Id, or null. Valid until the next non-const call.
  const messages::MemberInfo *find(base::DaemonId Id) const;

  // Returns the member at address Data that is neither stopped nor dead, or
  // null. Valid until the next non-const call.
  const messages::MemberInfo *findByAddress(base::SocketAddress Data) const;

  // Returns the entries of a service's agents, including stopped and dead ones,
  // ordered by id.
  std::vector<messages::MemberInfo> ofService(base::ServiceId Service) const;

  // Returns the balancers that are neither stopped nor dead, in no particular
  // order. Valid until the next non-const call.
  const std::vector<base::DaemonId> &balancers() const { return Balancers; }

  // Calls Visit for every entry, in no particular order. Visit must not modify
  // the table.
  void
  forEach(const std::function<void(const messages::MemberInfo &)> &Visit) const;

  // Removes and returns the members that have been stopped or dead for at least
  // TombstoneLifetime.
  std::vector<messages::MemberInfo> expire(base::TimePoint Now);

  // Returns when expire() must be called next; base::Never if no entry expires.
  base::TimePoint nextExpiry() const { return NextExpiry; }

  // Removes the entry of Id, if there is one.
  void erase(base::DaemonId Id);

  // Returns the hash of every digest group. Stopped and dead members are
  // excluded, so that tables whose tombstones expire at different times have
  // equal digests. Precondition: Groups is a power of two and at most
  // MaxDigestGroups.
  std::vector<uint64_t> digest(size_t Groups) const;

  // Returns the number of digest groups for the table's current size.
  size_t digestGroups() const;

  // Returns the digest group of Id when the digest has Groups groups.
  static size_t groupOf(base::DaemonId Id, size_t Groups) {
    return Id.Value % MaxDigestGroups % Groups;
  }

  // Returns a counter that increases with every change of an agent of Service.
  uint64_t generation(base::ServiceId Service) const;

  // Returns a counter that increases when a balancer is added or removed, and
  // when it starts or stops draining.
  uint64_t balancerGeneration() const { return BalancerGeneration; }

  size_t size() const { return Entries.size(); }

private:
  struct TableEntry {
    messages::MemberInfo Info;
    base::TimePoint TombstoneSince = base::Never;
  };
  struct ServiceIndex {
    std::vector<base::DaemonId> Members;
    uint64_t Generation = 0;
  };

  void store(const messages::MemberInfo &Info, base::TimePoint Now);
  void link(const TableEntry &Entry);
  void unlink(const TableEntry &Entry);
  void updateBalancers(base::DaemonId Id, bool Before, bool After);
  void toggleGroupHash(const messages::MemberInfo &Info);

  std::unordered_map<base::DaemonId, TableEntry> Entries;
  std::unordered_map<base::SocketAddress, base::DaemonId> ByAddress;
  std::unordered_map<base::ServiceId, ServiceIndex> ByService;
  std::unordered_map<base::DaemonId, base::TimePoint> Tombstones;
  std::vector<base::DaemonId> Balancers;
  std::array<uint64_t, MaxDigestGroups> GroupHashes{};
  uint64_t BalancerGeneration = 0;
  base::TimePoint NextExpiry = base::Never;
};

} // namespace burdockstream::membership

#endif
