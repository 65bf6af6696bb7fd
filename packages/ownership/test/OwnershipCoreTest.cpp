#include "burdockstream/ownership/OwnershipCore.h"
#include "burdockstream/ownership/Timing.h"

#include <gtest/gtest.h>
#include <optional>

namespace burdockstream::ownership {
namespace {

using messages::BucketRole;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::DaemonId Self{5};
constexpr base::DaemonId Other{6};
constexpr base::DaemonId Third{7};
constexpr base::ServiceId Service{1};

// One core with one bucket and one arbiter that always grants. The test
// performs the store operations.
struct OwnershipCoreTest : testing::Test {
  const base::SocketAddress Arbiter{1, 1};
  base::RandomSource Random{1};
  base::Duration Time{0};
  OwnershipSink Sink;
  OwnershipCore Core{{Self, Service, 1, {Arbiter}}, Random, now()};

  base::Now now() const {
    return {base::TimePoint(Time), {1'000'000 + Time.count() / 1'000}};
  }
  template <typename T> std::optional<T> last() const {
    for (auto It = Sink.rbegin(); It != Sink.rend(); ++It)
      if (const T *Action = std::get_if<T>(&*It))
        return *Action;
    return std::nullopt;
  }
  void advance(base::Duration Step) {
    for (const base::Duration End = Time + Step; Time < End;) {
      Time += milliseconds(100);
      Sink.clear();
      Core.tick(now(), Sink);
      if (const auto Sent = last<SendToArbiter>())
        if (const auto *Request =
                std::get_if<messages::LeaseRequest>(&Sent->Message))
          Core.handle(
              messages::LeaseGrant{Self, Arbiter, Request->Sequence, true},
              now(), Sink);
    }
  }
  void setView(messages::MemberState OtherState, base::DaemonId Desired) {
    messages::MemberInfo SelfInfo, Peer;
    SelfInfo.Id = Self;
    SelfInfo.State = messages::MemberState::Ready;
    Peer.Id = Other;
    Peer.State = OtherState;
    const messages::MemberInfo Members[] = {SelfInfo, Peer};
    Core.setMembers(Members, now(), Sink);
    Core.setDesired({&Desired, 1}, now(), Sink);
  }
  void answerRead(base::Revision Revision, const OwnersRecord &Record) {
    const auto Read = last<ReadOwners>();
    ASSERT_TRUE(Read);
    Core.handle(
        StoreResult{Read->Operation, StoreOutcome::Success, Revision, Record},
        now(), Sink);
  }
  std::optional<SwapOwners> applySwap() {
    auto Swap = last<SwapOwners>();
    if (Swap)
      Core.handle(StoreResult{Swap->Operation, StoreOutcome::Success, 50, {}},
                  now(), Sink);
    return Swap;
  }
  void receiveSnapshot(base::DaemonId From, base::Epoch Epoch) {
    messages::BucketSnapshot Snapshot;
    Snapshot.Service = Service;
    Snapshot.OwnerEpoch = Epoch;
    Snapshot.UnknownBeforeMilliseconds = 123;
    Core.handle(messages::BucketTransfer{From, Self, {Snapshot}}, now(), Sink);
  }
  void becomeOwner() {
    Core.tick(now(), Sink);
    setView(messages::MemberState::Ready, Self);
    answerRead(0, {});
    advance(milliseconds(1'500));
    ASSERT_TRUE(applySwap());
  }
  messages::BucketAuthority authority() { return Core.authority(0, now()); }
};

OwnersRecord owned(base::DaemonId Owner, base::Epoch Epoch) {
  return {1, {{Owner, 1, 1}}, {{Owner, Epoch}}};
}

// Guards against the first agent of a service becoming the owner of all buckets
// before it has discovered the others.
TEST_F(OwnershipCoreTest, FirstAssignmentWaitsForTheTableToSettle) {
  Core.tick(now(), Sink);
  setView(messages::MemberState::Ready, Self);
  answerRead(0, {});
  advance(milliseconds(1'400));
  EXPECT_FALSE(last<SwapOwners>());
  advance(milliseconds(100));
  ASSERT_TRUE(applySwap());
  EXPECT_EQ(authority().Role, BucketRole::Owner);
  EXPECT_LE(authority().LeaseEnd, base::TimePoint(Time + LeaseTerm));
}

// Guards against a handover after which requests with a record are answered as
// unknown, and against non-idempotent requests that run before the record names
// the new owner.
TEST_F(OwnershipCoreTest, HandoverCarriesWhatTheOldOwnerKnew) {
  Core.tick(now(), Sink);
  setView(messages::MemberState::Ready, Self);
  answerRead(10, owned(Other, 3));
  advance(seconds(1));
  receiveSnapshot(Other, 3);
  EXPECT_EQ(authority().Role, BucketRole::Pending);
  const auto Swap = applySwap();
  ASSERT_TRUE(Swap);
  EXPECT_EQ(Swap->Expected, 10);
  EXPECT_EQ(authority().Role, BucketRole::Owner);
  EXPECT_EQ(authority().UnknownBefore.Milliseconds, 123);
}

// Guards against the use of a snapshot although another agent has owned the
// bucket since: it lacks the records of requests that ran there.
TEST_F(OwnershipCoreTest, OutdatedSnapshotIsNotCarriedOver) {
  Core.tick(now(), Sink);
  setView(messages::MemberState::Ready, Self);
  answerRead(10, owned(Third, 4));
  receiveSnapshot(Other, 3);
  EXPECT_FALSE(last<ImportBuckets>());
  receiveSnapshot(Other, 4);
  EXPECT_FALSE(last<ImportBuckets>());
  EXPECT_EQ(authority().Role, BucketRole::NotOwner);
  EXPECT_EQ(authority().Owner, Third);
}

// Guards against an owner that continues after it is informed of a newer owner,
// and against the loss of its records.
TEST_F(OwnershipCoreTest, StopsAtOnceWhenAnotherAgentOwnsTheBucket) {
  becomeOwner();
  Sink.clear();
  Core.handle(messages::OwnershipUpdate{Service, 60, {{0, Other, 2}}}, now(),
              Sink);
  EXPECT_EQ(authority().Role, BucketRole::NotOwner);
  const auto Export = last<ExportBuckets>();
  ASSERT_TRUE(Export);
  EXPECT_EQ(Export->To.Id, Other);
  EXPECT_EQ(Export->Buckets.at(0).OwnerEpoch, 1U);
}

// Guards against a drain that gives up buckets without a successor, and against
// the report that the agent may stop while it still owns a bucket.
TEST_F(OwnershipCoreTest, DrainWithoutSuccessorKeepsTheBuckets) {
  becomeOwner();
  setView(messages::MemberState::Dead, base::DaemonId{});
  Core.beginDrain(now(), Sink);
  EXPECT_EQ(last<DrainBlocked>()->Buckets, 1U);
  EXPECT_FALSE(last<Drained>());
  EXPECT_EQ(authority().Role, BucketRole::Owner);
  setView(messages::MemberState::Ready, Other);
  EXPECT_EQ(authority().Role, BucketRole::NotOwner);
  EXPECT_FALSE(last<Drained>());
  Core.handle(messages::OwnershipUpdate{Service, 60, {{0, Other, 2}}}, now(),
              Sink);
  EXPECT_TRUE(last<Drained>());
}

// Guards against requests answered as unknown because the new owner in a
// planned handover had begun to drain: it imported nothing, so the old owner
// resumes with its records complete.
TEST_F(OwnershipCoreTest, ARefusedHandoverChangesNothing) {
  becomeOwner();
  const base::WallTime Before = authority().UnknownBefore;
  setView(messages::MemberState::Ready, Other);
  advance(milliseconds(1'100));
  ASSERT_EQ(authority().Role, BucketRole::NotOwner);
  Core.handle(messages::BucketTransferAck{Other, {}, {0}}, now(), Sink);
  EXPECT_EQ(authority().Role, BucketRole::Owner);
  EXPECT_EQ(authority().UnknownBefore, Before);
  EXPECT_EQ(Core.counters().HandoversRefused, 1U);
  EXPECT_EQ(Core.counters().Reclaims, 0U);
}

// Guards against a draining agent that refuses a bucket but imports it anyway.
TEST_F(OwnershipCoreTest, ADrainingAgentRefusesSnapshots) {
  Core.tick(now(), Sink);
  setView(messages::MemberState::Ready, Self);
  answerRead(10, owned(Other, 3));
  Core.beginDrain(now(), Sink);
  receiveSnapshot(Other, 3);
  const auto Sent = last<SendToPeer>();
  ASSERT_TRUE(Sent);
  const auto &Ack = std::get<messages::BucketTransferAck>(Sent->Message);
  EXPECT_TRUE(Ack.Buckets.empty());
  EXPECT_EQ(Ack.Refused, std::vector<uint16_t>{0});
  EXPECT_FALSE(last<ImportBuckets>());
}

} // namespace
} // namespace burdockstream::ownership
