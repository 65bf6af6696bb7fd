#include "StoreFixture.h"

namespace burdockstream::store {
namespace {

class WatchTest : public StoreFixture {
protected:
  std::unique_ptr<Watch> open(base::Revision Start) {
    return Client.watch(
        {"/records/", Start},
        [this](const WatchEvent &Event) { Events.push_back(Event); },
        [this](const base::Error &) { Ended = true; });
  }

  std::vector<WatchEvent> Events;
  bool Ended = false;
};

// Guards against missing changes made between a read and the watch that
// follows.
TEST_F(WatchTest, DeliversChangesFromTheStartRevision) {
  const auto First = swap({"/records/a", "1", 0});
  ASSERT_TRUE(First.value().Succeeded);
  ASSERT_TRUE(swap({"/other/a", "1", 0}).value().Succeeded);
  const auto Watch = open(First.value().StoreRevision);
  runUntil([&] { return Events.size() == 1; });
  ASSERT_TRUE(swap({"/records/b", "2", 0}).value().Succeeded);
  runUntil([&] { return Events.size() == 2; });
  EXPECT_EQ(Events[0].Entry.Key, "/records/a");
  EXPECT_EQ(Events[1].Entry.Key, "/records/b");
}

// Guards against a watch that never reports its end after the store has become
// unavailable.
TEST_F(WatchTest, ReportsTheEndWhenTheStoreIsUnavailable) {
  const auto Watch = open(1);
  ASSERT_TRUE(swap({"/records/a", "1", 0}).value().Succeeded);
  runUntil([&] { return Events.size() == 1; });
  Server.setFault(testing::StoreFault::Disconnect, {});
  runUntil([&] { return Ended; });
  SUCCEED();
}

} // namespace
} // namespace burdockstream::store
