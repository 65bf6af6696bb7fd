#include "burdockstream/membership/MemberTable.h"

#include "burdockstream/base/Random.h"
#include "burdockstream/membership/Settings.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace burdockstream::membership {
namespace {

using messages::MemberInfo;
using messages::MemberState;

constexpr base::TimePoint T0{seconds(1000)};

MemberInfo member(uint64_t Id, uint64_t Version, MemberState State,
                  uint32_t Ip = 0) {
  MemberInfo Info;
  Info.Id = {Id};
  Info.Version = Version;
  Info.State = State;
  Info.Service = {5};
  Info.Data = {Ip == 0 ? static_cast<uint32_t>(Id) : Ip, 7000};
  return Info;
}

// Guards against tables that differ because updates arrived in a different
// order or twice.
TEST(MemberTable, MergeDoesNotDependOnOrder) {
  EXPECT_TRUE(rc::check([] {
    std::vector<MemberInfo> Updates;
    for (uint32_t Code : *rc::gen::arbitrary<std::vector<uint32_t>>())
      Updates.push_back(member(1 + Code % 5, Code / 5 % 4,
                               // The state that a daemon announces is
                               // determined by its version.
                               Code / 20 % 3 == 0   ? MemberState::Suspect
                               : Code / 20 % 3 == 1 ? MemberState::Dead
                               : Code / 5 % 4 == 3  ? MemberState::Draining
                                                    : MemberState::Ready));
    MemberTable First;
    for (const MemberInfo &Info : Updates)
      First.merge(Info, T0);
    base::RandomSource Random(Updates.size());
    for (size_t I = Updates.size(); I > 1; --I)
      std::swap(Updates[I - 1], Updates[base::randomBelow(Random, I)]);
    Updates.insert(Updates.end(), Updates.begin(), Updates.end());
    MemberTable Second;
    for (const MemberInfo &Info : Updates)
      Second.merge(Info, T0);
    RC_ASSERT(First.digest(64) == Second.digest(64));
    First.forEach([&](const MemberInfo &Info) {
      RC_ASSERT(Second.find(Info.Id)->State == Info.State);
      RC_ASSERT(Second.find(Info.Id)->Version == Info.Version);
    });
  }));
}

// Guards against a delayed announcement that reverts the entry of a leaving or
// dead endpoint.
TEST(MemberTable, IgnoresOlderAnnouncements) {
  for (MemberState Gone :
       {MemberState::Draining, MemberState::Stopped, MemberState::Dead}) {
    MemberTable Table;
    Table.merge(member(1, 7, MemberState::Ready), T0);
    Table.merge(member(1, Gone == MemberState::Dead ? 7 : 8, Gone), T0);
    const MergeResult Late =
        Table.merge(member(1, 7, MemberState::Ready), T0 + seconds(1));
    EXPECT_FALSE(Late.Changed);
    EXPECT_TRUE(Late.Outdated);
    EXPECT_EQ(Table.find({1})->State, Gone);
  }
}

// Guards against a previous process of a restarted daemon that remains in the
// tables.
TEST(MemberTable, ReplacesTheFormerDaemonAtAnAddress) {
  for (bool NewFirst : {false, true}) {
    MemberTable Table;
    const MemberInfo Old = member(1, 100, MemberState::Ready, 9);
    const MemberInfo New = member(2, 200, MemberState::Ready, 9);
    Table.merge(NewFirst ? New : Old, T0);
    const MergeResult Result = Table.merge(NewFirst ? Old : New, T0);
    EXPECT_EQ(Result.Replaced.has_value(), !NewFirst);
    EXPECT_EQ(Table.find({1})->State, MemberState::Dead);
    EXPECT_EQ(Table.find({2})->State, MemberState::Ready);
    EXPECT_EQ(Table.findByAddress({9, 7000})->Id.Value, 2U);
  }
}

// Guards against tables that grow with every process that was ever a member.
TEST(MemberTable, DropsTombstonesAfterTenMinutes) {
  MemberTable Table;
  Table.merge(member(1, 7, MemberState::Dead), T0);
  Table.merge(member(2, 7, MemberState::Ready), T0);
  EXPECT_EQ(Table.nextExpiry(), T0 + minutes(10));
  EXPECT_TRUE(Table.expire(T0 + minutes(10) - seconds(1)).empty());
  EXPECT_EQ(Table.expire(T0 + minutes(10)).size(), 1U);
  EXPECT_EQ(Table.find({1}), nullptr);
  EXPECT_EQ(Table.ofService({5}).size(), 1U);
  EXPECT_EQ(Table.nextExpiry(), base::Never);
}

} // namespace
} // namespace burdockstream::membership
