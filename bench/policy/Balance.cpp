#include "PolicyBenchmarks.h"

#include "burdockstream/base/Hash.h"
#include "burdockstream/base/Random.h"
#include "burdockstream/routing/BucketTable.h"

#include <algorithm>
#include <functional>
#include <map>

namespace burdockstream::bench {

namespace {

using MemberList = std::vector<routing::TableMember>;
// Maps each flow to the ID of its endpoint.
using Assignment = std::vector<uint64_t>;
using AssignmentMethod =
    std::function<Assignment(const MemberList &, size_t Flows)>;

constexpr size_t FlowsPerEndpoint = 2000;
constexpr uint64_t FlowHashSeed = 11;
constexpr uint64_t RingHashSeed = 12;
// Gives an endpoint of the default weight 100 points.
constexpr uint32_t RingPointsPerWeight = 1;
constexpr size_t WorkSamples = 200;
constexpr double BusyFlowFraction = 0.05; // flows with a request in progress

uint64_t flowHash(uint64_t Flow) {
  return base::hashPair(Flow, 0, FlowHashSeed);
}

Assignment assignByBucketTable(const MemberList &Endpoints, size_t Flows) {
  const auto Table = routing::BucketTable::build(base::serviceIdOf("shopdesk"),
                                                 256, Endpoints);
  Assignment Result;
  for (size_t Flow = 0; Flow < Flows; ++Flow)
    Result.push_back(
        Table.owner(static_cast<base::BucketIndex>(flowHash(Flow) % 256))
            ->Id.Value);
  return Result;
}

// Lists each endpoint once per 50 units of weight and takes the flow hash
// modulo the length of the list.
Assignment assignByModulo(const MemberList &Endpoints, size_t Flows) {
  std::vector<uint64_t> EndpointIds;
  for (const auto &Entry : Endpoints)
    EndpointIds.insert(EndpointIds.end(), Entry.Weight / 50, Entry.Id.Value);
  Assignment Result;
  for (size_t Flow = 0; Flow < Flows; ++Flow)
    Result.push_back(EndpointIds[flowHash(Flow) % EndpointIds.size()]);
  return Result;
}

Assignment assignByHashRing(const MemberList &Endpoints, size_t Flows) {
  std::map<uint64_t, uint64_t> Ring;
  for (const auto &Entry : Endpoints)
    for (uint32_t Point = 0; Point < Entry.Weight * RingPointsPerWeight;
         ++Point)
      Ring[base::hashPair(Entry.Id.Value, Point, RingHashSeed)] =
          Entry.Id.Value;
  Assignment Result;
  for (size_t Flow = 0; Flow < Flows; ++Flow) {
    const auto Next = Ring.lower_bound(flowHash(Flow));
    Result.push_back(Next == Ring.end() ? Ring.begin()->second : Next->second);
  }
  return Result;
}

// Returns the largest ratio of an endpoint's load to the share that is due to
// its weight.
double imbalance(const std::map<uint64_t, double> &Load,
                 const MemberList &Endpoints) {
  double Total = 0;
  double Weights = 0;
  for (const auto &[Id, Value] : Load)
    Total += Value;
  for (const auto &Entry : Endpoints)
    Weights += Entry.Weight;
  double Worst = 0;
  for (const auto &Entry : Endpoints) {
    const auto Found = Load.find(Entry.Id.Value);
    if (Found != Load.end())
      Worst = std::max(Worst, Found->second * Weights / Total / Entry.Weight);
  }
  return Worst;
}

// Imbalance of the number of flows per endpoint.
double flowImbalance(const Assignment &Flows, const MemberList &Endpoints) {
  std::map<uint64_t, double> Load;
  for (const uint64_t Id : Flows)
    Load[Id] += 1;
  return imbalance(Load, Endpoints);
}

// Mean imbalance of the requests in progress, over random samples of busy
// flows.
double workImbalance(const Assignment &Flows, const MemberList &Endpoints,
                     base::RandomSource &Random) {
  double Sum = 0;
  for (size_t Sample = 0; Sample < WorkSamples; ++Sample) {
    std::map<uint64_t, double> Load;
    for (const uint64_t Id : Flows)
      if (static_cast<double>(base::randomBelow(Random, 1'000'000)) <
          BusyFlowFraction * 1e6)
        Load[Id] += 1;
    Sum += imbalance(Load, Endpoints);
  }
  return Sum / WorkSamples;
}

// Returns the members before an event and after each of its steps.
std::vector<MemberList> membershipSteps(const std::string &Event,
                                        MemberList Endpoints) {
  std::vector<MemberList> Steps = {Endpoints};
  if (Event == "crash") {
    Endpoints.erase(Endpoints.begin());
    Steps.push_back(Endpoints);
  } else if (Event == "weight 100 to 50") {
    Endpoints.front().Weight = 50;
    Steps.push_back(Endpoints);
  } else {
    // Each replacement joins before the endpoint that it replaces leaves.
    for (size_t Index = 0; Index < Steps.front().size(); ++Index) {
      Endpoints.push_back(Endpoints.front());
      Endpoints.back().Id.Value += 1000;
      Steps.push_back(Endpoints);
      Endpoints.erase(Endpoints.begin());
      Steps.push_back(Endpoints);
    }
  }
  return Steps;
}

struct ReassignmentStatistics {
  double MovesPerFlow = 0;    // mean changes of endpoint per flow
  double MovedFraction = 0;   // flows that changed their endpoint at least once
  double CrashedFraction = 0; // flows whose endpoint crashed
  double MaxFlowImbalance = 0; // largest imbalance after any step
  double MaxWorkImbalance = 0;
};

ReassignmentStatistics measureReassignment(const AssignmentMethod &Assign,
                                           const std::vector<MemberList> &Steps,
                                           bool Crash,
                                           base::RandomSource &Random) {
  const size_t Flows = Steps.front().size() * FlowsPerEndpoint;
  const Assignment First = Assign(Steps.front(), Flows);
  Assignment Before = First;
  std::vector<bool> Changed(Flows, false);
  ReassignmentStatistics Result;
  for (const MemberList &Step : Steps) {
    const Assignment After = Assign(Step, Flows);
    for (size_t Flow = 0; Flow < Flows; ++Flow)
      if (After[Flow] != Before[Flow]) {
        Result.MovesPerFlow += 1;
        Changed[Flow] = true;
      }
    Result.MaxFlowImbalance =
        std::max(Result.MaxFlowImbalance, flowImbalance(After, Step));
    Result.MaxWorkImbalance =
        std::max(Result.MaxWorkImbalance, workImbalance(After, Step, Random));
    Before = After;
  }
  const auto Count = static_cast<double>(Flows);
  Result.MovesPerFlow /= Count;
  Result.MovedFraction =
      static_cast<double>(std::ranges::count(Changed, true)) / Count;
  if (Crash)
    Result.CrashedFraction = static_cast<double>(std::ranges::count(
                                 First, Steps.front().front().Id.Value)) /
                             Count;
  return Result;
}

struct NamedMethod {
  std::string Name;
  AssignmentMethod Assign;
  // A moved flow continues at its new endpoint instead of breaking.
  bool PreservesMovedFlows = false;
};

std::vector<NamedMethod> methods() {
  return {{"burdockstream", assignByBucketTable, true},
          {"hash modulo", assignByModulo},
          {"consistent hash", assignByHashRing}};
}

void addEventRows(BenchmarkResult &Result, uint64_t Seed,
                  const MemberList &Endpoints, const std::string &Event) {
  const std::vector<NamedMethod> All = methods();
  for (size_t Index = 0; Index < All.size(); ++Index) {
    base::RandomSource Random(Seed);
    const ReassignmentStatistics Value = measureReassignment(
        All[Index].Assign, membershipSteps(Event, Endpoints), Event == "crash",
        Random);
    const double BrokenFraction = All[Index].PreservesMovedFlows
                                      ? Value.CrashedFraction
                                      : Value.MovedFraction;
    Result.Tables[0].Rows.push_back(
        {std::to_string(Endpoints.size()), Event, All[Index].Name,
         decimal(Value.MovesPerFlow, 2), decimal(Value.MovedFraction * 100, 1),
         decimal(BrokenFraction * 100, 1), decimal(Value.MaxFlowImbalance, 3),
         decimal(Value.MaxWorkImbalance, 3)});
    if (Event == "rolling replacement")
      Result.Figure.Lines[Index].Points.emplace_back(Endpoints.size(),
                                                     BrokenFraction * 100);
  }
}

} // namespace

BenchmarkResult measureBalance(const BenchmarkOptions &Options) {
  BenchmarkResult Result;
  Result.Tables = {{"Broken flows and imbalance",
                    {"endpoints", "event", "method", "moves per flow",
                     "moved %", "broken %", "flows max/mean", "work max/mean"},
                    {}}};
  Result.Figure = {"broken_flows.svg",
                   "Broken flows in a rolling replacement",
                   "endpoints",
                   "% of flows",
                   {}};
  for (const NamedMethod &Entry : methods())
    Result.Figure.Lines.push_back({Entry.Name, {}});
  for (const size_t Count : {3, 7, 15}) {
    MemberList Endpoints;
    for (size_t Index = 0; Index < Count; ++Index)
      Endpoints.push_back({{Index + 1}, {0x0a000001, 6000}, 100});
    for (const std::string Event :
         {"rolling replacement", "crash", "weight 100 to 50"})
      addEventRows(Result, Options.Seed, Endpoints, Event);
  }
  return Result;
}

} // namespace burdockstream::bench
