// Queue of the changes that a balancer disseminates by gossip. It holds only
// ids and the number of transmissions of each: the newest state is sent.
#ifndef BURDOCKSTREAM_MEMBERSHIP_RUMORQUEUE_H
#define BURDOCKSTREAM_MEMBERSHIP_RUMORQUEUE_H

#include "burdockstream/membership/MemberTable.h"
#include "burdockstream/membership/RecordTable.h"

#include <cstddef>
#include <unordered_map>
#include <vector>

namespace burdockstream::membership {

// Returns how often each change is transmitted in a group of n = Balancers:
// 3·log2(n + 1), but at least MinRumorTransmissions. Thread safety: any thread.
size_t rumorTransmissions(size_t Balancers);

// Thread safety: loop thread only.
class RumorQueue {
public:
  // Queues a change of a member or record. If it is queued already, its count
  // of transmissions starts again at zero.
  void add(base::DaemonId Member) { Members[Member] = 0; }
  void add(base::ServiceId Record) { Records[Record] = 0; }

  bool empty() const { return Members.empty() && Records.empty(); }

  // Returns the messages of one round, which the caller sends to each of Peers
  // balancers, and removes the changes that have been transmitted
  // MaxTransmissions times. If not everything fits, agents that are leaving
  // come first, because they must not receive new work; then records; then
  // other members. Within each class, the least often transmitted come first.
  std::vector<messages::Rumor> nextRound(const MemberTable &MemberSource,
                                         const RecordTable &RecordSource,
                                         size_t Peers, size_t MaxTransmissions);

private:
  std::unordered_map<base::DaemonId, size_t> Members;
  std::unordered_map<base::ServiceId, size_t> Records;
};

} // namespace burdockstream::membership

#endif
