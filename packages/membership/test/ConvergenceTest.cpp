// Measures how fast all balancers learn that an endpoint is leaving when a
// third of the messages is lost, and the bandwidth that the protocol uses.
#include "Simulation.h"

#include <gtest/gtest.h>

#include <cstdio>

namespace burdockstream::membership {
namespace {

using messages::MemberState;
using test::Simulation;

double milliseconds(base::Duration Length) {
  return static_cast<double>(Length.count()) / 1000.0;
}

uint64_t balancerBytes(Simulation &Sim, size_t Balancers) {
  uint64_t Sum = 0;
  for (size_t I = 0; I < Balancers; ++I)
    Sum += Sim.node(I).BytesSent;
  return Sum;
}

// Guards against sending new requests to an endpoint later than 3 s after it
// has announced that it is leaving.
class LeavingConvergence : public testing::TestWithParam<size_t> {};

TEST_P(LeavingConvergence, TakesLessThan3SecondsAtOneThirdLoss) {
  const size_t Balancers = GetParam();
  const int Trials = Balancers > 1000 ? 3 : 20;
  Simulation Sim(11, Balancers);
  Sim.startGroup();
  std::vector<size_t> Agents;
  Agents.reserve(Trials);
  for (int I = 0; I < Trials; ++I)
    Agents.push_back(Sim.startAgent("shopdesk", I));
  Sim.run(seconds(8));
  Sim.Net.Loss = 1.0 / 3;
  base::Duration Worst{0};
  base::Duration Sum{0};
  for (size_t I = 0; I < Agents.size(); ++I) {
    // Lets the loss raise suspicions, whose rumors compete with those of the
    // change.
    Sim.run(seconds(2));
    const MemberState State =
        I % 2 == 0 ? MemberState::Draining : MemberState::Stopped;
    Sim.setState(Agents[I], State);
    const auto Taken = Sim.runUntil(
        [&] { return Sim.stateEverywhere(Sim.id(Agents[I]), State); },
        seconds(10));
    Worst = std::max(Worst, Taken);
    Sum += Taken;
  }
  std::printf("%4zu balancers, 1/3 loss: mean %.0f ms, worst of %d %.0f ms\n",
              Balancers, milliseconds(Sum) / Trials, Trials,
              milliseconds(Worst));
  EXPECT_LT(Worst, seconds(3));
}

INSTANTIATE_TEST_SUITE_P(Sizes, LeavingConvergence,
                         testing::Values(3, 30, 300, 2000));

// Guards against gossip that exceeds the control-plane limit of 2,000 bytes per
// second and daemon. AnnouncementCost measures the agents' announcements.
class GossipCost : public testing::TestWithParam<size_t> {};

TEST_P(GossipCost, IsWithinTheBudget) {
  const size_t Balancers = GetParam();
  Simulation Sim(12, Balancers);
  Sim.startGroup();
  const size_t Agent = Sim.startAgent("shopdesk", 0);
  Sim.run(seconds(10));
  uint64_t Before = balancerBytes(Sim, Balancers);
  Sim.run(seconds(20));
  const double Idle =
      double(balancerBytes(Sim, Balancers) - Before) / 20.0 / double(Balancers);
  // 1,572 changes a day: one every 55 s.
  const int Changes = Balancers > 1000 ? 1 : 4;
  Before = balancerBytes(Sim, Balancers);
  for (int I = 0; I < Changes; ++I) {
    Sim.setState(Agent,
                 I % 2 == 0 ? MemberState::Draining : MemberState::Ready);
    Sim.run(seconds(55));
  }
  const double Busy = double(balancerBytes(Sim, Balancers) - Before) /
                      (55.0 * Changes) / double(Balancers);
  std::printf("%4zu balancers: %.0f B/s sent per balancer idle, %.0f B/s with "
              "1,572 changes a day\n",
              Balancers, Idle, Busy);
  EXPECT_LT(Busy, 2000);
}

INSTANTIATE_TEST_SUITE_P(Sizes, GossipCost, testing::Values(3, 30, 300, 2000));

// Guards against announcements that exceed their bandwidth limits, at the
// design's ratio of 7.5 agents per balancer and 4.5 agents per service.
TEST(AnnouncementCost, IsMeasuredAtTheTargetRatio) {
  constexpr size_t Balancers = 100;
  constexpr size_t Agents = 750;
  Simulation Sim(13, Balancers);
  Sim.startGroup();
  for (size_t I = 0; I < Agents; ++I)
    Sim.startAgent("service-" + std::to_string(I * 2 / 9), I);
  Sim.run(seconds(20));
  uint64_t AgentsBefore = 0;
  for (size_t I = Balancers; I < Sim.nodes(); ++I)
    AgentsBefore += Sim.node(I).BytesSent;
  const uint64_t Before = balancerBytes(Sim, Balancers);
  Sim.run(seconds(40));
  uint64_t AgentBytes = 0;
  uint64_t Largest = 0;
  for (size_t I = 0; I < Sim.nodes(); ++I) {
    AgentBytes += I < Balancers ? 0 : Sim.node(I).BytesSent;
    Largest = std::max(Largest, Sim.node(I).LargestDatagram);
  }
  const double PerBalancer =
      double(balancerBytes(Sim, Balancers) - Before) / 40 / Balancers;
  const double PerAgent = double(AgentBytes - AgentsBefore) / 40 / Agents;
  std::printf("7.5 agents per balancer: %.0f B/s sent per balancer, %.0f B/s "
              "per agent, largest datagram %llu bytes\n",
              PerBalancer, PerAgent, static_cast<unsigned long long>(Largest));
  EXPECT_LT(PerBalancer, 2500);
  EXPECT_LT(PerAgent, 300);
  EXPECT_LE(Largest, UnfragmentedDatagramBytes);
}

} // namespace
} // namespace burdockstream::membership
