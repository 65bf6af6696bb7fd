// Decides when to read or write the ownership record and what to write.
#include "OwnershipState.h"

#include <algorithm>
#include <utility>

namespace burdockstream::ownership {
namespace {

using internal::BucketState;
using internal::FenceTimes;
using internal::LocalBucket;
using internal::SwapPlan;
using std::chrono::milliseconds;

// Lets the agents of a starting service discover each other, so that the first
// one does not become the owner of every bucket.
constexpr base::Duration FirstAssignmentSettleTime = milliseconds(1'500);

// While the bucket table names this agent for a bucket that it does not own, it
// may have missed an ownership update, so it polls the record. Jitter spreads
// the reads of many agents.
constexpr base::Duration PollInterval = milliseconds(3'000);

} // namespace

bool OwnershipCore::State::claimable(base::DaemonId Owner) const {
  const OwnerEntry *Entry =
      Store.known() ? Store.known()->Record.owner(Owner) : nullptr;
  return Entry && Entry->ArbiterListHash == Lease.arbiters().Hash;
}

bool OwnershipCore::State::shouldAcquire(const LocalBucket &Bucket,
                                         const BucketEntry &Entry,
                                         base::TimePoint Now) const {
  switch (Bucket.State) {
  case BucketState::Imported:
    return Entry.OwnerEpoch == Bucket.SnapshotEpoch &&
           Entry.Owner == Bucket.SnapshotFrom;
  case BucketState::HandingOver:
    return Bucket.Reclaim;
  case BucketState::Held:
    return false;
  case BucketState::Foreign:
    break;
  }
  if (Draining || Bucket.Desired != Config.Self || !Lease.held(Now))
    return false;
  if (Entry.Owner.Value == 0)
    return Now - std::max(Started, Bucket.DesiredSince) >=
           FirstAssignmentSettleTime;
  return Bucket.OwnerDeparted && Store.known()->fenced(Entry.Owner) &&
         claimable(Entry.Owner);
}

void OwnershipCore::State::planBucket(base::BucketIndex Index,
                                      base::TimePoint Now,
                                      SwapPlan &Plan) const {
  const LocalBucket &Bucket = LocalBuckets[Index];
  BucketEntry &Entry = Plan.Record.Buckets[Index];
  const base::Epoch Newest =
      Bucket.State == BucketState::Imported
          ? std::max(Bucket.OwnerEpoch, Bucket.SnapshotEpoch)
          : Bucket.OwnerEpoch;
  if (Entry.OwnerEpoch < Newest) {
    Plan.NeedsRead |= Bucket.State != BucketState::Foreign ||
                      (Bucket.Desired == Config.Self && Bucket.OwnerDeparted);
    return;
  }
  if (!shouldAcquire(Bucket, Entry, Now))
    return;
  Entry = {Config.Self, Entry.OwnerEpoch + 1};
  Plan.Changed = true;
}

bool OwnershipCore::State::needsAffirmation(base::TimePoint Now) const {
  return Lease.held(Now) && AffirmedPeriod != Lease.period() &&
         std::ranges::any_of(LocalBuckets, [](const LocalBucket &Bucket) {
           return Bucket.State == BucketState::Held;
         });
}

SwapPlan OwnershipCore::State::plan(base::TimePoint Now) const {
  SwapPlan Plan{Store.known()->Record,
                needsAffirmation(Now) || Store.undecided(), false};
  for (base::BucketIndex Index = 0; Index < Config.Buckets; ++Index)
    planBucket(Index, Now, Plan);
  return Plan;
}

bool OwnershipCore::State::pollDue(base::TimePoint Now) const {
  return Now >= NextPoll &&
         std::ranges::any_of(LocalBuckets, [&](const LocalBucket &Bucket) {
           return Bucket.State == BucketState::HandingOver ||
                  (Bucket.State == BucketState::Foreign &&
                   Bucket.Desired == Config.Self);
         });
}

void OwnershipCore::State::updateFences(base::TimePoint Now) {
  std::vector<base::DaemonId> NewTargets;
  if (!Draining && Lease.held(Now))
    for (const LocalBucket &Bucket : LocalBuckets)
      if (Bucket.State == BucketState::Foreign && Bucket.OwnerDeparted &&
          Bucket.Desired == Config.Self &&
          std::ranges::find(NewTargets, Bucket.Owner) == NewTargets.end()) {
        if (claimable(Bucket.Owner))
          NewTargets.push_back(Bucket.Owner);
        else
          ++Counters.ForeignArbiterLists;
      }
  Fences.setTargets(NewTargets);
}

bool OwnershipCore::State::hasNewFences(const FenceTimes &ActiveFences) const {
  return std::ranges::any_of(ActiveFences, [&](const auto &Item) {
    return !Store.known()->fenced(Item.first);
  });
}

void OwnershipCore::State::startStoreOperation(base::Now Now,
                                               OwnershipSink &Sink) {
  Store.expire(Now.Monotonic, Counters);
  if (!Store.idle(Now.Monotonic))
    return;
  FenceTimes ActiveFences = Fences.activeFences(Now.Monotonic);
  SwapPlan Plan;
  bool Read = Store.readRequired() || pollDue(Now.Monotonic);
  if (!Read) {
    Plan = plan(Now.Monotonic);
    Read = Plan.NeedsRead || (!Plan.Changed && hasNewFences(ActiveFences));
  }
  if (Read) {
    const auto Jitter = static_cast<uint64_t>(PollInterval.count()) / 2;
    NextPoll = Now.Monotonic + PollInterval +
               base::Duration(base::randomBelow(Random, Jitter));
    Store.read(Now.Monotonic, std::move(ActiveFences), Sink);
  } else if (Plan.Changed) {
    Store.swap(Now.Monotonic, std::move(ActiveFences), std::move(Plan.Record),
               {Config.Self, 0, Lease.arbiters().Hash},
               Lease.held(Now.Monotonic) ? Lease.period() : 0, Sink);
  }
}

} // namespace burdockstream::ownership
