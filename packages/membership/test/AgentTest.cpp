#include "Simulation.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>

namespace burdockstream::membership {
namespace {

using messages::MemberState;
using test::Simulation;

struct Cluster : Simulation {
  explicit Cluster(uint64_t Seed, size_t Balancers = 10,
                   test::Network InitNet = {})
      : Simulation(Seed, Balancers, InitNet) {
    startGroup();
    Agent = startAgent("shopdesk", 0);
    run(seconds(5));
  }
  size_t homeOf(size_t A, size_t Which) {
    const base::SocketAddress Home = node(A).Agent->homes().at(Which);
    for (size_t I = 0; I < nodes(); ++I)
      if (node(I).Address == Home && node(I).Running)
        return I;
    return nodes();
  }
  // Returns whether any node has seen Member in State since its list of actions
  // was cleared.
  bool seen(base::DaemonId Member, MemberState State) {
    for (size_t I = 0; I < nodes(); ++I)
      for (const Action &Next : node(I).Actions)
        if (const auto *Change = std::get_if<MemberChanged>(&Next))
          if (Change->Member.Id == Member && Change->Member.State == State)
            return true;
    return false;
  }
  size_t Agent = 0;
};

// Guards against sending flows to a dead agent for longer than designed.
TEST(AgentFailure, IsSuspectThenDead) {
  Cluster Sim(31);
  const base::DaemonId Id = Sim.id(Sim.Agent);
  ASSERT_TRUE(Sim.stateEverywhere(Id, MemberState::Ready));
  Sim.kill(Sim.Agent);
  const auto Suspect = Sim.runUntil(
      [&] { return Sim.stateEverywhere(Id, MemberState::Suspect); },
      seconds(10));
  const auto Dead = Sim.runUntil(
      [&] { return Sim.stateEverywhere(Id, MemberState::Dead); }, seconds(10));
  EXPECT_GT(Suspect, seconds(2));
  EXPECT_LT(Suspect, seconds(4));
  EXPECT_LT(Suspect + Dead, seconds(8));
}

// Guards against a draining agent that gets a weight again: if it fails before
// it announces Stopped, it must not become suspect.
TEST(AgentFailure, WhileDrainingIsNeverSuspect) {
  Cluster Sim(32);
  const base::DaemonId Id = Sim.id(Sim.Agent);
  Sim.setState(Sim.Agent, MemberState::Draining);
  Sim.run(seconds(2));
  Sim.kill(Sim.Agent);
  const auto Taken = Sim.runUntil(
      [&] { return Sim.stateEverywhere(Id, MemberState::Dead); }, seconds(20));
  EXPECT_LT(Taken, seconds(8));
  EXPECT_FALSE(Sim.seen(Id, MemberState::Suspect));
}

// Guards against a failure of an agent that remains undetected because both of
// its home balancers failed with it.
TEST(AgentFailure, IsNoticedWhenBothHomesDieToo) {
  Cluster Sim(33, 30);
  const base::DaemonId Id = Sim.id(Sim.Agent);
  Sim.kill(Sim.homeOf(Sim.Agent, 0));
  Sim.kill(Sim.homeOf(Sim.Agent, 1));
  Sim.kill(Sim.Agent);
  const auto Taken = Sim.runUntil(
      [&] { return Sim.stateEverywhere(Id, MemberState::Dead); }, seconds(60));
  std::printf("agent and both homes dead: known after %.1f s\n",
              double(Taken.count()) / 1e6);
  EXPECT_LT(Taken, seconds(30));
}

// Guards against declaring an agent dead because its home balancers failed.
TEST(AgentHomes, AreReplacedWhenTheyDie) {
  Cluster Sim(34);
  const base::DaemonId Id = Sim.id(Sim.Agent);
  Sim.kill(Sim.homeOf(Sim.Agent, 0));
  Sim.kill(Sim.homeOf(Sim.Agent, 1));
  Sim.run(seconds(60));
  EXPECT_FALSE(Sim.seen(Id, MemberState::Dead));
  EXPECT_TRUE(Sim.stateEverywhere(Id, MemberState::Ready));
  EXPECT_LT(Sim.homeOf(Sim.Agent, 0), Sim.nodes());
  EXPECT_LT(Sim.homeOf(Sim.Agent, 1), Sim.nodes());
}

// Guards against declaring running agents dead under packet loss, jitter and
// duplicates.
TEST(AgentHomes, TolerateALossyNetwork) {
  Cluster Sim(35, 10, {0.05, 0.05, milliseconds(1), milliseconds(60)});
  for (size_t I = 0; I < 50; ++I)
    Sim.startAgent("fitvault", I);
  Sim.run(seconds(300));
  for (size_t I = 10; I < Sim.nodes(); ++I) {
    EXPECT_TRUE(Sim.stateEverywhere(Sim.id(I), MemberState::Ready));
    EXPECT_FALSE(Sim.seen(Sim.id(I), MemberState::Dead));
  }
}

// Guards against a delayed announcement that reverts the state of an agent that
// is leaving.
TEST(AgentState, IsNotRevertedByADelayedAnnouncement) {
  Cluster Sim(36);
  const base::DaemonId Id = Sim.id(Sim.Agent);
  messages::Announce Old;
  Old.Self = Sim.node(Sim.Agent).Agent->self();
  for (MemberState State : {MemberState::Draining, MemberState::Stopped}) {
    Sim.setState(Sim.Agent, State);
    Sim.run(seconds(3));
    ASSERT_TRUE(Sim.stateEverywhere(Id, State));
    for (size_t I = 0; I < 10; ++I)
      Sim.call(I, [&](base::Now Now, ActionSink &Sink) {
        Sim.node(I).Balancer->handle(Old, Old.Self.Data, Now, Sink);
      });
    Sim.run(seconds(1));
    EXPECT_TRUE(Sim.stateEverywhere(Id, State));
  }
}

// Guards against an agent that remains dead in the tables after a pause of its
// process.
TEST(AgentState, IsReadyAgainAfterAPause) {
  Cluster Sim(37);
  const base::DaemonId Id = Sim.id(Sim.Agent);
  Sim.pause(Sim.Agent, seconds(20));
  Sim.run(seconds(15));
  EXPECT_TRUE(Sim.stateEverywhere(Id, MemberState::Dead));
  Sim.run(seconds(8));
  EXPECT_TRUE(Sim.stateEverywhere(Id, MemberState::Ready));
}

// Guards against agents of one service that compute different bucket tables,
// which happens if they do not know the same members.
TEST(AgentView, ContainsTheServiceMembersAndSomeBalancers) {
  Cluster Sim(38, 12);
  const size_t Peer = Sim.startAgent("shopdesk", 1);
  const size_t Other = Sim.startAgent("fitvault", 1);
  Sim.run(seconds(2));
  const MemberTable &View = Sim.node(Sim.Agent).Agent->members();
  ASSERT_NE(View.find(Sim.id(Peer)), nullptr);
  EXPECT_EQ(View.find(Sim.id(Other)), nullptr);
  EXPECT_GE(View.balancers().size(), 2U);
  Sim.setState(Peer, MemberState::Draining);
  const auto Taken = Sim.runUntil(
      [&] { return View.find(Sim.id(Peer))->State == MemberState::Draining; },
      seconds(5));
  EXPECT_LT(Taken, seconds(1));
}

// Guards against an agent with a wrong clock that runs requests past their
// deadline.
TEST(AgentClock, ReportsAnOffsetBeyondTheBound) {
  Cluster Sim(39);
  EXPECT_LE(std::abs(Sim.node(Sim.Agent).Agent->clockOffsetMilliseconds()), 2);
  const size_t Skewed = Sim.startAgent("shopdesk", 1, 1500);
  Sim.run(seconds(5));
  EXPECT_TRUE(Sim.node(Skewed).Agent->clockOffsetExceeded());
  EXPECT_NEAR(double(Sim.node(Skewed).Agent->clockOffsetMilliseconds()), -1500,
              10);
  const auto &Actions = Sim.node(Skewed).Actions;
  EXPECT_EQ(std::count_if(Actions.begin(), Actions.end(),
                          [](const Action &Next) {
                            return std::holds_alternative<ClockOffsetChanged>(
                                Next);
                          }),
            1);
}

} // namespace
} // namespace burdockstream::membership
