#include "burdockstream/routing/Router.h"

#include "burdockstream/records/RecordParser.h"
#include "burdockstream/records/RecordSet.h"
#include "burdockstream/routing/FlowHash.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <rapidcheck.h>

namespace burdockstream::routing {
namespace {

constexpr base::SocketAddress Vip{0x0a0a0a0a, 5683};
constexpr base::SocketAddress OtherVip{0x0a0a0a0b, 5683};
constexpr base::SocketAddress Caller{0xc0a80101, 40000};

records::ServiceConfig config(uint64_t Id, base::SocketAddress Address,
                              base::Revision Revision) {
  records::ServiceConfig Config;
  Config.Id = {Id};
  Config.Address = Address;
  Config.StoreRevision = Revision;
  return Config;
}

std::vector<messages::MemberInfo> members(uint64_t Service, uint64_t Count) {
  std::vector<messages::MemberInfo> Result(Count);
  for (uint64_t I = 0; I < Count; ++I) {
    Result[I].Id = {Service * 100 + I};
    Result[I].State = messages::MemberState::Ready;
    Result[I].Service = {Service};
    Result[I].Data = {static_cast<uint32_t>(Service * 100 + I), 6000};
  }
  return Result;
}

// Guards against a datagram that is sent to another agent than the one that its
// flow's bucket is assigned to.
TEST(Router, RoutesToTheOwnerOfTheFlowsBucket) {
  Router R(77);
  R.setMembers({1}, members(1, 5)); // members are allowed to precede the record
  EXPECT_TRUE(R.setConfig(config(1, Vip, 1)));
  for (uint16_t Port = 1; Port < 2000; ++Port) {
    const auto Route = R.route(Vip, {Caller.Ip, Port});
    ASSERT_TRUE(Route);
    EXPECT_EQ(Route->Bucket, flowBucket({Caller.Ip, Port}, {1}, 77, 256));
    EXPECT_EQ(R.table({1})->owner(Route->Bucket)->DataAddress,
              Route->AgentDataAddress);
  }
  EXPECT_EQ(R.counters().Routed, 1999U);
}

// Guards against dropped datagrams that no counter shows.
TEST(Router, CountsDropsByReason) {
  Router R(77);
  EXPECT_FALSE(R.route(Vip, Caller));
  R.setConfig(config(1, Vip, 1));
  EXPECT_FALSE(R.route(Vip, Caller));
  EXPECT_EQ(R.counters().UnknownServiceAddress, 1U);
  EXPECT_EQ(R.counters().ServiceWithoutEndpoints, 1U);
}

// Guards against replacing a record by an older revision that arrives later,
// and against routing to a retired service.
TEST(Router, KeepsTheHighestRevision) {
  Router R(77);
  R.setMembers({1}, members(1, 2));
  R.setConfig(config(1, OtherVip, 5));
  R.setConfig(config(1, Vip, 4));
  EXPECT_FALSE(R.route(Vip, Caller));
  EXPECT_TRUE(R.route(OtherVip, Caller));
  auto Retired = config(1, OtherVip, 6);
  Retired.Retired = true;
  R.setConfig(Retired);
  EXPECT_FALSE(R.route(OtherVip, Caller));
  EXPECT_EQ(R.table({1}), nullptr);
  EXPECT_EQ(R.counters().StaleConfigs, 1U);
}

// Guards against daemons that route an address to different services after it
// was reassigned, because they learned of the two records in different orders.
TEST(Router, FollowsAReassignedAddress) {
  for (bool NewServiceFirst : {false, true}) {
    Router R(77);
    R.setMembers({1}, members(1, 1));
    R.setMembers({2}, members(2, 1));
    R.setConfig(config(1, Vip, 5));
    if (NewServiceFirst)
      R.setConfig(config(2, Vip, 7));
    R.setConfig(config(1, OtherVip, 6));
    if (!NewServiceFirst)
      R.setConfig(config(2, Vip, 7));
    EXPECT_EQ(R.route(Vip, Caller)->Service.Value, 2U);
    EXPECT_EQ(R.route(OtherVip, Caller)->Service.Value, 1U);
  }
}

// Guards against routing the callers of a running service to another service.
// This can happen when the other service's record claims the address at the
// same moment as the running service's record is updated.
TEST(Router, KeepsAnAddressWithItsEarliestClaim) {
  const auto RoutedService = [](Router &R) {
    const auto Route = R.route(Vip, Caller);
    return Route ? Route->Service.Value : 0;
  };
  auto Updated = config(1, Vip, 8);
  Updated.AddressSince = 5;
  const std::vector<records::ServiceConfig> Records = {
      config(1, Vip, 5), config(2, Vip, 7), Updated, config(2, OtherVip, 9)};
  std::vector<size_t> Order = {0, 1, 2};
  do {
    Router R(77);
    R.setMembers({1}, members(1, 1));
    R.setMembers({2}, members(2, 1));
    for (const size_t I : Order)
      R.setConfig(Records[I]);
    EXPECT_EQ(RoutedService(R), 1U);
    EXPECT_GT(R.counters().AddressConflicts, 0U);
  } while (std::next_permutation(Order.begin(), Order.end()));
  Router R(77);
  R.setMembers({1}, members(1, 1));
  R.setMembers({2}, members(2, 1));
  for (const records::ServiceConfig &Record : Records) {
    // In the order of store revisions, the address is never routed elsewhere.
    R.setConfig(Record);
    EXPECT_EQ(RoutedService(R), 1U);
  }
}

// Guards against a balancer whose administration API, which uses RecordSet,
// reports another service for an address than the router sends datagrams to.
TEST(Router, AgreesWithTheRecordSet) {
  EXPECT_TRUE(rc::check([] {
    Router R(77);
    records::RecordSet Set;
    const std::vector<std::string> Names = {"shopdesk", "fitvault",
                                            "gildenamt"};
    for (const std::string &Name : Names)
      R.setMembers(base::serviceIdOf(Name),
                   members(base::serviceIdOf(Name).Value, 1));
    for (base::Revision Revision = 1; Revision <= 12; ++Revision) {
      records::ServiceConfig Record;
      Record.Service = Names[*rc::gen::inRange<size_t>(0, 3)];
      Record.Team = "retail";
      Record.Address = *rc::gen::arbitrary<bool>() ? Vip : OtherVip;
      Record.Retired = *rc::gen::inRange(0, 4) == 0;
      Record.AddressSince = *rc::gen::inRange<base::Revision>(0, Revision + 2);
      const std::string Body = records::formatRecord(Record).value();
      RC_ASSERT(Set.apply(Record.Service, Revision, Body).has_value());
      R.setConfig(Set.findByName(Record.Service)->Config);
      for (const base::SocketAddress Address : {Vip, OtherVip}) {
        const auto *Served = Set.findByAddress(Address);
        const auto Route = R.route(Address, Caller);
        RC_ASSERT((Route.has_value() == (Served != nullptr)));
        RC_ASSERT((!Served || Route->Service == Served->Id));
      }
    }
  }));
}

// Guards against rebuilding the table on membership changes that do not affect
// it, such as a load report or a suspicion.
TEST(Router, RebuildsTheTableOnlyWhenItsInputChanges) {
  Router R(77);
  R.setConfig(config(1, Vip, 1));
  auto Members = members(1, 3);
  EXPECT_TRUE(R.setMembers({1}, Members));
  const uint64_t Builds = R.counters().TableBuilds;
  Members[0].LoadPercent = 80;
  Members[1].State = messages::MemberState::Suspect;
  EXPECT_FALSE(R.setMembers({1}, Members));
  EXPECT_EQ(R.counters().TableBuilds, Builds);
}

} // namespace
} // namespace burdockstream::routing
