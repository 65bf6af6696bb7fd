#include "PolicyBenchmarks.h"
#include "PolicySimulation.h"

#include <algorithm>
#include <limits>

namespace burdockstream::bench {

using namespace std::chrono_literals;

namespace {

constexpr base::Duration SurgeStart = 10s;
constexpr base::Duration RampDuration = 1s;
constexpr base::Duration PeakDuration = 10s;
constexpr base::Duration RunLength = 30s;
constexpr double BaseUtilization = 0.3;
constexpr double PeakUtilization = 3;

struct Variant {
  std::string Name;
  AgentKind Kind = AgentKind::Core;
  size_t EndpointQueue = 4;
  MoveRule Moves = MoveRule::Never;
};

std::vector<Variant> variants() {
  constexpr size_t NoLimit = std::numeric_limits<size_t>::max();
  return {{"no admission limit", AgentKind::Direct, NoLimit},
          {"fixed queue of 64", AgentKind::Direct, 64},
          {"fixed queue of 16", AgentKind::Direct, 16},
          {"burdockstream", AgentKind::Core},
          {"burdockstream, short moves", AgentKind::Core, 4, MoveRule::Short}};
}

double utilizationAt(base::Duration Time) {
  const auto RampFraction = [](base::Duration Since) {
    return std::clamp(static_cast<double>(Since.count()) /
                          static_cast<double>(RampDuration.count()),
                      0.0, 1.0);
  };
  const double SurgeFraction =
      RampFraction(Time - SurgeStart) -
      RampFraction(Time - SurgeStart - RampDuration - PeakDuration);
  return BaseUtilization + (PeakUtilization - BaseUtilization) * SurgeFraction;
}

// Returns the rate at which arrivals occupy all slots.
double requestsPerSecondAtCapacity(const SimulationOptions &Setup) {
  return static_cast<double>(Setup.Agents) * Setup.Slots /
         meanRunSeconds(Setup.Load);
}

SimulationOptions makeOptions(const Variant &Entry, uint16_t Slots,
                              uint64_t Seed) {
  SimulationOptions Setup;
  Setup.Seed = Seed;
  Setup.Slots = Slots;
  Setup.Kind = Entry.Kind;
  Setup.EndpointQueue = Entry.EndpointQueue;
  Setup.Moves = Entry.Moves;
  Setup.MoveAttempts = 32;
  Setup.ColdAgents = 2;
  Setup.ColdStart = SurgeStart;
  Setup.Load.Length = RunLength;
  Setup.Load.ShortMean = 100ms;
  Setup.Load.LongMean = 1s; // no request is long
  Setup.Load.ShortTimeout = Setup.Load.LongTimeout = 1s;
  Setup.Load.ArrivalRate =
      [Capacity = requestsPerSecondAtCapacity(Setup)](base::Duration Time) {
        return Capacity * utilizationAt(Time);
      };
  return Setup;
}

struct PeakStatistics {
  size_t Offered = 0;
  size_t Refused = 0;     // before their deadline
  size_t MetDeadline = 0; // accepted and answered by their deadline
  double Goodput = 0;     // answers by the deadline, as a share of capacity
  std::vector<base::Duration> Latencies;
};

// Computes the statistics of the time during which the load is at its peak.
PeakStatistics computeStatistics(const std::vector<Job> &Jobs,
                                 double Capacity) {
  const base::TimePoint First =
      Jobs.front().Arrived + SurgeStart + RampDuration;
  const base::TimePoint Last = First + PeakDuration;
  PeakStatistics Result;
  for (const Job &Item : Jobs) {
    if (Item.metDeadline() && Item.Ended >= First && Item.Ended < Last)
      Result.Goodput += 1;
    if (Item.Arrived < First || Item.Arrived >= Last)
      continue;
    ++Result.Offered;
    if (Item.Result == Outcome::Refused && Item.Ended < Item.Deadline)
      ++Result.Refused;
    Result.MetDeadline += Item.metDeadline() ? 1 : 0;
    if (Item.Result == Outcome::Answered)
      Result.Latencies.push_back(Item.Ended - Item.Arrived);
  }
  Result.Goodput /= Capacity * static_cast<double>(PeakDuration.count()) / 1e6;
  return Result;
}

std::string milliseconds(base::Duration Value) {
  return decimal(static_cast<double>(Value.count()) / 1e3, 0);
}

std::vector<std::string> formatRow(uint16_t Slots, const std::string &Name,
                                   const PeakStatistics &Value) {
  const size_t Accepted = Value.Offered - Value.Refused;
  const auto Share = [](size_t Part, size_t All) {
    return decimal(100.0 * static_cast<double>(Part) /
                       static_cast<double>(std::max<size_t>(All, 1)),
                   1);
  };
  return {std::to_string(Slots),
          Name,
          std::to_string(Value.Offered),
          Share(Value.Refused, Value.Offered),
          decimal(100 * Value.Goodput, 1),
          Share(Value.MetDeadline, Accepted),
          milliseconds(percentile(Value.Latencies, 0.5)),
          milliseconds(percentile(Value.Latencies, 0.99)),
          milliseconds(percentile(Value.Latencies, 1))};
}

// Returns the answers by their deadline as a share of capacity, per second.
Line goodputLine(const std::string &Name, const std::vector<Job> &Jobs,
                 double Capacity) {
  std::vector<double> Counts(static_cast<size_t>(RunLength / 1s), 0.0);
  for (const Job &Item : Jobs) {
    const auto Second =
        static_cast<size_t>((Item.Ended - Jobs.front().Arrived) / 1s);
    if (Item.metDeadline() && Second < Counts.size())
      Counts[Second] += 1 / Capacity;
  }
  Line Result{Name, {}};
  for (size_t Second = 0; Second < Counts.size(); ++Second)
    Result.Points.emplace_back(Second, Counts[Second]);
  return Result;
}

} // namespace

BenchmarkResult measureSurge(const BenchmarkOptions &Options) {
  BenchmarkResult Result;
  Result.Tables = {
      {"Service at the peak of a surge (3 times capacity for 10 s)",
       {"slots", "policy", "offered", "refused %", "goodput % of capacity",
        "in time % of accepted", "p50 ms", "p99 ms", "max ms"},
       {}}};
  Result.Figure = {"surge.svg",
                   "Answers in time over capacity, 2 slots",
                   "seconds",
                   "share of capacity",
                   {}};
  for (const uint16_t Slots : {2, 3})
    for (const Variant &Entry : variants()) {
      const SimulationOptions Setup = makeOptions(Entry, Slots, Options.Seed);
      const std::vector<Job> Jobs = PolicySimulation(Setup).run();
      const double Capacity = requestsPerSecondAtCapacity(Setup);
      Result.Tables[0].Rows.push_back(
          formatRow(Slots, Entry.Name, computeStatistics(Jobs, Capacity)));
      if (Slots == 2)
        Result.Figure.Lines.push_back(goodputLine(Entry.Name, Jobs, Capacity));
    }
  return Result;
}

} // namespace burdockstream::bench
