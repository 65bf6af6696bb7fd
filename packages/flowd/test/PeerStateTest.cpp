// Tests parsing and serialization of the state that balancers exchange.
#include "burdockstream/flowd/PeerState.h"

#include "burdockstream/base/StoreEra.h"

#include <gtest/gtest.h>

namespace burdockstream::flowd {
namespace {

const flows::AgentEntry Agent{{0x0A010203, 7000}, "shopdesk", "bc-kam", false};

TEST(PeerStateTest, ParsesSerializedState) {
  const auto Parsed =
      parsePeerState(serializePeerState({7, "{}", {Agent}}), "peer");
  ASSERT_TRUE(Parsed.has_value());
  EXPECT_EQ(Parsed.value().Revision, 7);
  EXPECT_EQ(Parsed.value().Routes, "{}");
  ASSERT_EQ(Parsed.value().Agents.size(), 1U);
  EXPECT_EQ(Parsed.value().Agents[0], Agent);
}

// Both builds run side by side while a fleet is upgraded.
TEST(PeerStateTest, StateOfBuild3b4e586Differs) {
  const std::string Former =
      R"({"agents":[{"key":"burdockstream/agents/10.1.2.4:7720",)"
      R"("value":"{\"failure_domain\":\"bc-kam\",\"service\":\"shop\"}"}],)"
      R"("revision":1099511627794,"routes":"{}"})";
  const auto Parsed = parsePeerState(Former, "peer");
  ASSERT_TRUE(Parsed.has_value());
  EXPECT_EQ(Parsed.value().Revision, base::orderRevision(2, 18));
  EXPECT_EQ(serializePeerState(Parsed.value()), Former);
}

// Guards against a crash on malformed text from a peer.
TEST(PeerStateTest, RefusesMalformedText) {
  for (const char *Text :
       {"", "[", "[]", "7", "{}", R"({"revision":"7","routes":"","agents":[]})",
        R"({"revision":7,"routes":"","agents":{"key":1}})"})
    EXPECT_TRUE(parsePeerState(Text, "peer").has_error()) << Text;
}

TEST(PeerStateTest, SkipsMalformedAgents) {
  const auto Parsed = parsePeerState(
      R"({"revision":7,"routes":"","agents":[7,[],"x",{"key":1},
          {"key":"burdockstream/agents/10.1.2.3:7000","value":"7"}]})",
      "peer");
  ASSERT_TRUE(Parsed.has_value());
  EXPECT_TRUE(Parsed.value().Agents.empty());
}

} // namespace
} // namespace burdockstream::flowd
