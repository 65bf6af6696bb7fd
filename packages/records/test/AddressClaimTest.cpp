#include "burdockstream/records/AddressClaim.h"

#include <gtest/gtest.h>

namespace burdockstream::records {
namespace {

ServiceConfig configClaiming(uint64_t Id, base::Revision Revision,
                             base::Revision Since = 0) {
  ServiceConfig Config;
  Config.Id = {Id};
  Config.Address = {0x7f000a01, 7};
  Config.StoreRevision = Revision;
  Config.AddressSince = Since;
  return Config;
}

// Guards against a service that loses its address to a later claim because an
// update of its own record restarted its claim.
TEST(AddressClaimTest, UpdateKeepsTheClaim) {
  const ServiceConfig First = configClaiming(1, 5);
  const ServiceConfig Late = configClaiming(2, 7);
  ServiceConfig Updated = configClaiming(1, 8);
  Updated.AddressSince = inheritedClaimRevision(&First, Updated);
  EXPECT_EQ(Updated.AddressSince, 5);
  EXPECT_TRUE(hasEarlierClaim(Updated, Late));
  EXPECT_FALSE(hasEarlierClaim(Late, Updated));
  ServiceConfig Again = configClaiming(1, 9);
  Again.AddressSince = inheritedClaimRevision(&Updated, Again);
  EXPECT_EQ(Again.AddressSince, 5);
}

// Guards against a claim that outlasts a version of the record that did not
// hold the address.
TEST(AddressClaimTest, InterruptedClaimStartsAgain) {
  ServiceConfig Moved = configClaiming(1, 5);
  Moved.Address.Port = 8;
  EXPECT_EQ(inheritedClaimRevision(&Moved, configClaiming(1, 6)), 0);
  ServiceConfig Retired = configClaiming(1, 5);
  Retired.Retired = true;
  EXPECT_EQ(inheritedClaimRevision(&Retired, configClaiming(1, 6)), 0);
  EXPECT_EQ(inheritedClaimRevision(nullptr, configClaiming(1, 6)), 0);
}

// Guards against the use of a handwritten address_since that is later than its
// own version or negative, and against daemons that choose different services
// when two claims have the same revision.
TEST(AddressClaimTest, InvalidAndEqualClaimsAreOrdered) {
  EXPECT_EQ(claimRevision(configClaiming(1, 5, 9)), 5);
  EXPECT_EQ(claimRevision(configClaiming(1, 5, -1)), 5);
  EXPECT_TRUE(hasEarlierClaim(configClaiming(1, 5), configClaiming(2, 5)));
  EXPECT_FALSE(hasEarlierClaim(configClaiming(2, 5), configClaiming(1, 5)));
}

} // namespace
} // namespace burdockstream::records
