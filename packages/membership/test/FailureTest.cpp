// Tests the detection of failed balancers, and conditions that must not be
// treated as failures.
#include "Simulation.h"

#include <gtest/gtest.h>

#include <cstdio>

namespace burdockstream::membership {
namespace {

using messages::MemberInfo;
using messages::MemberState;
using test::Simulation;

bool deadOrForgotten(const MemberInfo *Info) {
  return !Info || Info->State == MemberState::Dead;
}

// Returns how often a node stored a member as dead.
size_t deathsReported(Simulation &Sim) {
  size_t Count = 0;
  for (size_t I = 0; I < Sim.nodes(); ++I)
    for (const Action &Next : Sim.node(I).Actions)
      if (const auto *Change = std::get_if<MemberChanged>(&Next))
        Count += Change->Member.State == MemberState::Dead ? 1 : 0;
  return Count;
}

// Guards against sending replies to a failed balancer for long, and against a
// failure that some balancers do not learn of.
TEST(BalancerFailure, IsKnownEverywhere) {
  for (size_t Count : {3U, 30U}) {
    Simulation Sim(21, Count);
    Sim.startGroup();
    Sim.run(seconds(5));
    Sim.kill(1);
    const auto Taken = Sim.runUntil(
        [&] { return Sim.stateEverywhere(Sim.id(1), MemberState::Dead); },
        seconds(30));
    std::printf("%zu balancers: death known everywhere after %.1f s\n", Count,
                double(Taken.count()) / 1e6);
    EXPECT_LT(Taken, seconds(10));
    EXPECT_EQ(deathsReported(Sim), Count - 1);
  }
}

// Guards against declaring running balancers dead because of packet loss, delay
// and duplicates.
TEST(BalancerFailure, IsNotSeenInALossyNetwork) {
  Simulation Sim(22, 30, {0.05, 0.05, milliseconds(1), milliseconds(60)});
  Sim.startGroup();
  Sim.run(seconds(300));
  uint64_t Suspicions = 0;
  for (size_t I = 0; I < Sim.nodes(); ++I)
    Suspicions += Sim.node(I).Balancer->counters().Suspicions;
  std::printf("30 balancers, 300 s, 5%% loss: %llu suspicions\n",
              static_cast<unsigned long long>(Suspicions));
  EXPECT_EQ(deathsReported(Sim), 0U);
  EXPECT_LE(Suspicions, 2U);
}

// Guards against probing, suspecting and choosing as a home the previous
// process of a restarted balancer until it is declared dead.
TEST(BalancerRestart, ReplacesTheFormerDaemonAtOnce) {
  Simulation Sim(23, 30, {0.05, 0, milliseconds(4), milliseconds(5)});
  Sim.startGroup();
  Sim.run(seconds(5));
  const base::DaemonId Old = Sim.id(4);
  const size_t Again = Sim.startBalancer(4);
  const auto Taken = Sim.runUntil(
      [&] {
        return Sim.atAllBalancers(Old, deadOrForgotten) &&
               Sim.stateEverywhere(Sim.id(Again), MemberState::Ready);
      },
      seconds(30));
  EXPECT_LT(Taken, seconds(3));
  EXPECT_TRUE(Sim.node(Again).Balancer->joined());
}

// Guards against a restart with a wall clock that was set back, which gives the
// new process a lower version than the previous one had.
TEST(BalancerRestart, SucceedsWithAClockThatWasSetBack) {
  Simulation Sim(24, 5);
  Sim.startGroup();
  Sim.run(seconds(5));
  // The previous process announces a version from the future.
  MemberInfo Old = Sim.node(2).Balancer->self();
  Old.Version += 1000000000;
  Sim.call(0, [&](base::Now Now, ActionSink &Sink) {
    Sim.node(0).Balancer->handle(messages::Rumor{{Old}, {}}, {}, Now, Sink);
  });
  Sim.run(seconds(3));
  const size_t Again = Sim.startBalancer(2);
  const auto Taken = Sim.runUntil(
      [&] {
        return Sim.atAllBalancers(Old.Id, deadOrForgotten) &&
               Sim.stateEverywhere(Sim.id(Again), MemberState::Ready);
      },
      seconds(30));
  EXPECT_LT(Taken, seconds(5));
}

// Guards against a balancer that, after a pause of its process, treats its
// expired timers as failures of others, or remains dead in their tables.
TEST(BalancerPause, EndsWithoutDamage) {
  for (auto Length : {base::Duration(seconds(4)), base::Duration(seconds(30)),
                      base::Duration(minutes(12))}) {
    Simulation Sim(25, 10);
    Sim.startGroup();
    const size_t Agent = Sim.startAgent("shopdesk", 0);
    Sim.run(seconds(5));
    Sim.pause(3, Length);
    Sim.run(Length - seconds(1));
    for (size_t I = 0; I < Sim.nodes(); ++I)
      Sim.node(I).Actions.clear();
    Sim.run(seconds(2));
    const auto Taken = Sim.runUntil(
        [&] {
          return Sim.stateEverywhere(Sim.id(3), MemberState::Ready) &&
                 Sim.stateEverywhere(Sim.id(Agent), MemberState::Ready);
        },
        seconds(30));
    EXPECT_LT(Taken, seconds(5)) << Length.count();
    EXPECT_EQ(deathsReported(Sim), 0U) << Length.count();
  }
}

// Guards against two sides of a partition that do not merge after it has
// healed, because each has removed the other's members.
TEST(Partition, HealsAfterAnHour) {
  Simulation Sim(26, 12);
  Sim.startGroup();
  Sim.run(seconds(5));
  Sim.Drop = [](base::SocketAddress A, base::SocketAddress B) {
    return (A.Ip & 0xff) / 6 != (B.Ip & 0xff) / 6;
  };
  Sim.run(minutes(60));
  EXPECT_EQ(Sim.node(0).Balancer->members().size(), 6U);
  Sim.Drop = nullptr;
  const auto Taken = Sim.runUntil(
      [&] {
        for (size_t I = 0; I < 12; ++I)
          if (!Sim.stateEverywhere(Sim.id(I), MemberState::Ready))
            return false;
        return true;
      },
      seconds(120));
  std::printf(
      "12 balancers: one group again %.1f s after an hour's partition\n",
      double(Taken.count()) / 1e6);
  EXPECT_LT(Taken, seconds(30));
}

} // namespace
} // namespace burdockstream::membership
