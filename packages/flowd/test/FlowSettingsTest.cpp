// Tests parsing of the settings file and of agent entries in the store.
#include "burdockstream/flowd/FlowSettings.h"
#include "burdockstream/base/JsonText.h"
#include "burdockstream/flowd/AgentEntries.h"

#include <gtest/gtest.h>
#include <map>
#include <string>

namespace burdockstream::flowd {
namespace {

std::string example(const std::string &Name) {
  return base::readTextFile("examples/flows/" + Name).value();
}

std::string replaced(std::string Text, const std::string &From,
                     const std::string &To) {
  const size_t At = Text.find(From);
  EXPECT_NE(At, std::string::npos) << From;
  return Text.replace(At, From.size(), To);
}

TEST(FlowSettingsTest, ReadsTheExamples) {
  const auto Balancer = parseFlowSettings(example("balancer.json"), "b");
  ASSERT_TRUE(Balancer.has_value()) << Balancer.error().Message;
  EXPECT_EQ(Balancer.value().Role, FlowRole::Balancer);
  EXPECT_TRUE(Balancer.value().ReadyAddress.has_value());
  const auto Agent = parseFlowSettings(example("agent.json"), "a");
  ASSERT_TRUE(Agent.has_value()) << Agent.error().Message;
  EXPECT_EQ(Agent.value().Agent->Service, "shopdesk");
  EXPECT_EQ(Agent.value().Agent->HeartbeatInterval,
            std::chrono::milliseconds(1200));
}

// Guards against a daemon that starts with mistyped settings.
TEST(FlowSettingsTest, RejectsInvalidFieldsByName) {
  const std::string Agent = example("agent.json");
  const auto Problem = [](const std::string &Text) {
    const auto Parsed = parseFlowSettings(Text, "agent.json");
    return Parsed.has_error() ? Parsed.error().Message : "accepted";
  };
  EXPECT_NE(
      Problem(replaced(Agent, "\"role\": \"agent\"", "\"role\": \"agnet\""))
          .find("balancer or agent"),
      std::string::npos);
  EXPECT_NE(
      Problem(replaced(Agent, "\"service\"", "\"servce\"")).find("servce"),
      std::string::npos);
  EXPECT_NE(Problem(replaced(Agent, "1200", "0")).find("heartbeat_interval_ms"),
            std::string::npos);
  EXPECT_NE(
      Problem(replaced(Agent, "\"role\": \"agent\"", "\"role\": \"balancer\""))
          .find("a balancer has no target"),
      std::string::npos);
  EXPECT_EQ(Problem(Agent), "accepted");
  const std::string Balancer = example("balancer.json");
  EXPECT_NE(Problem(replaced(Balancer, "1000", "0")).find("link_mbps"),
            std::string::npos);
  EXPECT_EQ(Problem(replaced(Balancer, "1000", "12.5")), "accepted");
}

// Guards against a process that does not start because a time is a fraction
// (review/15), or that takes one out of range.
TEST(FlowSettingsTest, TimesMayBeFractions) {
  const auto Parse = [](const std::string &Field, const std::string &Value) {
    std::string Text = example("agent.json");
    const size_t At = Text.find(Field + "\": ") + Field.size() + 3;
    Text.replace(At, Text.find_first_of(", ", At) - At, Value);
    return parseFlowSettings(Text, "agent.json");
  };
  struct Case {
    std::string Field;
    base::Duration (*Read)(const FlowSettings &);
    base::Duration Unit;
    std::string Range;
  };
  for (const Case &Each :
       {Case{"grace_period_s",
             [](const FlowSettings &S) { return S.GracePeriod; },
             std::chrono::seconds(1), "from 1 to 3600"},
        Case{"address_reuse_delay_s",
             [](const FlowSettings &S) { return S.Agent->AddressReuseDelay; },
             std::chrono::seconds(1), "from 1 to 3600"},
        Case{"heartbeat_interval_ms",
             [](const FlowSettings &S) { return S.Agent->HeartbeatInterval; },
             std::chrono::milliseconds(1), "from 50 to 60000"}}) {
    for (const auto &[Text, Value] : std::map<std::string, double>{
             {"62.5", 62.5}, {"60.0", 60}, {"1e2", 100}, {"99", 99}}) {
      const auto Parsed = Parse(Each.Field, Text);
      ASSERT_TRUE(Parsed.has_value()) << Parsed.error().Message;
      EXPECT_EQ(Each.Read(Parsed.value()).count(),
                Value * static_cast<double>(Each.Unit.count()))
          << Each.Field << " " << Text;
    }
    for (const char *Text :
         {"0.5", "60000.5", "-2", "true", "\"2.5\"", "null"}) {
      const auto Parsed = Parse(Each.Field, Text);
      ASSERT_TRUE(Parsed.has_error()) << Each.Field << " " << Text;
      EXPECT_NE(Parsed.error().Message.find(Each.Field + ": "),
                std::string::npos);
      EXPECT_NE(Parsed.error().Message.find("write a number " + Each.Range),
                std::string::npos)
          << Parsed.error().Message;
    }
  }
}

// Guards against a balancer that rejects the value that switches repeated
// offers off, or that switches them on without the setting.
TEST(FlowSettingsTest, RepeatedOffersAreOffUnlessStated) {
  const std::string Field = "\"opening_attempt_ms\": 1400,";
  const auto Attempt = [&](const std::string &Replacement) {
    const auto Parsed = parseFlowSettings(
        replaced(example("balancer.json"), Field, Replacement), "b");
    return Parsed.has_value() ? Parsed.value().OpeningAttempt
                              : base::Duration(-1);
  };
  EXPECT_EQ(Attempt(""), base::Duration(0));
  EXPECT_EQ(Attempt("\"opening_attempt_ms\": 0,"), base::Duration(0));
  EXPECT_EQ(Attempt(Field), std::chrono::milliseconds(1400));
}

TEST(AgentEntriesTest, ParsesFormattedEntry) {
  const flows::AgentEntry Entry{{0x0A010203, 7000}, "shopdesk", "bc-kam"};
  const auto Parsed =
      parseEntry(formatEntryKey(Entry.Agent), formatEntryValue(Entry));
  ASSERT_TRUE(Parsed.has_value());
  EXPECT_EQ(Parsed.value(), Entry);
}

// Guards against a malformed entry in the store that makes a balancer crash or
// use a wrong address.
// Former builds write no "restarting" and ignore it, as any field that they do
// not know.
TEST(AgentEntriesTest, AnnouncesARestart) {
  const base::SocketAddress Agent{0x0A010203, 7000};
  flows::AgentEntry Entry{Agent, "shopdesk", "bc-kam"};
  const std::string Former =
      R"({"failure_domain":"bc-kam","service":"shopdesk"})";
  EXPECT_EQ(formatEntryValue(Entry), Former);
  Entry.Restarting = true;
  const std::string Value = formatEntryValue(Entry);
  EXPECT_EQ(
      Value,
      R"({"failure_domain":"bc-kam","restarting":true,"service":"shopdesk"})");
  EXPECT_EQ(parseEntry(formatEntryKey(Agent), Value).value(), Entry);
  EXPECT_FALSE(parseEntry(formatEntryKey(Agent), Former).value().Restarting);
}

TEST(AgentEntriesTest, RejectsMalformedEntries) {
  const std::string Key = formatEntryKey({0x0A010203, 7000});
  for (const char *Value : {"", "[]", "{", "{}", R"({"service":7})",
                            R"({"service":"a","failure_domain":null})"})
    EXPECT_TRUE(parseEntry(Key, Value).has_error()) << Value;
  EXPECT_TRUE(parseEntry("burdockstream/agents/x",
                         R"({"service":"a","failure_domain":"b"})")
                  .has_error());
  EXPECT_FALSE(parseEntryKey("other/10.1.2.3:1").has_value());
}

} // namespace
} // namespace burdockstream::flowd
