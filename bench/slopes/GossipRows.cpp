#include "Row.h"

#include "AllocationCount.h"
#include "RoutingSlopes.h"
#include "Simulation.h"

#include <algorithm>

namespace burdockstream::bench {

namespace {

using membership::test::Simulation;
using messages::MemberState;
using std::chrono::seconds;

constexpr double LossRate = 0.05;
constexpr int Trials = 3;
constexpr uint64_t Seed = 5;
constexpr double SecondsPerDay = 86400;
constexpr double MemberChangesPerDay = 1572;
constexpr double RecordChangesPerDay = 1800;
constexpr size_t RecordBytes = 600;
constexpr size_t MaxBalancersWithAgents = 300; // each balancer has 7.5 agents

double milliseconds(base::Duration Value) {
  return static_cast<double>(Value.count()) / 1000.0;
}

double sentBytesPerBalancer(Simulation &Sim, size_t Balancers,
                            base::Duration Time) {
  const auto Total = [&] {
    uint64_t Sum = 0;
    for (size_t I = 0; I < Balancers; ++I)
      Sum += Sim.node(I).BytesSent;
    return Sum;
  };
  const uint64_t Before = Total();
  Sim.run(Time);
  return static_cast<double>(Total() - Before) / static_cast<double>(Balancers);
}

// Returns the mean number of bytes that a balancer sends because of one record
// change.
double sentBytesPerRecordChange(size_t Balancers, double IdlePerSecond) {
  Simulation Sim(Seed, Balancers);
  Sim.startGroup();
  Sim.run(seconds(8));
  const messages::RecordEntry Record{"shopdesk", 100,
                                     std::string(RecordBytes, 'r')};
  Sim.call(0, [&](base::Now Now, membership::ActionSink &Sink) {
    Sim.node(0).Balancer->applyRecord(Record, Now, Sink);
  });
  return sentBytesPerBalancer(Sim, Balancers, seconds(10)) - 10 * IdlePerSecond;
}

// Returns the number of suspicions that balancers raise in a minute while all
// of them are alive.
double countFalseSuspicions(size_t Balancers) {
  Simulation Sim(Seed, Balancers);
  Sim.startGroup();
  Sim.Net.Loss = LossRate;
  Sim.run(seconds(60));
  uint64_t Sum = 0;
  for (size_t I = 0; I < Balancers; ++I)
    Sum += Sim.node(I).Balancer->counters().Suspicions;
  return static_cast<double>(Sum);
}

// Returns the time until all running balancers consider a killed agent or
// balancer dead.
double detectionMilliseconds(size_t Balancers, bool KillAgent) {
  Simulation Sim(Seed, Balancers);
  Sim.startGroup();
  const size_t Agent = Sim.startAgent("shopdesk", 0);
  Sim.run(seconds(8));
  Sim.Net.Loss = LossRate;
  const size_t Target = KillAgent ? Agent : Balancers - 1;
  const base::DaemonId Id = Sim.id(Target);
  Sim.kill(Target);
  return milliseconds(Sim.runUntil(
      [&] { return Sim.stateEverywhere(Id, MemberState::Dead); }, seconds(60)));
}

struct AverageLoad {
  double BytesPerSecond = 0;    // sent by a balancer
  double MessagesPerSecond = 0; // received by all daemons, per balancer
  double CpuMicroseconds = 0;   // per second and balancer
};

// Measures balancers with 7.5 agents each and 4.5 agents per service. The CPU
// time includes the agents and the simulation itself, but neither the encoding
// of messages nor sockets.
AverageLoad measureLoadWithAgents(size_t Balancers) {
  // A multiple of the periods of digests (10 s) and of complete acknowledgments
  // (16 s).
  constexpr base::Duration Window = seconds(80);
  constexpr double WindowSeconds = 80;
  Simulation Sim(Seed, Balancers);
  Sim.startGroup();
  for (size_t I = 0; I < Balancers * 15 / 2; ++I)
    Sim.startAgent("service-" + std::to_string(I * 2 / 9), I);
  // The start of the agents fills the gossip queues, for a time that grows with
  // the number of agents.
  Sim.run(seconds(std::max<size_t>(20, Balancers / 3)));
  AverageLoad Load;
  const uint64_t Before = Sim.deliveredMessages();
  const double BalancerSeconds = WindowSeconds * static_cast<double>(Balancers);
  Load.CpuMicroseconds =
      cpuMicroseconds(1,
                      [&] {
                        Load.BytesPerSecond =
                            sentBytesPerBalancer(Sim, Balancers, Window) /
                            WindowSeconds;
                      }) /
      BalancerSeconds;
  Load.MessagesPerSecond =
      static_cast<double>(Sim.deliveredMessages() - Before) / BalancerSeconds;
  return Load;
}

} // namespace

void addGossipRows(size_t Largest, Rows &Out) {
  const auto NewRow = [](const char *Name, const char *Unit) {
    return Row{Name, Unit, "balancers", {}};
  };
  Row Idle = NewRow("gossip sent per balancer, idle", "B/s");
  Row Member = NewRow("gossip per balancer and member change", "bytes");
  Row Record = NewRow("gossip per balancer and record change", "bytes");
  Row Busy = NewRow("gossip per balancer, 1572+1800 changes a day", "B/s");
  Row Agents = NewRow("sent per balancer with 7.5 agents each", "B/s");
  Row Received = NewRow("messages per balancer with 7.5 agents each", "1/s");
  Row Cpu = NewRow("simulation per balancer with 7.5 agents each", "us CPU/s");
  Row Converge = NewRow("convergence of a change, 5% loss, worst of 3", "ms");
  Row DeadAgent = NewRow("dead agent known everywhere, 5% loss", "ms");
  Row DeadBalancer = NewRow("dead balancer known everywhere, 5% loss", "ms");
  Row FalseSuspicions = NewRow("false suspicions per minute, 5% loss", "count");
  for (const size_t Balancers : {10U, 30U, 100U, 300U, 1000U, 2000U}) {
    if (Balancers > Largest)
      break;
    const double Size = static_cast<double>(Balancers);
    const GossipCosts Costs = measureGossip(Balancers, LossRate, Trials, Seed);
    const double PerRecord =
        sentBytesPerRecordChange(Balancers, Costs.IdleBytesPerSecond);
    Idle.Points.emplace_back(Size, Costs.IdleBytesPerSecond);
    Member.Points.emplace_back(Size, Costs.BytesPerChange);
    Record.Points.emplace_back(Size, PerRecord);
    Busy.Points.emplace_back(Size,
                             Costs.IdleBytesPerSecond +
                                 (MemberChangesPerDay * Costs.BytesPerChange +
                                  RecordChangesPerDay * PerRecord) /
                                     SecondsPerDay);
    Converge.Points.emplace_back(Size, Costs.ConvergenceMilliseconds);
    DeadAgent.Points.emplace_back(Size, detectionMilliseconds(Balancers, true));
    DeadBalancer.Points.emplace_back(Size,
                                     detectionMilliseconds(Balancers, false));
    FalseSuspicions.Points.emplace_back(Size, countFalseSuspicions(Balancers));
    if (Balancers <= MaxBalancersWithAgents) {
      const AverageLoad Load = measureLoadWithAgents(Balancers);
      Agents.Points.emplace_back(Size, Load.BytesPerSecond);
      Received.Points.emplace_back(Size, Load.MessagesPerSecond);
      Cpu.Points.emplace_back(Size, Load.CpuMicroseconds);
    }
  }
  Out.insert(Out.end(), {Idle, Member, Record, Busy, Agents, Received, Cpu,
                         Converge, DeadAgent, DeadBalancer, FalseSuspicions});
}

} // namespace burdockstream::bench
