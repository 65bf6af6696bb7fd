// The text between balancers, also malformed.
#include "burdockstream/flowd/PeerState.h"

#include <gtest/gtest.h>

namespace burdockstream::flowd {
namespace {

const flows::AgentEntry Agent{{0x0A010203, 7000}, "shopdesk", "bc-kam", false};

TEST(PeerStateTest, ReadsWhatAnotherBalancerWrites) {
  const auto Read = readPeerState(writePeerState({7, "{}", {Agent}}), "peer");
  ASSERT_TRUE(Read.has_value());
  EXPECT_EQ(Read.value().Revision, 7);
  EXPECT_EQ(Read.value().Routes, "{}");
  ASSERT_EQ(Read.value().Agents.size(), 1U);
  EXPECT_EQ(Read.value().Agents[0], Agent);
}

// Guards against a process that ends because of a text that it cannot read.
TEST(PeerStateTest, RefusesMalformedText) {
  for (const char *Text :
       {"", "[", "[]", "7", "{}", R"({"revision":"7","routes":"","agents":[]})",
        R"({"revision":7,"routes":"","agents":{"key":1}})"})
    EXPECT_TRUE(readPeerState(Text, "peer").has_error()) << Text;
}

TEST(PeerStateTest, LeavesOutAgentsThatCannotBeRead) {
  const auto Read = readPeerState(
      R"({"revision":7,"routes":"","agents":[7,[],"x",{"key":1},
          {"key":"burdockstream/agents/10.1.2.3:7000","value":"7"}]})",
      "peer");
  ASSERT_TRUE(Read.has_value());
  EXPECT_TRUE(Read.value().Agents.empty());
}

} // namespace
} // namespace burdockstream::flowd
