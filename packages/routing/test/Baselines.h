// Assignment policies that the design rejects in favour of BucketTable, which
// the tests compare it with, and helpers to compare assignments.
#ifndef BURDOCKSTREAM_ROUTING_TEST_BASELINES_H
#define BURDOCKSTREAM_ROUTING_TEST_BASELINES_H

#include "burdockstream/routing/BucketTable.h"

#include <functional>
#include <vector>

namespace burdockstream::routing::test {

// The id of the endpoint of every bucket, by bucket index.
using Assignment = std::vector<base::DaemonId>;
using AssignmentPolicy = std::function<Assignment(
    base::ServiceId, uint16_t Buckets, const std::vector<TableMember> &)>;

// The assignment of BucketTable. Precondition: Members has a positive weight.
Assignment bucketTable(base::ServiceId Service, uint16_t Buckets,
                       const std::vector<TableMember> &Members);

// Hash modulo the number of endpoints; ignores weights. Precondition: Members
// is not empty.
Assignment hashModulo(base::ServiceId Service, uint16_t Buckets,
                      const std::vector<TableMember> &Members);

// Weighted rendezvous hashing: each bucket goes to the endpoint with the
// greatest score -weight / ln(hash), with the hash scaled to (0, 1).
Assignment weightedRendezvous(base::ServiceId Service, uint16_t Buckets,
                              const std::vector<TableMember> &Members);

// Returns Count members of the given weight, with ids from the pseudo-random
// sequence of Seed.
std::vector<TableMember> makeMembers(size_t Count, uint32_t Weight,
                                     uint64_t Seed);

// Returns the maximum over all members of the number of buckets assigned to the
// member, divided by the number proportional to its weight.
double maxLoadRatio(const Assignment &Buckets,
                    const std::vector<TableMember> &Members);

// Returns the number of buckets whose endpoint differs. Precondition: both
// assignments have the same number of buckets.
size_t movedBuckets(const Assignment &Before, const Assignment &After);

} // namespace burdockstream::routing::test

#endif
