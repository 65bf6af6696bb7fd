#include "burdockstream/standins/BoardSubscription.h"
#include "burdockstream/standins/ExpectedBodies.h"

#include <gtest/gtest.h>

namespace burdockstream::standins {
namespace {

BoardSubscription subscriptionWith(std::initializer_list<uint32_t> Numbers) {
  BoardSubscription Subscription;
  Subscription.Service = "s";
  Subscription.Board = "b";
  for (const uint32_t Number : Numbers)
    Subscription.recordUpdate(Number, boardBody("s", "b", Number));
  return Subscription;
}

// Guards against a checker that misses lost, duplicate, reordered or altered
// updates.
TEST(BoardSubscriptionTest, CountsEachKindOfFault) {
  EXPECT_EQ(subscriptionWith({5, 6, 7}).Updates, 2U);
  EXPECT_EQ(subscriptionWith({5, 6, 7}).Lost, 0U);
  EXPECT_EQ(subscriptionWith({5, 8}).Lost, 2U);
  EXPECT_EQ(subscriptionWith({5, 6, 6}).Duplicates, 1U);
  EXPECT_EQ(subscriptionWith({5, 7, 6}).OutOfOrder, 1U);
  BoardSubscription Subscription = subscriptionWith({5});
  Subscription.recordUpdate(6, boardBody("s", "b", 7));
  EXPECT_EQ(Subscription.WrongBodies, 1U);
}

// Guards against counting the response to a renewed registration, which repeats
// the newest update, as a duplicate.
TEST(BoardSubscriptionTest, RegistrationMayRepeatTheNewestNumber) {
  BoardSubscription Subscription = subscriptionWith({5});
  Subscription.Registering = true;
  Subscription.recordUpdate(5, boardBody("s", "b", 5));
  EXPECT_EQ(Subscription.Duplicates, 0U);
  Subscription.recordUpdate(5, boardBody("s", "b", 5));
  EXPECT_EQ(Subscription.Duplicates, 1U);
}

// Guards against the endpoint and the caller computing different sheet sizes,
// which would report correct responses as wrong.
TEST(ExpectedBodiesTest, SheetsHaveRequestedSize) {
  for (const size_t Size : {0U, 1U, 1024U, 60'000U})
    EXPECT_EQ(sheetBody("s", "n", Size).size(), Size);
  EXPECT_EQ(sheetSize("a-2000", {}), 2000U);
  EXPECT_EQ(sheetSize("a-2000", {"size=5"}), 5U);
  EXPECT_EQ(sheetSize("a-999999", {}), 60'000U);
  EXPECT_EQ(sheetSize("a-x", {}), 100U);
  EXPECT_NE(sheetBody("s", "a", 100), sheetBody("t", "a", 100));
}

} // namespace
} // namespace burdockstream::standins
