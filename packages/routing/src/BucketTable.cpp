#include "burdockstream/routing/BucketTable.h"

#include "burdockstream/base/Hash.h"

#include <algorithm>
#include <glog/logging.h>
#include <numeric>
#include <tuple>

namespace burdockstream::routing {

namespace {

// A possible assignment of a bucket to a member.
struct Candidate {
  uint64_t Score; // rendezvous hash of the service, bucket and member id
  uint16_t Bucket;
  uint16_t Member; // index into the members, which are sorted by id
};

// Orders candidates by descending score. Equal scores are ordered by descending
// bucket and member, so that the order is total and equal in all daemons.
bool ranksBefore(const Candidate &A, const Candidate &B) {
  return std::tie(A.Score, A.Bucket, A.Member) >
         std::tie(B.Score, B.Bucket, B.Member);
}

bool isGreater(const TableMember &A, const TableMember &B) {
  return std::tie(A.Id.Value, A.DataAddress.Ip, A.DataAddress.Port, A.Weight) >
         std::tie(B.Id.Value, B.DataAddress.Ip, B.DataAddress.Port, B.Weight);
}

// Removes the members of weight 0, keeps the greatest of the members with the
// same id, and sorts the rest by id.
void normalize(std::vector<TableMember> &Members) {
  std::erase_if(Members, [](const TableMember &M) { return M.Weight == 0; });
  std::sort(Members.begin(), Members.end(), isGreater);
  Members.erase(std::unique(Members.begin(), Members.end(),
                            [](const TableMember &A, const TableMember &B) {
                              return A.Id == B.Id;
                            }),
                Members.end());
  std::reverse(Members.begin(), Members.end());
}

// Returns every (bucket, member) pair, the highest score first.
std::vector<Candidate> rankCandidates(base::ServiceId Service, uint16_t Buckets,
                                      const std::vector<TableMember> &Members) {
  std::vector<Candidate> Candidates;
  Candidates.reserve(size_t{Buckets} * Members.size());
  for (size_t M = 0; M < Members.size(); ++M)
    for (uint16_t Bucket = 0; Bucket < Buckets; ++Bucket)
      Candidates.push_back(
          {base::hashPair(Bucket, Members[M].Id.Value, Service.Value), Bucket,
           static_cast<uint16_t>(M)});
  std::sort(Candidates.begin(), Candidates.end(), ranksBefore);
  return Candidates;
}

} // namespace

std::vector<uint32_t> bucketQuotas(uint16_t Buckets,
                                   const std::vector<TableMember> &Members) {
  uint64_t Total = 0;
  for (const TableMember &M : Members)
    Total += M.Weight;
  CHECK_GT(Total, 0U);
  std::vector<uint32_t> Quotas(Members.size());
  std::vector<uint64_t> Remainders(Members.size());
  uint32_t Unassigned = Buckets;
  for (size_t I = 0; I < Members.size(); ++I) {
    const uint64_t Scaled = uint64_t{Members[I].Weight} * Buckets;
    Quotas[I] = static_cast<uint32_t>(Scaled / Total);
    Remainders[I] = Scaled % Total;
    Unassigned -= Quotas[I];
  }
  std::vector<size_t> Order(Members.size());
  std::iota(Order.begin(), Order.end(), size_t{0});
  std::stable_sort(Order.begin(), Order.end(), [&](size_t A, size_t B) {
    return Remainders[A] > Remainders[B];
  });
  for (size_t I = 0; I < Unassigned; ++I)
    ++Quotas[Order[I]];
  return Quotas;
}

BucketTable BucketTable::build(base::ServiceId Service, uint16_t Buckets,
                               std::vector<TableMember> Members) {
  CHECK_GT(Buckets, 0);
  normalize(Members);
  CHECK_LT(Members.size(), 65535U);
  BucketTable Table;
  Table.MemberIndices.assign(Buckets, 0);
  if (Members.empty())
    return Table;
  // Greedy assignment in order of score. Quotas make the bucket counts exact.
  std::vector<uint32_t> Quotas = bucketQuotas(Buckets, Members);
  std::vector<bool> Assigned(Buckets);
  uint32_t Unassigned = Buckets;
  for (const Candidate &Choice : rankCandidates(Service, Buckets, Members)) {
    if (Assigned[Choice.Bucket] || Quotas[Choice.Member] == 0)
      continue;
    Assigned[Choice.Bucket] = true;
    --Quotas[Choice.Member];
    Table.MemberIndices[Choice.Bucket] = Choice.Member;
    if (--Unassigned == 0)
      break;
  }
  Members.shrink_to_fit();
  Table.Members = std::move(Members);
  return Table;
}

size_t BucketTable::bucketCountOf(base::DaemonId Id) const {
  size_t Count = 0;
  if (!Members.empty())
    for (uint16_t Index : MemberIndices)
      Count += Members[Index].Id == Id ? 1 : 0;
  return Count;
}

size_t BucketTable::memoryBytes() const {
  return MemberIndices.capacity() * sizeof(uint16_t) +
         Members.capacity() * sizeof(TableMember);
}

} // namespace burdockstream::routing
