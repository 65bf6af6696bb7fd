#include "RoutingSlopes.h"

#include "Simulation.h"
#include "burdockstream/bench/ThreadTime.h"
#include "burdockstream/routing/Router.h"

#include <algorithm>
#include <chrono>
#include <glog/logging.h>

namespace burdockstream::bench {

namespace {

using messages::MemberState;
using std::chrono::seconds;

constexpr int TableBuildCount = 20;
constexpr uint32_t RouteCallCount = 1000000;
constexpr base::SocketAddress Address{0x0a0a0a0a, 5683};

double cpuNanoseconds() { return threadCpuSeconds() * 1e9; }

std::vector<messages::MemberInfo> readyMembers(size_t Count) {
  base::RandomSource Random(Count);
  std::vector<messages::MemberInfo> Members(Count);
  for (size_t I = 0; I < Count; ++I) {
    Members[I].Id = {Random()};
    Members[I].State = MemberState::Ready;
    Members[I].Service = {1};
    Members[I].Data = {static_cast<uint32_t>(I + 1), 7000};
  }
  return Members;
}

uint64_t bytesSent(membership::test::Simulation &Sim, size_t Balancers) {
  uint64_t Sum = 0;
  for (size_t I = 0; I < Balancers; ++I)
    Sum += Sim.node(I).BytesSent;
  return Sum;
}

} // namespace

TableCosts measureTable(size_t Endpoints, uint16_t Buckets) {
  TableCosts Result{Endpoints, Buckets, 0, 0, 0};
  records::ServiceConfig Config;
  Config.Id = {1};
  Config.Address = Address;
  Config.Buckets = Buckets;
  const auto Members = readyMembers(Endpoints);
  routing::Router Router(7);
  Router.setConfig(Config);
  Router.setMembers(Config.Id, Members);
  const routing::BucketTable &Table = *Router.table(Config.Id);
  Result.TableBytes = Table.memoryBytes();

  double Start = cpuNanoseconds();
  for (int I = 0; I < TableBuildCount; ++I)
    CHECK(routing::BucketTable::build(Config.Id, Buckets, Table.members()) ==
          Table);
  Result.BuildMicroseconds = (cpuNanoseconds() - Start) / 1e3 / TableBuildCount;

  Start = cpuNanoseconds();
  for (uint32_t I = 0; I < RouteCallCount; ++I)
    CHECK(Router.route(Address, {I, 40000}));
  Result.RouteNanoseconds = (cpuNanoseconds() - Start) / RouteCallCount;
  return Result;
}

GossipCosts measureGossip(size_t Balancers, double Loss, int Trials,
                          uint64_t Seed) {
  GossipCosts Result{Balancers, Loss, 0, 0, 0};
  membership::test::Simulation Sim(Seed, Balancers);
  Sim.startGroup();
  const size_t Agent = Sim.startAgent("shopdesk", 0);
  Sim.run(seconds(8));
  const double Count = static_cast<double>(Balancers);
  uint64_t BytesBefore = bytesSent(Sim, Balancers);
  Sim.run(seconds(10));
  Result.IdleBytesPerSecond =
      static_cast<double>(bytesSent(Sim, Balancers) - BytesBefore) / 10 / Count;
  BytesBefore = bytesSent(Sim, Balancers);
  Sim.setState(Agent, MemberState::Draining);
  Sim.run(seconds(10));
  Result.BytesPerChange =
      static_cast<double>(bytesSent(Sim, Balancers) - BytesBefore) / Count -
      10 * Result.IdleBytesPerSecond;
  for (int I = 0; I < Trials; ++I) {
    Sim.Net.Loss = 0;
    Sim.setState(Agent, MemberState::Ready);
    Sim.run(seconds(8));
    Sim.Net.Loss = Loss;
    Sim.run(seconds(2));
    Sim.setState(Agent, MemberState::Draining);
    const auto ConvergenceTime = Sim.runUntil(
        [&] {
          return Sim.stateEverywhere(Sim.id(Agent), MemberState::Draining);
        },
        seconds(30));
    Result.ConvergenceMilliseconds =
        std::max(Result.ConvergenceMilliseconds,
                 static_cast<double>(ConvergenceTime.count()) / 1000.0);
  }
  return Result;
}

} // namespace burdockstream::bench
