#include "burdockstream/records/RecordRules.h"
#include "burdockstream/records/RecordParser.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace burdockstream::records {
namespace {

using base::ErrorKind;
using ::testing::HasSubstr;

ServiceConfig configOf(const std::string &Service, uint16_t Port) {
  ServiceConfig Config;
  Config.Service = Service;
  Config.Id = base::serviceIdOf(Service);
  Config.Team = "retail";
  Config.Address = {0x7f000a01, Port};
  return Config;
}

RecordSet setOf(const std::vector<ServiceConfig> &Configs) {
  RecordSet Set;
  base::Revision Next = 1;
  for (const ServiceConfig &Config : Configs)
    EXPECT_TRUE(Set.apply(Config.Service, Next++, formatRecord(Config).value())
                    .has_value());
  return Set;
}

void expectRejected(const base::Result<void> &Outcome, ErrorKind Kind,
                    const std::string &Text) {
  ASSERT_TRUE(Outcome.has_error());
  EXPECT_EQ(Outcome.error().Kind, Kind);
  EXPECT_THAT(Outcome.error().Message, HasSubstr(Text));
}

// Guards against rules that reject a valid change.
TEST(RecordRulesTest, AllowsValidWrites) {
  const RecordSet Known = setOf({configOf("shopdesk", 1)});
  auto Next = configOf("shopdesk", 2);
  Next.SlotsPerEndpoint = 9;
  EXPECT_TRUE(checkWrite(Known, Next, "retail").has_value());
  Next.Retired = true;
  EXPECT_TRUE(checkWrite(Known, Next, "retail").has_value());
  EXPECT_TRUE(checkWrite(Known, configOf("fitvault", 2), "retail").has_value());
}

// Guards against a change of the bucket count, which would move open flows to
// other buckets.
TEST(RecordRulesTest, ServiceAndBucketCountAreImmutable) {
  const auto Current = configOf("shopdesk", 1);
  auto Next = Current;
  Next.Service = "fitvault";
  expectRejected(checkReplacement(Current, Next), ErrorKind::InvalidArgument,
                 "write 'shopdesk'");
  Next = Current;
  Next.Buckets = 512;
  expectRejected(checkReplacement(Current, Next), ErrorKind::Conflict,
                 "buckets 256");
}

// Guards against two services with one address, which would deliver packets of
// one to the other. The address of a retired service is free.
TEST(RecordRulesTest, AddressesAreUniqueAmongActiveServices) {
  const RecordSet Known = setOf({configOf("shopdesk", 1)});
  expectRejected(checkWrite(Known, configOf("fitvault", 1), "retail"),
                 ErrorKind::AlreadyExists, "belongs to the service shopdesk");
  auto Tombstone = configOf("shopdesk", 1);
  Tombstone.Retired = true;
  EXPECT_TRUE(checkWrite(setOf({Tombstone}), configOf("fitvault", 1), "retail")
                  .has_value());
}

// Guards against a team that changes another team's record.
TEST(RecordRulesTest, TeamsWriteOnlyTheirOwnRecords) {
  const RecordSet Known = setOf({configOf("shopdesk", 1)});
  expectRejected(checkWrite(Known, configOf("shopdesk", 1), "gym"),
                 ErrorKind::PermissionDenied, "belongs to team retail");
  auto OtherTeam = configOf("shopdesk", 1);
  OtherTeam.Team = "gym";
  expectRejected(checkWrite(Known, OtherTeam, "gym"),
                 ErrorKind::PermissionDenied, "belongs to team retail");
  expectRejected(checkWrite(Known, OtherTeam, "retail"),
                 ErrorKind::PermissionDenied, "write team 'retail'");
  expectRejected(checkWrite(Known, configOf("fitvault", 2), "gym"),
                 ErrorKind::PermissionDenied, "belongs to team retail");
}

// Guards against a write of an old schema 1 file that silently drops settings
// which another operator has made in schema 2.
TEST(RecordRulesTest, Schema1WriteDropsNoSettings) {
  auto Current = configOf("shopdesk", 1);
  auto Next = Current;
  Next.SchemaVersion = 1;
  EXPECT_TRUE(checkReplacement(Current, Next).has_value());
  Current.Classes.push_back({"/orders", WorkClass::Long, false, {}});
  expectRejected(checkReplacement(Current, Next), ErrorKind::Conflict,
                 "would drop 'classes'");
  Next.Retired = true;
  EXPECT_TRUE(checkReplacement(Current, Next).has_value());
}

// Guards against a misspelled service name that creates a tombstone instead of
// an error.
TEST(RecordRulesTest, OnlyExistingServicesCanBeRetired) {
  auto Next = configOf("shopdesk", 1);
  Next.Retired = true;
  expectRejected(checkWrite(RecordSet(), Next, "retail"), ErrorKind::NotFound,
                 "no service shopdesk");
}

} // namespace
} // namespace burdockstream::records
