#include "StoreFixture.h"
#include "burdockstream/testing/LinkStandIn.h"

namespace burdockstream::store {
namespace {

constexpr base::SocketAddress LinkAddress{0x7f000001, 28473};
constexpr double LinkBytesPerSecond = 1.25e6; // 10 Mbit/s

// Guards against records that a daemon on a small link never reads, since the
// answer takes longer than the time-out of a call.
TEST_F(StoreFixture, ALargeValueIsReadOverASmallLink) {
  testing::LinkStandIn Link(Address, LinkBytesPerSecond);
  ASSERT_TRUE(Link.listen(LinkAddress));
  const std::string Value(1'000'000, 'x');
  CasRequest Write;
  Write.Key = "records";
  Write.Value = Value;
  ASSERT_TRUE(swap(Write).has_value());
  StoreClient Remote({LinkAddress}, std::chrono::milliseconds(500));
  const auto Reply = await<RangeReply>(
      [&](const RangeCallback &Done) { Remote.readKey("records", Done); });
  ASSERT_TRUE(Reply.has_value()) << Reply.error().Message;
  EXPECT_EQ(Reply.value().Values.at(0).Value, Value);
}

} // namespace
} // namespace burdockstream::store
