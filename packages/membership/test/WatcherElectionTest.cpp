#include "burdockstream/membership/WatcherElection.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>
#include <map>
#include <memory>
#include <queue>
#include <set>

namespace burdockstream::membership {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr base::Duration Latency = milliseconds(20);

// Simulates, in virtual time, a store with leases and one key per failure
// domain and slot, and the balancers that compete for the keys.
class ElectionSimulation {
public:
  ElectionSimulation(size_t Domains, size_t PerDomain) : Random(61) {
    for (size_t I = 0; I < Domains * PerDomain; ++I) {
      RandomSources.push_back(std::make_unique<base::RandomSource>(Random()));
      Balancers.push_back(
          std::make_unique<WatcherElection>(*RandomSources.back()));
      Domain.push_back(I % Domains);
      Balancers[I]->setRank(I / Domains, Time);
      schedule(I);
    }
  }

  void run(base::Duration Length) {
    const base::TimePoint End = Time + Length;
    while (!Events.empty() && Events.top().At <= End) {
      const Event Next = Events.top();
      Events.pop();
      Time = Next.At;
      if (Dead.contains(Next.Target))
        continue;
      watcher::Sink Sink;
      if (Next.Body)
        Balancers[Next.Target]->handle(*Next.Body, Time, Sink);
      else
        Balancers[Next.Target]->tick(Time, Sink);
      for (const watcher::Action &A : Sink)
        std::visit([&](const auto &Body) { perform(Next.Target, Body); }, A);
      schedule(Next.Target);
    }
    Time = End;
  }

  // Returns the running balancers of a domain that consider themselves holders
  // of a key.
  std::vector<size_t> holders(size_t InDomain) const {
    std::vector<size_t> Result;
    for (size_t I = 0; I < Balancers.size(); ++I)
      if (Domain[I] == InDomain && Balancers[I]->holdsKey() &&
          !Dead.contains(I))
        Result.push_back(I);
    return Result;
  }

  void resetCounts() {
    Calls.clear();
    Writes.clear();
  }
  static size_t maxPerSecond(const std::map<int64_t, size_t> &PerSecond) {
    size_t Result = 0;
    for (const auto &[Second, Count] : PerSecond)
      Result = std::max(Result, Count);
    return Result;
  }
  double meanCallsPerSecond(base::Duration Length) const {
    double Sum = 0;
    for (const auto &[Second, Count] : Calls)
      Sum += double(Count);
    return Sum / (double(Length.count()) / 1e6);
  }

  bool StoreUp = true;
  bool DropReplies = false;
  std::set<size_t> Dead;
  std::set<size_t> Watching;
  std::map<int64_t, size_t> Calls;
  std::map<int64_t, size_t> Writes;
  base::TimePoint Time{seconds(100)};

private:
  struct Event {
    base::TimePoint At;
    uint64_t Order = 0;
    size_t Target = 0;
    std::optional<watcher::Event> Body;
    bool operator<(const Event &Other) const {
      return At != Other.At ? At > Other.At : Order > Other.Order;
    }
  };

  void schedule(size_t I) {
    const base::TimePoint Next = Balancers[I]->nextDeadline();
    if (Next != base::Never)
      Events.push({std::max(Next, Time), ++Order, I, std::nullopt});
  }
  void reply(size_t I, const watcher::Event &Body) {
    if (DropReplies)
      return;
    if (StoreUp)
      Events.push({Time + Latency, ++Order, I, Body});
    else
      Events.push({Time + seconds(1), ++Order, I, watcher::StoreError{}});
  }
  void count(bool Write) {
    const auto Second =
        std::chrono::duration_cast<seconds>(Time.time_since_epoch()).count();
    ++Calls[Second];
    Writes[Second] += Write ? 1 : 0;
  }
  bool leaseIsLive(int64_t Lease) {
    const auto It = Leases.find(Lease);
    return It != Leases.end() && It->second > Time;
  }

  void perform(size_t I, const watcher::ReadKeys &) {
    count(false);
    watcher::KeysRead Read;
    for (size_t Slot = 0; Slot < WatchersPerDomain; ++Slot)
      Read.Held[Slot] = leaseIsLive(Keys[{Domain[I], Slot}]);
    reply(I, Read);
  }
  void perform(size_t I, const watcher::RequestLease &Request) {
    count(true);
    if (StoreUp)
      Leases[++LastLease] = Time + Request.Lifetime;
    reply(I, watcher::LeaseGranted{LastLease});
  }
  void perform(size_t I, const watcher::TakeKey &Request) {
    count(true);
    int64_t &Key = Keys[{Domain[I], Request.Slot}];
    const bool Taken =
        StoreUp && !leaseIsLive(Key) && leaseIsLive(Request.Lease);
    if (Taken)
      Key = Request.Lease;
    reply(I, Taken ? watcher::Event(watcher::KeyTaken{})
                   : watcher::Event(watcher::KeyLost{}));
  }
  void perform(size_t I, const watcher::KeepAlive &Request) {
    count(true);
    const bool Extended = StoreUp && leaseIsLive(Request.Lease);
    if (Extended)
      Leases[Request.Lease] = Time + WatcherLease;
    reply(I, Extended ? watcher::Event(watcher::KeepAliveConfirmed{})
                      : watcher::Event(watcher::KeyLost{}));
  }
  void perform(size_t I, const watcher::StartWatch &) { Watching.insert(I); }
  void perform(size_t I, const watcher::StopWatch &) { Watching.erase(I); }

  base::RandomSource Random;
  std::vector<std::unique_ptr<base::RandomSource>> RandomSources;
  std::vector<std::unique_ptr<WatcherElection>> Balancers;
  std::vector<size_t> Domain;
  std::priority_queue<Event> Events;
  std::map<std::pair<size_t, size_t>, int64_t> Keys;
  std::map<int64_t, base::TimePoint> Leases;
  int64_t LastLease = 0;
  uint64_t Order = 0;
};

// Guards against a failure domain without watchers or with more than two.
TEST(WatcherElection, ElectsTwoPerDomain) {
  ElectionSimulation Sim(3, 5);
  Sim.run(seconds(30));
  for (size_t Domain = 0; Domain < 3; ++Domain)
    EXPECT_EQ(Sim.holders(Domain).size(), 2U);
  EXPECT_EQ(Sim.Watching.size(), 6U);
}

// Guards against a failed watcher that is not replaced in time.
TEST(WatcherElection, ReplacesADeadWatcher) {
  ElectionSimulation Sim(1, 250);
  Sim.run(minutes(5));
  Sim.Dead.insert(Sim.holders(0).front());
  Sim.run(seconds(20));
  EXPECT_EQ(Sim.holders(0).size(), 2U);
}

// Guards against a balancer that continues to watch although it cannot renew
// its lease, because the store's replies are lost.
TEST(WatcherElection, StopsWatchingWithoutALease) {
  ElectionSimulation Sim(1, 3);
  Sim.run(seconds(30));
  ASSERT_EQ(Sim.Watching.size(), 2U);
  Sim.DropReplies = true;
  Sim.run(seconds(11));
  EXPECT_TRUE(Sim.Watching.empty());
  Sim.DropReplies = false;
  Sim.run(seconds(40));
  EXPECT_EQ(Sim.holders(0).size(), 2U);
}

// Guards against balancers that overload the store when it becomes available
// after an outage. The store sustains several hundred writes and about 2,000
// reads per second.
TEST(WatcherElection, SparesTheStoreAfterAnOutage) {
  ElectionSimulation Sim(8, 250);
  Sim.run(minutes(10));
  Sim.resetCounts();
  Sim.run(minutes(10));
  std::printf("2,000 balancers, store up: mean %.1f, worst %zu calls/s\n",
              Sim.meanCallsPerSecond(minutes(10)),
              ElectionSimulation::maxPerSecond(Sim.Calls));
  Sim.StoreUp = false;
  Sim.resetCounts();
  Sim.run(minutes(30));
  std::printf("store down: mean %.1f, worst %zu calls/s\n",
              Sim.meanCallsPerSecond(minutes(30)),
              ElectionSimulation::maxPerSecond(Sim.Calls));
  EXPECT_TRUE(Sim.Watching.empty());
  Sim.StoreUp = true;
  Sim.resetCounts();
  Sim.run(seconds(15));
  std::printf("first 15 s after the outage: worst %zu calls/s, of these "
              "%zu writes/s\n",
              ElectionSimulation::maxPerSecond(Sim.Calls),
              ElectionSimulation::maxPerSecond(Sim.Writes));
  EXPECT_LT(ElectionSimulation::maxPerSecond(Sim.Calls), 200U);
  EXPECT_LT(ElectionSimulation::maxPerSecond(Sim.Writes), 100U);
  for (size_t Domain = 0; Domain < 8; ++Domain)
    EXPECT_EQ(Sim.holders(Domain).size(), 2U);
}

// Guards against restarting a watch at a revision that the store has compacted.
TEST(WatcherElection, ReadsAllRecordsAfterACompaction) {
  base::RandomSource Random(62);
  WatcherElection E(Random);
  const base::TimePoint T{seconds(100)};
  watcher::Sink Sink;
  E.advanceKnownRevision(41);
  E.setRank(0, T);
  E.tick(T + seconds(5), Sink);
  E.handle(watcher::KeysRead{}, T + seconds(5), Sink);
  E.handle(watcher::LeaseGranted{7}, T + seconds(5), Sink);
  E.handle(watcher::KeyTaken{}, T + seconds(5), Sink);
  ASSERT_TRUE(std::holds_alternative<watcher::StartWatch>(Sink.back()));
  EXPECT_EQ(std::get<watcher::StartWatch>(Sink.back()).From, 42);
  E.handle(watcher::WatchEnded{true}, T + seconds(6), Sink);
  Sink.clear();
  E.tick(T + seconds(8), Sink);
  ASSERT_TRUE(std::holds_alternative<watcher::StartWatch>(Sink.front()));
  EXPECT_EQ(std::get<watcher::StartWatch>(Sink.front()).From, 0);
}

} // namespace
} // namespace burdockstream::membership
