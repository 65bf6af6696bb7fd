#include "burdockstream/records/RecordParser.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <rapidcheck.h>

namespace burdockstream::records {
namespace {

using ::testing::HasSubstr;

constexpr std::string_view Schema1 = R"({"schema_version": 1,
 "service": "shopdesk", "team": "retail", "address": "127.0.10.1:5683",
 "endpoint_weights": {"bc-kam": 100, "bc-kel": 50},
 "drain_seconds": 20, "slots": 3})";

constexpr std::string_view Schema2 = R"({"schema_version": 2, // comment
 "service": "shopdesk", "team": "retail", "address": "127.0.10.1:5683",
 "buckets": 128,
 "share": {"by_failure_domain": {"bc-kam": 100},
           "by_endpoint_address": {"127.0.11.1:5683": 0}},
 "drain": {"endpoints": ["127.0.11.2:5683"], "timeout_ms": 1500},
 "limits": {"slots_per_endpoint": 4, "connections_per_endpoint": 10,
            "team_max_slots": 8, "team_max_flows": 9},
 "classes": [{"path_prefix": "/orders", "class": "long", "idempotent": false,
              "expected_ms": 700}],
 "address_since": 41, "nonce": "0123456789abcdef0123456789abcdef"})";

// Returns the error message of Base with the first From replaced by To, or a
// text that starts with "accepted" if it parses.
std::string errorAfterReplacing(std::string_view Base, std::string_view From,
                                std::string_view To) {
  std::string Text(Base);
  Text.replace(Text.find(From), From.size(), To);
  const auto Config = parseRecord(Text, "r.json");
  return Config.has_error() ? Config.error().Message : "accepted: " + Text;
}

// Guards against a schema 1 field that is accepted but not used.
TEST(RecordParserTest, ReadsEveryFieldOfSchema1) {
  const auto Config = parseRecord(Schema1, "r.json");
  ASSERT_TRUE(Config.has_value()) << Config.error().Message;
  EXPECT_EQ(Config.value().Id, base::serviceIdOf("shopdesk"));
  EXPECT_EQ(Config.value().Buckets, DefaultBuckets);
  EXPECT_EQ(Config.value().DomainShares,
            (std::vector<DomainShare>{{"bc-kam", 100}, {"bc-kel", 50}}));
  EXPECT_EQ(Config.value().DrainTimeout, std::chrono::seconds(20));
  EXPECT_EQ(Config.value().SlotsPerEndpoint, 3);
}

// Guards against a schema 2 field that is accepted but not used.
TEST(RecordParserTest, ReadsEveryFieldOfSchema2) {
  const auto Parsed = parseRecord(Schema2, "r.json");
  ASSERT_TRUE(Parsed.has_value()) << Parsed.error().Message;
  const ServiceConfig &Config = Parsed.value();
  EXPECT_EQ(Config.Team, "retail");
  EXPECT_EQ(base::toString(Config.Address), "127.0.10.1:5683");
  EXPECT_EQ(Config.Buckets, 128);
  EXPECT_EQ(Config.EndpointShares.at(0).Weight, 0U);
  EXPECT_EQ(base::toString(Config.DrainedEndpoints.at(0)), "127.0.11.2:5683");
  EXPECT_EQ(Config.DrainTimeout, std::chrono::milliseconds(1500));
  EXPECT_EQ(Config.SlotsPerEndpoint, 4);
  EXPECT_EQ(Config.ConnectionsPerEndpoint, 10U);
  EXPECT_EQ(Config.TeamMaxSlots, 8U);
  EXPECT_EQ(Config.TeamMaxFlows, 9U);
  EXPECT_EQ(Config.Classes,
            (std::vector<ClassRule>{{"/orders", WorkClass::Long, false,
                                     std::chrono::milliseconds(700)}}));
  EXPECT_EQ(Config.AddressSince, 41);
  EXPECT_EQ(Config.Nonce, "0123456789abcdef0123456789abcdef");
}

// Guards against a misspelled field name that is ignored, so that the default
// silently applies.
TEST(RecordParserTest, RejectsUnknownFieldsOfEachSchema) {
  EXPECT_THAT(errorAfterReplacing(Schema1, "\"slots\"", "\"buckets\""),
              HasSubstr("r.json:4: buckets: the field is unknown"));
  EXPECT_THAT(errorAfterReplacing(Schema2, "\"buckets\"", "\"slots\""),
              HasSubstr("r.json:3: slots: the field is unknown"));
  for (const char *Field : {"by_failure_domain", "endpoints", "timeout_ms",
                            "team_max_slots", "expected_ms", "nonce"})
    EXPECT_THAT(errorAfterReplacing(Schema2, Field, "other"),
                HasSubstr("the field is unknown; remove it or use one of: "))
        << Field;
}

// Guards against an invalid value that reaches a daemon, and against an error
// message without line, field or remedy.
TEST(RecordParserTest, RejectsInvalidValuesWithLineAndRemedy) {
  EXPECT_EQ(errorAfterReplacing(Schema2, "128", "0"),
            "r.json:3: buckets: 0 is not allowed; write a whole number from 1 "
            "to 4096");
  EXPECT_EQ(errorAfterReplacing(Schema2, "\"/orders\"", "\"orders\""),
            "r.json:9: classes[0].path_prefix: the path prefix is relative; "
            "start it with '/'");
  EXPECT_EQ(errorAfterReplacing(Schema2, "\"long\"", "\"slow\""),
            "r.json:9: classes[0].class: \"slow\" is not allowed; write short "
            "or long");
  EXPECT_THAT(errorAfterReplacing(Schema2, "\"127.0.11.1:5683\"", "\"vm-1\""),
              HasSubstr("r.json:5: share.by_endpoint_address.vm-1: 'vm-1' is "
                        "not an address"));
  EXPECT_THAT(errorAfterReplacing(Schema2, "\"shopdesk\"", "\"Shop Desk\""),
              HasSubstr("r.json:2: service: \"Shop Desk\" is not allowed"));
  EXPECT_THAT(errorAfterReplacing(Schema2, "\"service\": \"shopdesk\", ", ""),
              HasSubstr("r.json:1: service: the field is missing; add it"));
  EXPECT_THAT(errorAfterReplacing(Schema2, "\"schema_version\": 2",
                                  "\"schema_version\": 3"),
              HasSubstr("r.json:1: schema_version: 3 is not allowed"));
  EXPECT_THAT(errorAfterReplacing(Schema2, "abcdef\"", "abcdeg\""),
              HasSubstr("nonce: the nonce has the wrong form"));
  EXPECT_THAT(parseRecord(std::string(MaxRecordBytes + 1, ' '), "r.json")
                  .error()
                  .Message,
              HasSubstr("shorten it to 32768"));
}

// Guards against a setting that is lost between an operator's schema 1 record
// and its migrated form.
TEST(RecordParserTest, MigrationKeepsAllSettings) {
  auto Before = parseRecord(Schema1, "r.json");
  const auto Text = migrateRecord(Schema1, "r.json");
  ASSERT_TRUE(Text.has_value());
  const auto After = parseRecord(Text.value(), "migrated");
  ASSERT_TRUE(After.has_value()) << After.error().Message;
  Before.value().SchemaVersion = 2;
  EXPECT_EQ(Before.value(), After.value());
}

// Guards against formatting in schema version 1 that silently drops settings.
TEST(RecordParserTest, Schema1CannotExpressSchema2Settings) {
  auto Config = parseRecord(Schema2, "r.json").value();
  Config.SchemaVersion = 1;
  EXPECT_EQ(formatRecord(Config).error().Message,
            "schema version 1 cannot express buckets, "
            "share.by_endpoint_address, drain.endpoints, drain.timeout_ms, "
            "limits.connections_per_endpoint, limits.team_max_slots, "
            "limits.team_max_flows, classes; write the record in schema "
            "version 2");
}

ServiceConfig arbitraryConfig() {
  const auto Number = [](int Min, int Max) {
    return *rc::gen::inRange(Min, Max + 1);
  };
  ServiceConfig Config;
  Config.Service = "svc-" + std::to_string(Number(0, 99));
  Config.Id = base::serviceIdOf(Config.Service);
  Config.Team = "team";
  Config.Address = {0x7f000001, static_cast<uint16_t>(Number(1, 65535))};
  Config.SchemaVersion = Number(1, 2);
  Config.Retired = Number(0, 1) == 1;
  for (int I = 0; I < Number(0, 3); ++I)
    Config.DomainShares.push_back({"d" + std::to_string(I), 7U * I});
  Config.DrainTimeout = std::chrono::seconds(Number(0, 3600));
  Config.SlotsPerEndpoint = static_cast<uint16_t>(Number(1, 1024));
  if (Config.SchemaVersion == 1)
    return Config;
  Config.Buckets = static_cast<uint16_t>(Number(1, 4096));
  if (Number(0, 1) == 1)
    Config.TeamMaxFlows = Number(1, 1000);
  for (int I = 0; I < Number(0, 2); ++I)
    Config.EndpointShares.push_back(
        {{0x7f000101, static_cast<uint16_t>(1000 + I)}, 9});
  for (int I = 0; I < Number(0, 2); ++I)
    Config.Classes.push_back({"/p" + std::to_string(I), WorkClass::Long, I == 0,
                              std::chrono::milliseconds(I)});
  return Config;
}

// Guards against a field that formatRecord() or parseRecord() leaves out.
TEST(RecordParserTest, TextRoundTripKeepsEveryField) {
  EXPECT_TRUE(rc::check([] {
    const ServiceConfig Config = arbitraryConfig();
    const auto Text = formatRecord(Config);
    RC_ASSERT(Text.has_value());
    const auto Parsed = parseRecord(Text.value(), "r.json");
    RC_ASSERT(Parsed.has_value());
    RC_ASSERT((Parsed.value() == Config));
  }));
}

} // namespace
} // namespace burdockstream::records
