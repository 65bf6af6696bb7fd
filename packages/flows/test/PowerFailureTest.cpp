// Replays a power failure at peak load against repeated offers.
#include "FlowFixture.h"

#include <algorithm>
#include <array>
#include <gtest/gtest.h>

namespace burdockstream::flows::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::Duration Attempt = milliseconds(1400);
constexpr RequestTime LongRoute{milliseconds(300), milliseconds(4000)};

// The load pattern: all targets of a service restart cold at peak load while
// their clients retry.
class PowerFailure {
public:
  explicit PowerFailure(base::Duration OpeningAttempt) {
    Sim.OpeningAttempt = OpeningAttempt;
    Sim.addBalancer();
    for (size_t I = 0; I < Count; ++I)
      Sim.addAgent();
    Sim.setRoutes(0, 10, {{ShopAddress, std::string(Shop)}},
                  WorkClass::Idempotent, LongRoute);
    Sim.listAll();
    Sim.sendHeartbeats();
    Sim.run(seconds(2));
    for (size_t I = 0; I < Count; ++I) {
      Sim.restartAgent(I);
      Sim.Agents[I].StartedAtMs += 5000;
      Sim.Agents[I].HeartbeatsSent = 0;
      Sim.Agents[I].WarmupMs = 2000;
      Sim.Agents[I].Target.Unresponsive = true; // answers come from work()
    }
    Sim.sendHeartbeats();
    Sim.run(seconds(1)); // agents learn of the balancer again
    Sim.sendHeartbeats();
  }

  // Returns how many requests are answered within their timeout.
  int served() {
    const base::TimePoint Start = Sim.Now;
    for (int Step = 0; Sim.Now < Start + milliseconds(4500); ++Step) {
      for (int I = 0; I < 10 && Clients.size() < Requests; ++I)
        Clients.push_back({Sim.Now});
      for (Client &Each : Clients)
        act(Each);
      for (size_t I = 0; I < Count; ++I)
        work(I, Sim.Now < Start + seconds(2) ? ColdWork : WarmWork);
      Sim.run(Tick);
      if (Step % 20 == 19)
        Sim.sendHeartbeats();
    }
    return Served;
  }

  static constexpr size_t Requests = 200;

private:
  static constexpr size_t Count = 6;
  static constexpr size_t Slots = 2; // of the targets in Simulation
  static constexpr base::Duration ColdWork = milliseconds(200);
  static constexpr base::Duration WarmWork = milliseconds(100);
  static constexpr int MaxAttempts = 3;

  struct Client {
    base::TimePoint Arrived;
    int Attempts = 0;
    FlowKey Flow{};
    base::TimePoint Opened{};
    bool Requested = false;
  };
  struct Job {
    FlowKey Flow;
    base::TimePoint Deadline;
    base::TimePoint Done{};
  };

  void act(Client &Each) {
    if (Each.Requested || Sim.Now - Each.Arrived >= LongRoute.ToTimeLimit)
      return;
    if (Each.Attempts > 0) {
      if (const int Holder = Sim.holder(Each.Flow); Holder >= 0) {
        Each.Requested = true;
        Sim.send(0, Each.Flow);
        Queues[static_cast<size_t>(Holder)].push_back(
            {Each.Flow, Each.Arrived + LongRoute.ToTimeLimit});
        return;
      }
      const base::Duration Since = Sim.Now - Each.Opened;
      if (Since == milliseconds(200) || Since == milliseconds(600))
        Sim.open(0, Each.Flow, Since == milliseconds(200) ? 1 : 2, Since);
      const bool Reset = std::find(Sim.Resets.begin(), Sim.Resets.end(),
                                   Each.Flow) != Sim.Resets.end();
      if (!Reset && Since < Attempt)
        return;
    }
    if (Each.Attempts++ == MaxAttempts) {
      Each.Requested = true; // lost
      return;
    }
    Each.Flow = Simulation::flow(++LastPort);
    Each.Opened = Sim.Now;
    Sim.open(0, Each.Flow);
  }

  // Serves the queue of a target in order of arrival.
  void work(size_t Index, base::Duration Work) {
    auto &Queue = Queues[Index];
    for (size_t I = 0; I < std::min(Queue.size(), Slots);) {
      if (Queue[I].Done == base::TimePoint())
        Queue[I].Done = Sim.Now + Work;
      if (Queue[I].Done > Sim.Now) {
        ++I;
        continue;
      }
      Served += Sim.Now <= Queue[I].Deadline ? 1 : 0;
      answer(Index, Queue[I].Flow);
      Queue.erase(Queue.begin() + static_cast<ptrdiff_t>(I));
    }
  }

  void answer(size_t Index, const FlowKey &Flow) {
    Packet Value;
    Value.Flow = Flow;
    Value.DataBytes = 100;
    Value.Finishes = true;
    Sim.Agents[Index].Core->onTargetPacket(
        Sim.Registry.write(Value, Sender::Target), Sim.Now);
  }

  Simulation Sim;
  std::vector<Client> Clients;
  std::array<std::vector<Job>, Count> Queues;
  uint16_t LastPort = 0;
  int Served = 0;
};

// Guards against clients that use up their attempts within two seconds although
// the targets have capacity within the timeout.
TEST(RepeatedOffersPatternTest, ClientsOutlastAPowerFailure) {
  const int Former = PowerFailure(base::Duration(0)).served();
  const int Repeated = PowerFailure(Attempt).served();
  RecordProperty("former", Former);
  RecordProperty("repeated", Repeated);
  const int All = PowerFailure::Requests;
  EXPECT_GE(Repeated, All * 95 / 100) << "of " << All;
  EXPECT_LT(Former, All * 80 / 100) << "the pattern does not need the rounds";
}

} // namespace
} // namespace burdockstream::flows::test
