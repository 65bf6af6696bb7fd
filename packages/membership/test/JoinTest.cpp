#include "Simulation.h"

#include <gtest/gtest.h>

#include <cstdio>

namespace burdockstream::membership {
namespace {

using messages::MemberState;
using test::Simulation;

// Guards against a group that does not form when all balancers start at the
// same time.
TEST(Join, AllAtOnce) {
  Simulation Sim(41, 10);
  for (size_t I = 0; I < 10; ++I)
    Sim.startBalancer(I);
  Sim.run(seconds(6));
  for (size_t I = 0; I < 10; ++I)
    EXPECT_TRUE(Sim.stateEverywhere(Sim.id(I), MemberState::Ready));
}

// Guards against a balancer without peers that never finishes joining.
TEST(Join, Alone) {
  Simulation Sim(42, 3);
  const size_t Only = Sim.startBalancer(0);
  Sim.run(seconds(4));
  EXPECT_TRUE(Sim.node(Only).Balancer->joined());
}

// Guards against a balancer that starts during a store outage and does not
// obtain the records and members from its peers.
TEST(Join, ObtainsTheTargetsStateFromPeers) {
  constexpr size_t Records = 3300;
  Simulation Sim(43, 6, {0.05, 0, milliseconds(4), milliseconds(5)});
  Sim.startGroup();
  messages::DigestDiff State;
  for (size_t I = 0; I < Records; ++I)
    State.Records.push_back(
        {"service-" + std::to_string(I), 100, std::string(600, 'x')});
  for (size_t I = 0; I < 6; ++I)
    Sim.call(I, [&](base::Now Now, ActionSink &Sink) {
      Sim.node(I).Balancer->handle(State, {}, Now, Sink);
    });
  Sim.run(seconds(5));
  const size_t Late = Sim.startBalancer(3);
  const auto Taken = Sim.runUntil(
      [&] { return Sim.node(Late).Balancer->joined(); }, seconds(30));
  std::printf("%zu records obtained from peers in %.1f s\n", Records,
              double(Taken.count()) / 1e6);
  EXPECT_EQ(Sim.node(Late).Balancer->records().size(), Records);
  EXPECT_EQ(Sim.node(Late).Balancer->members().balancers().size(), 6U);
  EXPECT_LT(Taken, seconds(10));
}

} // namespace
} // namespace burdockstream::membership
