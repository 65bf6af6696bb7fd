#include "burdockstream/settings/DaemonSettings.h"

#include <gtest/gtest.h>

#include <rapidcheck.h>

namespace burdockstream::settings {
namespace {

constexpr std::string_view AgentText = R"({
 "role": "agent",
 "data_address": "127.0.1.9:7000", "control_address": "127.0.1.9:7001",
 "failure_domain": "bc-kam",
 "entries": [{"data_address": "127.0.1.1:7000",
              "control_address": "127.0.1.1:7001", "failure_domain": "bc-kam"}],
 "hash_seed": 9223372036854775807,
 "datagram_keys": [
  {"id": 1, "key": "000102030405060708090a0b0c0d0e0f", "signs": false},
  {"id": 2, "key": "101112131415161718191a1b1c1d1e1f", "signs": true}],
 "control_keys": [{"id": 7, "signs": true, "key":
  "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f"}],
 "store": {"endpoints": ["127.0.9.1:2379"]},
 "teams": [{"name": "retail", "token_sha256":
  "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1eff"}],
 "agent": {"service": "shopdesk", "endpoint_address": "127.0.2.9:5683",
           "slots": 2}
})";

// Guards against a field that is accepted but not used.
TEST(DaemonSettingsTest, ReadsEveryField) {
  const auto Parsed = parseSettings(AgentText, "agent.json");
  ASSERT_TRUE(Parsed.has_value()) << Parsed.error().Message;
  const DaemonSettings &Settings = Parsed.value();
  EXPECT_EQ(toString(Settings.Role), "agent");
  EXPECT_EQ(base::toString(Settings.Data), "127.0.1.9:7000");
  EXPECT_EQ(base::toString(Settings.Control), "127.0.1.9:7001");
  EXPECT_EQ(Settings.FailureDomain, "bc-kam");
  ASSERT_EQ(Settings.Entries.size(), 1U);
  EXPECT_EQ(base::toString(Settings.Entries[0].Control), "127.0.1.1:7001");
  EXPECT_EQ(Settings.HashSeed, 9223372036854775807U);
  EXPECT_EQ(signingKey(Settings.DatagramKeys).Id, 2);
  EXPECT_EQ(Settings.DatagramKeys[1].Bytes[15], 0x1f);
  EXPECT_EQ(signingKey(Settings.ControlKeys).Bytes[31], 0x1f);
  EXPECT_EQ(base::toString(Settings.StoreEndpoints.at(0)), "127.0.9.1:2379");
  EXPECT_EQ(Settings.Teams.at(0).Name, "retail");
  EXPECT_EQ(Settings.Teams.at(0).TokenDigest[31], 0xff);
  EXPECT_EQ(Settings.Agent->Service, "shopdesk");
  EXPECT_EQ(base::toString(Settings.Agent->Endpoint), "127.0.2.9:5683");
  EXPECT_EQ(Settings.Agent->Slots, 2);
}

// Guards against a crash on a corrupt file: text that is truncated or has a
// changed byte yields settings or an error.
TEST(DaemonSettingsTest, CorruptTextYieldsSettingsOrError) {
  EXPECT_TRUE(rc::check([] {
    std::string Text(AgentText);
    const auto Position = *rc::gen::inRange<size_t>(0, Text.size());
    Text[Position] = *rc::gen::arbitrary<char>();
    Text.resize(*rc::gen::inRange<size_t>(0, Text.size() + 1));
    const auto Parsed = parseSettings(Text, "agent.json");
    RC_ASSERT((Parsed.has_value() ||
               Parsed.error().Message.starts_with("agent.json:")));
  }));
}

// Guards against a daemon that starts with default settings because its file is
// missing.
TEST(DaemonSettingsTest, ReportsMissingFile) {
  EXPECT_EQ(loadSettings("missing.json").error().Kind,
            base::ErrorKind::NotFound);
}

} // namespace
} // namespace burdockstream::settings
