// Held openings and unreported placements, for any order of packets and events.
#include "FlowFixture.h"

#include "burdockstream/base/Random.h"

#include <array>
#include <gtest/gtest.h>

namespace burdockstream::flows::test {
namespace {

using std::chrono::milliseconds;

class PlacementCountersTest : public ::testing::Test {
protected:
  void checkRoute(milliseconds Timeout) {
    // With 20 seeds, placements that counted twice were missed.
    for (uint64_t Seed = 1; Seed <= 100; ++Seed) {
      Random.seed(Seed);
      Sim = Simulation();
      Sim.OpeningAttempt = milliseconds(1400);
      Sim.CopyTimes = {milliseconds(0), milliseconds(200), milliseconds(600)};
      for (size_t I = 0; I < 2; ++I)
        Sim.setRoutes(Sim.addBalancer(), 10, {{ShopAddress, std::string(Shop)}},
                      WorkClass::Idempotent, {{milliseconds(300), Timeout}});
      for (size_t I = 0; I < 3; ++I)
        Sim.addAgent();
      Sim.listAll();
      pass(milliseconds(2000));
      for (int Round = 0; Round < 30; ++Round) {
        Ports = 1 + below(below(2) == 0 ? 3 : 60); // 60 overload the targets
        Main = below(2);
        SCOPED_TRACE("seed " + std::to_string(Seed) + ", round " +
                     std::to_string(Round));
        for (uint64_t Steps = 1 + below(200); Steps > 0; --Steps) {
          step();
          ASSERT_NO_FATAL_FAILURE(check()) << "steps left " << Steps - 1;
        }
        endAllFlows();
        ASSERT_NO_FATAL_FAILURE(check()) << "all flows have ended";
      }
    }
    EXPECT_TRUE(HasHeld) << "the targets were never busy";
  }

  void check() {
    for (const SimulatedAgent &Place : Sim.Agents) {
      HasHeld = HasHeld || Place.Core->held() > 0;
      ASSERT_LE(Place.Core->held(), Opened.size());
    }
    for (size_t I = 0; I < Sim.Balancers.size(); ++I)
      for (const auto &Known : Sim.Balancers[I].Core->targets().all()) {
        ASSERT_LE(Known->Status.HeldOpenings, Opened.size());
        ASSERT_LE(Known->UnreportedFlows, OpeningPackets[I]);
      }
  }
  uint64_t below(uint64_t Bound) { return base::randomBelow(Random, Bound); }

  void pass(base::Duration Time) {
    for (; Time > base::Duration(0); Time -= Tick) {
      for (size_t I = 0; I < Sim.Agents.size(); ++I)
        if (Sim.Agents[I].Running)
          Sim.sendHeartbeat(I);
      Sim.run(Tick);
    }
  }

  void open(size_t Balancer, uint16_t Port) {
    base::TimePoint &First = Clients.try_emplace(Port, Sim.Now).first->second;
    if (Sim.Now - First >= Sim.OpeningAttempt)
      First = Sim.Now; // the client's next attempt
    Opened.insert(Port);
    ++OpeningPackets[Balancer];
    Sim.open(Balancer, Simulation::flow(Port), First == Sim.Now ? 0 : below(3),
             Sim.Now - First);
  }

  void reset(size_t Balancer, uint16_t Port) {
    Packet Value;
    Value.Flow = Simulation::flow(Port);
    Value.Aborts = true;
    Value = Sim.Registry.write(Value);
    Sim.Balancers[Balancer].Core->onClientPacket(Value, Sim.Now);
    for (SimulatedAgent &Place : Sim.Agents)
      Place.Target.Held.erase({base::packAddress(Value.Flow.Client),
                               base::packAddress(Value.Flow.Service)});
    Clients.erase(Port);
  }

  void step() {
    const auto Port = static_cast<uint16_t>(1 + below(Ports));
    const size_t Balancer = below(16) == 0 ? 1 - Main : Main;
    const size_t Agent = below(Sim.Agents.size());
    SimulatedAgent &Place = Sim.Agents[Agent];
    const uint64_t Choice = below(16);
    if (Choice == 0)
      Place.Target.Full = !Place.Target.Full;
    else if (Choice == 1) // answers, or does not
      Place.Target.Unresponsive = below(4) != 0;
    else if (Choice == 2 && Place.Running)
      Place.Running = below(4) != 0;
    else if (Choice == 2)
      Sim.restartAgent(Agent);
    else if (Choice <= 5)
      pass(Tick);
    else if (Choice <= 10 || Clients.count(Port) == 0)
      open(Balancer, Port); // or a further copy
    else if (Choice == 11)
      reset(Balancer, Port);
    else // a new request if it is longer than those before, or a copy
      Sim.send(Balancer, Simulation::flow(Port), 1 + below(1000));
  }

  // Ends all flows, and waits for statuses and for the end of parked packets.
  void endAllFlows() {
    while (!Clients.empty())
      reset(below(2), Clients.begin()->first);
    for (size_t I = 0; I < Sim.Agents.size(); ++I) {
      Sim.Agents[I].Target = FakeTarget();
      if (!Sim.Agents[I].Running)
        Sim.restartAgent(I);
    }
    pass(milliseconds(4000));
    Opened.clear();
    OpeningPackets = {};
  }

  Simulation Sim;
  base::RandomSource Random;
  uint64_t Ports = 1;
  size_t Main = 0;                             // balancer of most packets
  std::map<uint16_t, base::TimePoint> Clients; // first copies
  std::set<uint16_t> Opened;                   // in this round
  std::array<uint64_t, 2> OpeningPackets{};    // in this round, by balancer
  bool HasHeld = false;
};

// Guards against targets that get no new flows, because openings that have
// ended, or more placements than there are openings, count as their load.
TEST_F(PlacementCountersTest, FollowTheOpeningsWithRepeatedOffers) {
  checkRoute(milliseconds(4000));
}

// Guards against the same without further rounds of offers.
TEST_F(PlacementCountersTest, FollowTheOpeningsWithoutRepeatedOffers) {
  checkRoute(milliseconds(2700));
}

} // namespace
} // namespace burdockstream::flows::test
