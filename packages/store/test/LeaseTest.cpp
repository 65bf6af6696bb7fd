#include "StoreFixture.h"

namespace burdockstream::store {
namespace {

using LeaseTest = StoreFixture;

// Guards against a key that outlives the lease of its writer.
TEST_F(LeaseTest, KeyIsRemovedWithItsLease) {
  const auto Lease = await<LeaseReply>([&](const LeaseCallback &Done) {
    Client.grantLease(std::chrono::seconds(1), Done);
  });
  ASSERT_TRUE(Lease.has_value());
  ASSERT_TRUE(
      swap({"/holder", "me", 0, Lease.value().Lease}).value().Succeeded);
  const gint64 End = g_get_monotonic_time() + gint64{3} * G_USEC_PER_SEC;
  bool Present = true;
  while (Present && g_get_monotonic_time() < End)
    Present = !read("/holder").value().Values.empty();
  EXPECT_FALSE(Present);
}

TEST_F(LeaseTest, KeepAliveOfAnExpiredLeaseIsNotFound) {
  const auto Kept = await<LeaseReply>(
      [&](const LeaseCallback &Done) { Client.keepAlive(4711, Done); });
  ASSERT_TRUE(Kept.has_error());
  EXPECT_EQ(Kept.error().Kind, base::ErrorKind::NotFound);
}

} // namespace
} // namespace burdockstream::store
