#include "Baselines.h"

#include "burdockstream/base/Random.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cstdlib>

namespace burdockstream::routing {
namespace {

// Generates 0 to 40 members with weights in [0, 1000).
std::vector<TableMember> arbitraryMembers() {
  const auto Weights = *rc::gen::suchThat(
      rc::gen::container<std::vector<uint32_t>>(rc::gen::inRange(0U, 1000U)),
      [](const auto &W) { return W.size() <= 40; });
  auto Members = test::makeMembers(Weights.size(), 0, *rc::gen::inRange(1, 99));
  for (size_t I = 0; I < Members.size(); ++I)
    Members[I].Weight = Weights[I];
  return Members;
}

// Guards against an endpoint whose number of buckets is not proportional to its
// weight. Rounding must change it by less than one bucket.
TEST(BucketTable, HonorsWeightsWithinOneBucket) {
  EXPECT_TRUE(rc::check([] {
    const auto Members = arbitraryMembers();
    const auto Buckets = *rc::gen::inRange<uint16_t>(1, 1025);
    const auto Table = BucketTable::build({42}, Buckets, Members);
    double Total = 0;
    for (const TableMember &M : Members)
      Total += M.Weight;
    RC_PRE(Total > 0);
    for (const TableMember &M : Members) {
      const double ProportionalCount = M.Weight * double(Buckets) / Total;
      RC_ASSERT(std::abs(double(Table.bucketCountOf(M.Id)) -
                         ProportionalCount) < 1.0);
    }
  }));
}

// Guards against daemons that compute different tables because they learned of
// the members in different orders.
TEST(BucketTable, DoesNotDependOnMemberOrder) {
  EXPECT_TRUE(rc::check([] {
    auto Members = arbitraryMembers();
    const auto Table = BucketTable::build({7}, 256, Members);
    base::RandomSource Random(*rc::gen::inRange(0, 1000));
    for (size_t I = Members.size(); I > 1; --I)
      std::swap(Members[I - 1], Members[base::randomBelow(Random, I)]);
    RC_ASSERT(BucketTable::build({7}, 256, Members) == Table);
  }));
}

// Guards against a member that receives two quotas because its id is repeated.
TEST(BucketTable, CountsRepeatedIdsOnce) {
  auto Members = test::makeMembers(3, 100, 5);
  const auto Table = BucketTable::build({7}, 256, Members);
  Members.push_back(Members.front());
  EXPECT_EQ(BucketTable::build({7}, 256, Members), Table);
}

// Guards against an access to the empty member list when a bucket is looked up
// in a table whose members all have weight 0.
TEST(BucketTable, HasNoOwnersWithoutMembers) {
  const auto Table = BucketTable::build({7}, 16, {{{1}, {}, 0}});
  EXPECT_EQ(Table.bucketCount(), 16);
  EXPECT_EQ(Table.owner(3), nullptr);
}

} // namespace
} // namespace burdockstream::routing
