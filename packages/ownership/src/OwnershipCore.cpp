#include "burdockstream/ownership/OwnershipCore.h"

#include "OwnershipState.h"

#include <algorithm>
#include <glog/logging.h>
#include <utility>

namespace burdockstream::ownership {
namespace {

using internal::BucketState;
using internal::LocalBucket;

// Longest time between two calls of tick() while an operation is in progress,
// and while none is.
constexpr base::Duration BusyInterval = std::chrono::milliseconds(100);
constexpr base::Duration IdleInterval = std::chrono::seconds(1);

} // namespace

OwnershipCore::State::State(OwnershipConfig InitConfig,
                            base::RandomSource &InitRandom, base::Now Now)
    : Config(std::move(InitConfig)), Random(InitRandom),
      Lease(Config.Self, Config.Service,
            selectArbiters(Config.BalancerAddresses, Config.Service)),
      Fences(Config.Self, Config.Service, Lease.arbiters()),
      Store(Config.Buckets, Random), LocalBuckets(Config.Buckets),
      Started(Now.Monotonic), NextAnnouncement(Now.Monotonic),
      NextPoll(Now.Monotonic), NextTick(Now.Monotonic) {
  CHECK_NE(Config.Self.Value, 0U);
}

void OwnershipCore::State::updateLeaseState(base::Now Now) {
  if (affirmed(Now.Monotonic))
    OwnedUntil = Now.Wall;
  if (LastSeenPeriod != 0 && LastSeenPeriod != Lease.period())
    ++Counters.Lapses;
  LastSeenPeriod = Lease.period();
}

void OwnershipCore::State::sendRequests(base::TimePoint Now,
                                        OwnershipSink &Sink) {
  const auto &Arbiters = Lease.arbiters().Arbiters;
  if (const auto Request = Lease.tick({Now, {}}))
    for (const base::SocketAddress &Arbiter : Arbiters)
      Sink.emplace_back(SendToArbiter{Arbiter, *Request});
  for (const messages::FenceRequest &Request : Fences.tick(Now))
    for (const base::SocketAddress &Arbiter : Arbiters)
      Sink.emplace_back(SendToArbiter{Arbiter, Request});
}

void OwnershipCore::State::reportRoles(base::Now Now, OwnershipSink &Sink) {
  for (base::BucketIndex Index = 0; Index < Config.Buckets; ++Index) {
    const messages::BucketRole Role = authority(Index, Now).Role;
    if (Role == LocalBuckets[Index].Role)
      continue;
    Sink.emplace_back(BucketRoleChanged{Index, LocalBuckets[Index].Role, Role});
    LocalBuckets[Index].Role = Role;
  }
}

bool OwnershipCore::State::busy() const {
  return Draining || Store.readRequired() || Store.undecided() ||
         Fences.active() ||
         std::ranges::any_of(LocalBuckets, [&](const LocalBucket &Bucket) {
           return Bucket.State == BucketState::HandingOver ||
                  Bucket.State == BucketState::Imported ||
                  (Bucket.State == BucketState::Held) !=
                      (Bucket.Desired == Config.Self);
         });
}

void OwnershipCore::State::scheduleNext(base::TimePoint Now) {
  const bool Busy = busy() || needsAffirmation(Now);
  NextTick = Now + (Busy ? BusyInterval : IdleInterval);
  NextTick = std::min(NextTick, Lease.nextDeadline());
  if (Lease.held(Now))
    NextTick = std::min(NextTick, Lease.leaseEnd());
  if (Busy && Store.nextOperation() > Now)
    NextTick = std::min(NextTick, Store.nextOperation());
}

void OwnershipCore::State::run(base::Now Now, OwnershipSink &Sink) {
  updateLeaseState(Now);
  std::vector<base::DaemonId> Owners;
  for (const LocalBucket &Bucket : LocalBuckets)
    if (Bucket.Owner.Value != 0 && Bucket.Owner != Config.Self &&
        std::ranges::find(Owners, Bucket.Owner) == Owners.end())
      Owners.push_back(Bucket.Owner);
  Members.trackMissing(Owners, Now.Monotonic);
  std::erase_if(Owners, [&](base::DaemonId Owner) {
    return !Members.departed(Owner, Now.Monotonic);
  });
  for (LocalBucket &Bucket : LocalBuckets)
    Bucket.OwnerDeparted =
        std::ranges::find(Owners, Bucket.Owner) != Owners.end();

  startHandovers(Now, Sink);
  checkHandovers(Now, Sink);
  updateFences(Now.Monotonic);
  startStoreOperation(Now, Sink);
  sendRequests(Now.Monotonic, Sink);
  announceAll(Now.Monotonic, Sink);
  reportDrain(Now.Monotonic, Sink);
  reportRoles(Now, Sink);
  scheduleNext(Now.Monotonic);
}

OwnershipCore::OwnershipCore(OwnershipConfig Config, base::RandomSource &Random,
                             base::Now Now)
    : Impl(std::make_unique<State>(std::move(Config), Random, Now)) {}

OwnershipCore::~OwnershipCore() = default;

void OwnershipCore::tick(base::Now Now, OwnershipSink &Sink) {
  Impl->run(Now, Sink);
}

base::TimePoint OwnershipCore::nextDeadline() const { return Impl->NextTick; }

void OwnershipCore::handle(const messages::LeaseGrant &Message, base::Now Now,
                           OwnershipSink &Sink) {
  Impl->Lease.handle(Message, Now);
  Impl->run(Now, Sink);
}

void OwnershipCore::handle(const messages::FenceConsent &Message, base::Now Now,
                           OwnershipSink &Sink) {
  Impl->Fences.handle(Message);
  Impl->run(Now, Sink);
}

void OwnershipCore::handle(const messages::BucketTransfer &Message,
                           base::Now Now, OwnershipSink &Sink) {
  Impl->acceptTransfer(Message, Now, Sink);
  Impl->run(Now, Sink);
}

void OwnershipCore::handle(const messages::BucketTransferAck &Message,
                           base::Now Now, OwnershipSink &Sink) {
  Impl->acknowledge(Message, Now);
  Impl->run(Now, Sink);
}

void OwnershipCore::handle(const messages::OwnershipUpdate &Message,
                           base::Now Now, OwnershipSink &Sink) {
  if (Message.Service != Impl->Config.Service)
    return;
  for (const messages::BucketOwner &Update : Message.Buckets)
    Impl->applyOwnerUpdate(Update, Sink);
  Impl->discardStaleSnapshots();
  Impl->run(Now, Sink);
}

void OwnershipCore::handle(const StoreResult &Result, base::Now Now,
                           OwnershipSink &Sink) {
  if (Impl->Store.handle(Result, Now.Monotonic, Impl->Counters))
    Impl->applyRecord(Now, Sink);
  Impl->run(Now, Sink);
}

void OwnershipCore::setDesired(std::span<const base::DaemonId> Desired,
                               base::Now Now, OwnershipSink &Sink) {
  CHECK_EQ(Desired.size(), Impl->LocalBuckets.size());
  for (size_t Index = 0; Index < Desired.size(); ++Index)
    if (Impl->LocalBuckets[Index].Desired != Desired[Index]) {
      Impl->LocalBuckets[Index].Desired = Desired[Index];
      Impl->LocalBuckets[Index].DesiredSince = Now.Monotonic;
    }
  Impl->run(Now, Sink);
}

void OwnershipCore::setMembers(std::span<const messages::MemberInfo> Members,
                               base::Now Now, OwnershipSink &Sink) {
  Impl->Members.set(Members);
  Impl->run(Now, Sink);
}

void OwnershipCore::beginDrain(base::Now Now, OwnershipSink &Sink) {
  Impl->Draining = true;
  Impl->run(Now, Sink);
}

messages::BucketAuthority OwnershipCore::authority(base::BucketIndex Bucket,
                                                   base::Now Now) const {
  CHECK_LT(Bucket, Impl->LocalBuckets.size());
  return Impl->authority(Bucket, Now);
}

bool OwnershipCore::knowsOwners() const {
  return Impl->Store.known().has_value();
}

base::TimePoint OwnershipCore::leaseEnd() const {
  return Impl->Lease.leaseEnd();
}

base::Epoch OwnershipCore::epoch(base::BucketIndex Bucket) const {
  CHECK_LT(Bucket, Impl->LocalBuckets.size());
  return Impl->LocalBuckets[Bucket].OwnerEpoch;
}

const OwnershipCounters &OwnershipCore::counters() const {
  return Impl->Counters;
}

} // namespace burdockstream::ownership
