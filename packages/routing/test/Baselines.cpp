#include "Baselines.h"

#include "burdockstream/base/Hash.h"
#include "burdockstream/base/Random.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace burdockstream::routing::test {

Assignment bucketTable(base::ServiceId Service, uint16_t Buckets,
                       const std::vector<TableMember> &Members) {
  const BucketTable Table = BucketTable::build(Service, Buckets, Members);
  Assignment Result;
  for (uint16_t Bucket = 0; Bucket < Buckets; ++Bucket)
    Result.push_back(Table.owner(Bucket)->Id);
  return Result;
}

Assignment hashModulo(base::ServiceId Service, uint16_t Buckets,
                      const std::vector<TableMember> &Members) {
  Assignment Result;
  for (uint16_t Bucket = 0; Bucket < Buckets; ++Bucket) {
    const uint64_t Hash = base::hashPair(Bucket, 0, Service.Value);
    Result.push_back(Members[Hash % Members.size()].Id);
  }
  return Result;
}

Assignment weightedRendezvous(base::ServiceId Service, uint16_t Buckets,
                              const std::vector<TableMember> &Members) {
  Assignment Result;
  for (uint16_t Bucket = 0; Bucket < Buckets; ++Bucket) {
    double Best = -1;
    base::DaemonId Owner;
    for (const TableMember &M : Members) {
      const uint64_t Hash = base::hashPair(Bucket, M.Id.Value, Service.Value);
      const double Unit = (static_cast<double>(Hash >> 11) + 0.5) / 0x1p53;
      const double Score = -double(M.Weight) / std::log(Unit);
      if (Score > Best) {
        Best = Score;
        Owner = M.Id;
      }
    }
    Result.push_back(Owner);
  }
  return Result;
}

std::vector<TableMember> makeMembers(size_t Count, uint32_t Weight,
                                     uint64_t Seed) {
  base::RandomSource Random(Seed);
  std::vector<TableMember> Members;
  for (size_t I = 0; I < Count; ++I)
    Members.push_back(
        {{Random()}, {static_cast<uint32_t>(0x0a000001 + I), 6000}, Weight});
  return Members;
}

double maxLoadRatio(const Assignment &Buckets,
                    const std::vector<TableMember> &Members) {
  std::map<base::DaemonId, double> Counts;
  for (base::DaemonId Id : Buckets)
    Counts[Id] += 1;
  double Total = 0;
  for (const TableMember &M : Members)
    Total += M.Weight;
  double MaxRatio = 0;
  for (const TableMember &M : Members)
    if (M.Weight != 0)
      MaxRatio = std::max(MaxRatio, Counts[M.Id] * Total /
                                        (M.Weight * double(Buckets.size())));
  return MaxRatio;
}

size_t movedBuckets(const Assignment &Before, const Assignment &After) {
  size_t Count = 0;
  for (size_t I = 0; I < Before.size(); ++I)
    Count += Before[I] == After[I] ? 0 : 1;
  return Count;
}

} // namespace burdockstream::routing::test
