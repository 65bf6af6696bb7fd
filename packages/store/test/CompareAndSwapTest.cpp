#include "StoreFixture.h"

namespace burdockstream::store {
namespace {

using CompareAndSwapTest = StoreFixture;

TEST_F(CompareAndSwapTest, CreatesAndReplacesAKey) {
  const auto Created = swap({"/k", "one", 0});
  ASSERT_TRUE(Created.has_value());
  ASSERT_TRUE(Created.value().Succeeded);
  const auto Replaced = swap({"/k", "two", Created.value().StoreRevision});
  ASSERT_TRUE(Replaced.has_value());
  EXPECT_TRUE(Replaced.value().Succeeded);
  const auto Read = read("/k");
  ASSERT_TRUE(Read.has_value());
  ASSERT_EQ(Read.value().Values.size(), 1U);
  EXPECT_EQ(Read.value().Values[0].Value, "two");
  EXPECT_EQ(Read.value().Values[0].ModRevision, Replaced.value().StoreRevision);
}

// Guards against a lost update when two operators write the same key
// concurrently.
TEST_F(CompareAndSwapTest, LostRaceReportsTheCurrentValue) {
  ASSERT_TRUE(swap({"/k", "first", 0}).value().Succeeded);
  const auto Second = swap({"/k", "second", 0});
  ASSERT_TRUE(Second.has_value());
  EXPECT_FALSE(Second.value().Succeeded);
  ASSERT_TRUE(Second.value().Current.has_value());
  EXPECT_EQ(Second.value().Current->Value, "first");
}

// Guards against reporting a write whose response was lost as not done.
TEST_F(CompareAndSwapTest, LostResponseIsUnknownAndARepeatSucceeds) {
  Server.setFault(testing::StoreFault::DropResponse, {});
  const auto Lost = swap({"/k", "value with nonce 17", 0});
  ASSERT_TRUE(Lost.has_error());
  EXPECT_EQ(Lost.error().Kind, base::ErrorKind::OutcomeUnknown);
  Server.setFault(testing::StoreFault::None, {});
  const auto Repeated = swap({"/k", "value with nonce 17", 0});
  ASSERT_TRUE(Repeated.has_value());
  EXPECT_TRUE(Repeated.value().Succeeded);
}

TEST_F(CompareAndSwapTest, SlowStoreIsAnUnknownOutcome) {
  Server.setFault(testing::StoreFault::None, std::chrono::milliseconds(800));
  const auto Slow = swap({"/k", "v", 0});
  ASSERT_TRUE(Slow.has_error());
  EXPECT_EQ(Slow.error().Kind, base::ErrorKind::OutcomeUnknown);
}

} // namespace
} // namespace burdockstream::store
