#include "burdockstream/routing/EndpointWeights.h"

#include <gtest/gtest.h>

#include <map>

namespace burdockstream::routing {
namespace {

using messages::MemberState;

messages::MemberInfo member(uint64_t Id, const char *Domain,
                            MemberState State = MemberState::Ready) {
  messages::MemberInfo Member;
  Member.Id = {Id};
  Member.State = State;
  Member.Service = {9};
  Member.Data = {static_cast<uint32_t>(Id), 6000};
  Member.FailureDomain = Domain;
  return Member;
}

records::ServiceConfig config() {
  records::ServiceConfig Config;
  Config.Id = {9};
  return Config;
}

// Returns the weights of tableMembers(Config, Members) by id.
std::map<uint64_t, uint32_t>
weights(const records::ServiceConfig &Config,
        const std::vector<messages::MemberInfo> &Members) {
  std::map<uint64_t, uint32_t> Result;
  for (const TableMember &M : tableMembers(Config, Members))
    Result[M.Id.Value] = M.Weight;
  return Result;
}

using Expected = std::map<uint64_t, uint32_t>;

// Guards against unequal weights when the record lists no shares and the
// failure domains have different numbers of endpoints.
TEST(EndpointWeights, AreEqualWithoutShares) {
  EXPECT_EQ(weights(config(), {member(1, "a"), member(2, "a"), member(3, "b")}),
            (Expected{{1, 100}, {2, 100}, {3, 100}}));
}

// Guards against dividing the share of a failure domain among its endpoints.
// Endpoints would then be unequal in domains with equal shares but different
// numbers of endpoints, such as the 3, 2 and 2 of the deployment bc-interior.
TEST(EndpointWeights, DomainShareIsTheWeightOfEachEndpoint) {
  auto Config = config();
  Config.DomainShares = {{"a", 60}, {"b", 40}};
  Config.EndpointShares = {{{4, 6000}, 5}};
  EXPECT_EQ(weights(Config, {member(1, "a"), member(2, "a"), member(3, "b"),
                             member(4, "b"), member(5, "c")}),
            (Expected{{1, 60}, {2, 60}, {3, 40}, {4, 5}, {5, 100}}));
}

// Guards against new work at endpoints that are leaving or not yet ready while
// another endpoint can serve.
TEST(EndpointWeights, ExcludeEveryStateButReadyAndSuspect) {
  auto Config = config();
  Config.DrainedEndpoints = {{6, 6000}};
  EXPECT_EQ(
      weights(Config, {member(1, "a", MemberState::Starting),
                       member(2, "a", MemberState::Draining),
                       member(3, "a", MemberState::Stopped),
                       member(4, "a", MemberState::Dead),
                       member(5, "a", MemberState::Suspect), member(6, "a")}),
      (Expected{{5, 100}}));
}

// Guards against dropping every datagram of a service although an idle or
// starting endpoint could answer, and against using an endpoint that is leaving
// when there is no other.
TEST(EndpointWeights, FallBackToIdleThenStartingEndpoints) {
  auto Config = config();
  Config.DomainShares = {{"a", 0}};
  EXPECT_EQ(
      weights(Config, {member(1, "a"), member(2, "b", MemberState::Starting)}),
      (Expected{{1, 1}}));
  EXPECT_EQ(weights(Config, {member(1, "a", MemberState::Draining),
                             member(2, "b", MemberState::Starting)}),
            (Expected{{2, 1}}));
  EXPECT_TRUE(weights(Config, {member(1, "a", MemberState::Draining)}).empty());
}

// Guards against a table that contains endpoints of another service or
// balancers.
TEST(EndpointWeights, IgnoreOtherServicesAndBalancers) {
  auto Other = member(1, "a");
  Other.Service = {10};
  auto Balancer = member(2, "a");
  Balancer.Kind = messages::Role::Balancer;
  EXPECT_TRUE(weights(config(), {Other, Balancer}).empty());
}

} // namespace
} // namespace burdockstream::routing
