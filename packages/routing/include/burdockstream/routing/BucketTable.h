// Assigns the buckets of a service to its endpoints in proportion to their
// weights. The table is a pure function of its inputs, so daemons with the same
// view of the members compute the same table without coordination.
#ifndef BURDOCKSTREAM_ROUTING_BUCKETTABLE_H
#define BURDOCKSTREAM_ROUTING_BUCKETTABLE_H

#include "burdockstream/base/Ids.h"
#include "burdockstream/base/SocketAddress.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace burdockstream::routing {

// An endpoint that can be assigned buckets, identified by its agent.
struct TableMember {
  base::DaemonId Id;               // of the agent
  base::SocketAddress DataAddress; // where the agent receives datagrams
  uint32_t Weight = 0;             // relative to the other members
  friend bool operator==(const TableMember &, const TableMember &) = default;
};

// The endpoint of every bucket of one service. A default-constructed table has
// no buckets and no members. Value type. Thread safety: const methods may be
// called from any thread while no thread assigns to the table.
class BucketTable {
public:
  BucketTable() = default;

  // Builds the table of Service with Buckets buckets. Members of weight 0
  // receive no bucket. The result does not depend on the order of Members; of
  // several members with the same id and a positive weight, the one with the
  // greatest (address, weight) is used. Preconditions, checked: Buckets is not
  // zero, and fewer than 65,535 distinct members have a positive weight. Thread
  // safety: any thread.
  static BucketTable build(base::ServiceId Service, uint16_t Buckets,
                           std::vector<TableMember> Members);

  // Returns the member that Bucket is assigned to, or null if the table has no
  // members. The pointer is valid until the table is assigned to or destroyed.
  // Precondition: Bucket < bucketCount().
  const TableMember *owner(base::BucketIndex Bucket) const {
    return Members.empty() ? nullptr : &Members[MemberIndices[Bucket]];
  }

  // Returns the number of buckets; zero for a default-constructed table.
  uint16_t bucketCount() const {
    return static_cast<uint16_t>(MemberIndices.size());
  }

  // Returns the members with a positive weight, sorted by id.
  const std::vector<TableMember> &members() const { return Members; }

  // Returns the number of buckets that are assigned to the member Id; zero if
  // Id is not a member.
  size_t bucketCountOf(base::DaemonId Id) const;

  // Returns the heap memory that the table has allocated, in bytes.
  size_t memoryBytes() const;

  friend bool operator==(const BucketTable &, const BucketTable &) = default;

private:
  std::vector<uint16_t> MemberIndices; // by bucket, indices into Members
  std::vector<TableMember> Members;
};

// Returns the number of buckets of each member, in the order of Members:
// Buckets divided in proportion to the weights by the largest remainder method.
// Of equal remainders, the member that comes first in Members has precedence.
// Precondition, checked: the sum of the weights is not zero. Thread safety: any
// thread.
std::vector<uint32_t> bucketQuotas(uint16_t Buckets,
                                   const std::vector<TableMember> &Members);

} // namespace burdockstream::routing

#endif
