#include "Simulation.h"

#include <gtest/gtest.h>

#include <cstdio>

namespace burdockstream::membership {
namespace {

using test::Simulation;

messages::RecordEntry record(base::Revision Revision, size_t Size = 600) {
  return {"shopdesk", Revision, std::string(Size, 'x')};
}

bool inForceEverywhere(Simulation &Sim, base::Revision Revision) {
  for (size_t I = 0; I < Sim.nodes(); ++I) {
    if (!Sim.node(I).Balancer || !Sim.node(I).Running)
      continue;
    const auto *Found =
        Sim.node(I).Balancer->records().find(base::serviceIdOf("shopdesk"));
    if (!Found || Found->StoreRevision != Revision)
      return false;
  }
  return true;
}

void publishRecord(Simulation &Sim, size_t At,
                   const messages::RecordEntry &Record) {
  Sim.call(At, [&](base::Now Now, ActionSink &Sink) {
    Sim.node(At).Balancer->applyRecord(Record, Now, Sink);
  });
}

// Guards against a record that is not known to all balancers within 3 s after
// the watcher read it, including one that exceeds a datagram.
TEST(Records, ReachEveryBalancerInTime) {
  for (size_t Size : {600U, 3000U}) {
    Simulation Sim(51, 300, {1.0 / 3, 0, milliseconds(4), milliseconds(5)});
    Sim.startGroup();
    Sim.run(seconds(5));
    publishRecord(Sim, 7, record(10, Size));
    const auto Taken =
        Sim.runUntil([&] { return inForceEverywhere(Sim, 10); }, seconds(10));
    std::printf("300 balancers, 1/3 loss: record of %zu bytes in force after "
                "%.0f ms\n",
                Size, double(Taken.count()) / 1e3);
    EXPECT_LT(Taken, seconds(3));
  }
}

// Guards against a delayed older revision that replaces a newer one.
TEST(Records, NeverRevert) {
  Simulation Sim(52, 5);
  Sim.startGroup();
  publishRecord(Sim, 0, record(10));
  Sim.run(seconds(2));
  publishRecord(Sim, 1, record(9));
  Sim.run(seconds(15));
  EXPECT_TRUE(inForceEverywhere(Sim, 10));
}

// Guards against agents that continue to use an outdated record.
TEST(Records, ReachTheServicesAgents) {
  Simulation Sim(53, 10);
  Sim.startGroup();
  const size_t Agent = Sim.startAgent("shopdesk", 0);
  const size_t Other = Sim.startAgent("fitvault", 0);
  Sim.run(seconds(3));
  publishRecord(Sim, 2, record(10));
  const auto Known = [&] {
    const auto &Record = Sim.node(Agent).Agent->record();
    return Record && Record->StoreRevision == 10;
  };
  EXPECT_LT(Sim.runUntil(Known, seconds(5)), seconds(2));
  EXPECT_FALSE(Sim.node(Other).Agent->record());
  // An agent that starts later obtains the record with its first
  // acknowledgment.
  const size_t Late = Sim.startAgent("shopdesk", 1);
  Sim.run(seconds(1));
  EXPECT_TRUE(Sim.node(Late).Agent->record());
}

} // namespace
} // namespace burdockstream::membership
