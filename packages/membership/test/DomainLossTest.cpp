// Tests the simultaneous failure of all daemons in a failure domain.
#include "Simulation.h"

#include <gtest/gtest.h>

#include <cstdio>
#include <set>

namespace burdockstream::membership {
namespace {

using messages::MemberState;
using test::Simulation;

constexpr size_t Balancers = 100;
constexpr size_t Agents = 750;

// Balancers and agents are each assigned to the four domains in turn.
bool inLostDomain(size_t Node) {
  return (Node < Balancers ? Node : Node - Balancers) % 4 == 0;
}

uint64_t bytesSent(Simulation &Sim) {
  uint64_t Sum = 0;
  for (size_t I = 0; I < Balancers; ++I)
    Sum += Sim.node(I).BytesSent;
  return Sum;
}

bool allLostAreDead(Simulation &Sim) {
  for (size_t I = 0; I < Sim.nodes(); ++I)
    if (inLostDomain(I) && !Sim.stateEverywhere(Sim.id(I), MemberState::Dead))
      return false;
  return true;
}

// Returns how often a balancer declared a surviving member dead.
size_t falseDeaths(Simulation &Sim) {
  std::set<base::DaemonId> Survivors;
  for (size_t I = 0; I < Sim.nodes(); ++I)
    if (!inLostDomain(I))
      Survivors.insert(Sim.id(I));
  size_t Count = 0;
  for (size_t I = 0; I < Balancers; ++I)
    for (const Action &Next : Sim.node(I).Actions)
      if (const auto *Change = std::get_if<MemberChanged>(&Next))
        Count += Change->Member.State == MemberState::Dead &&
                         Survivors.contains(Change->Member.Id)
                     ? 1
                     : 0;
  return Count;
}

// Guards against members of a failed failure domain that remain in some tables,
// and against survivors that are declared dead while many changes are gossiped.
TEST(DomainLoss, IsKnownEverywhereAndHarmsNobodyElse) {
  Simulation Sim(71, Balancers, {0.01, 0, milliseconds(4), milliseconds(6)});
  Sim.startGroup();
  for (size_t I = 0; I < Agents; ++I)
    Sim.startAgent("service-" + std::to_string(I * 2 / 9), I);
  Sim.run(seconds(20));
  for (size_t I = 0; I < Sim.nodes(); ++I) {
    Sim.node(I).Actions.clear();
    if (inLostDomain(I))
      Sim.kill(I);
  }
  const uint64_t Before = bytesSent(Sim);
  const auto Taken =
      Sim.runUntil([&] { return allLostAreDead(Sim); }, seconds(120));
  const double Seconds = double(Taken.count()) / 1e6;
  std::printf("100 balancers, 750 agents: loss of a domain known everywhere "
              "after %.1f s, %.0f B/s sent per balancer meanwhile\n",
              Seconds, double(bytesSent(Sim) - Before) / Seconds / 75);
  EXPECT_LT(Taken, seconds(15));
  Sim.run(seconds(30));
  EXPECT_EQ(falseDeaths(Sim), 0U);
  for (size_t I = 0; I < Sim.nodes(); ++I)
    if (!inLostDomain(I)) {
      EXPECT_TRUE(Sim.stateEverywhere(Sim.id(I), MemberState::Ready));
    }
}

} // namespace
} // namespace burdockstream::membership
