#include "burdockstream/records/RecordSet.h"
#include "burdockstream/base/Random.h"
#include "burdockstream/records/RecordParser.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <rapidcheck.h>

namespace burdockstream::records {
namespace {

std::string bodyOf(const std::string &Service, uint16_t Port,
                   bool Retired = false, uint16_t Buckets = DefaultBuckets) {
  ServiceConfig Config;
  Config.Service = Service;
  Config.Team = "retail";
  Config.Address = {0x7f000a01, Port};
  Config.Retired = Retired;
  Config.Buckets = Buckets;
  return formatRecord(Config).value();
}

ApplyOutcome apply(RecordSet &Set, const std::string &Service,
                   base::Revision Revision, const std::string &Body) {
  return Set.apply(Service, Revision, Body).value();
}

// Guards against an index that lacks an applied record.
TEST(RecordSetTest, FindsByIdNameAndAddress) {
  RecordSet Set;
  EXPECT_EQ(apply(Set, "shopdesk", 4, bodyOf("shopdesk", 7)),
            ApplyOutcome::Applied);
  const auto *Record = Set.find(base::serviceIdOf("shopdesk"));
  ASSERT_NE(Record, nullptr);
  EXPECT_EQ(Record->Config.StoreRevision, 4);
  EXPECT_EQ(Set.findByName("shopdesk"), Record);
  EXPECT_EQ(Set.findByAddress({0x7f000a01, 7}), &Record->Config);
  EXPECT_EQ(Set.findByAddress({0x7f000a01, 8}), nullptr);
  EXPECT_EQ(Set.findByName("fitvault"), nullptr);
}

// Guards against a record that reverts to an older version because a gossip
// message is delayed.
TEST(RecordSetTest, OnlyHigherRevisionsAreApplied) {
  RecordSet Set;
  apply(Set, "shopdesk", 4, bodyOf("shopdesk", 7));
  EXPECT_EQ(apply(Set, "shopdesk", 4, bodyOf("shopdesk", 8)),
            ApplyOutcome::NotNewer);
  EXPECT_EQ(apply(Set, "shopdesk", 3, bodyOf("shopdesk", 8)),
            ApplyOutcome::NotNewer);
  EXPECT_EQ(Set.generation(), 1U);
  EXPECT_EQ(apply(Set, "shopdesk", 5, bodyOf("shopdesk", 8)),
            ApplyOutcome::Applied);
  EXPECT_EQ(Set.findByAddress({0x7f000a01, 7}), nullptr);
  EXPECT_NE(Set.findByAddress({0x7f000a01, 8}), nullptr);
}

// Guards against a retired service that a delayed older update restores, and
// against a tombstone that keeps its address occupied.
TEST(RecordSetTest, TombstonesPersistAndReleaseTheAddress) {
  RecordSet Set;
  apply(Set, "shopdesk", 4, bodyOf("shopdesk", 7));
  apply(Set, "shopdesk", 6, bodyOf("shopdesk", 7, true));
  EXPECT_EQ(apply(Set, "shopdesk", 5, bodyOf("shopdesk", 7)),
            ApplyOutcome::NotNewer);
  EXPECT_TRUE(Set.findByName("shopdesk")->Config.Retired);
  EXPECT_EQ(Set.findByAddress({0x7f000a01, 7}), nullptr);
  apply(Set, "fitvault", 8, bodyOf("fitvault", 7));
  EXPECT_EQ(Set.findByAddress({0x7f000a01, 7})->Service, "fitvault");
}

// Guards against an invalid update that replaces a valid record.
TEST(RecordSetTest, RejectedUpdatesKeepTheRecord) {
  RecordSet Set;
  apply(Set, "shopdesk", 4, bodyOf("shopdesk", 7));
  EXPECT_TRUE(Set.apply("shopdesk", 5, "{").has_error());
  EXPECT_TRUE(Set.apply("shopdesk", 5, bodyOf("other", 7)).has_error());
  EXPECT_EQ(
      Set.apply("shopdesk", 5, bodyOf("shopdesk", 7, false, 512)).error().Kind,
      base::ErrorKind::Conflict);
  EXPECT_EQ(Set.findByName("shopdesk")->Config.StoreRevision, 4);
  EXPECT_EQ(apply(Set, "shopdesk", 5, bodyOf("shopdesk", 9)),
            ApplyOutcome::Applied);
}

// Guards against packets that reach the wrong service after concurrent writes
// of two records with one address.
TEST(RecordSetTest, EarliestClaimOwnsContestedAddress) {
  RecordSet Set;
  apply(Set, "fitvault", 5, bodyOf("fitvault", 7));
  apply(Set, "shopdesk", 4, bodyOf("shopdesk", 7));
  EXPECT_EQ(Set.findByAddress({0x7f000a01, 7})->Service, "shopdesk");
  EXPECT_EQ(Set.contestedAddresses().size(), 1U);
  const auto Others =
      Set.servicesInConflictWith(Set.findByName("fitvault")->Config);
  ASSERT_EQ(Others.size(), 1U);
  EXPECT_EQ(Others[0]->Service, "shopdesk");
  apply(Set, "fitvault", 6, bodyOf("fitvault", 8));
  EXPECT_EQ(Set.findByAddress({0x7f000a01, 7})->Service, "shopdesk");
  EXPECT_TRUE(Set.contestedAddresses().empty());
  EXPECT_TRUE(
      Set.servicesInConflictWith(Set.findByName("fitvault")->Config).empty());
}

// Guards against daemons whose sets differ because updates arrived in different
// orders or more than once.
TEST(RecordSetTest, ResultIsIndependentOfArrivalOrder) {
  EXPECT_TRUE(rc::check([] {
    struct Update {
      std::string Service;
      base::Revision Revision;
      std::string Body;
    };
    std::vector<Update> Updates;
    for (int I = 1; I <= 12; ++I) {
      const std::string Service = "s" + std::to_string(*rc::gen::inRange(0, 3));
      const auto Port = static_cast<uint16_t>(*rc::gen::inRange(1, 4));
      Updates.push_back(
          {Service, I, bodyOf(Service, Port, *rc::gen::inRange(0, 4) == 0)});
    }
    RecordSet InOrder;
    RecordSet Shuffled;
    for (const Update &U : Updates)
      apply(InOrder, U.Service, U.Revision, U.Body);
    std::vector<Update> WithDuplicates = Updates;
    WithDuplicates.insert(WithDuplicates.end(), Updates.begin(), Updates.end());
    std::shuffle(WithDuplicates.begin(), WithDuplicates.end(),
                 base::RandomSource(*rc::gen::inRange(0, 1000)));
    for (const Update &U : WithDuplicates)
      apply(Shuffled, U.Service, U.Revision, U.Body);
    RC_ASSERT(InOrder.all().size() == Shuffled.all().size());
    for (const auto &[Service, Record] : InOrder.all())
      RC_ASSERT((Shuffled.findByName(Service)->Config == Record.Config));
    for (uint16_t Port = 1; Port < 4; ++Port) {
      const auto *A = InOrder.findByAddress({0x7f000a01, Port});
      const auto *B = Shuffled.findByAddress({0x7f000a01, Port});
      RC_ASSERT((A ? A->Service : "") == (B ? B->Service : ""));
    }
  }));
}

} // namespace
} // namespace burdockstream::records
