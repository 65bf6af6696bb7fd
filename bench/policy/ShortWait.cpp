#include "PolicyBenchmarks.h"
#include "PolicySimulation.h"

#include <algorithm>

namespace burdockstream::bench {

using namespace std::chrono_literals;
using records::WorkClass;

namespace {

struct Variant {
  std::string Name;
  requests::SchedulingPolicy Policy;
  MoveRule Moves = MoveRule::Never;
  uint8_t Attempts = 1;
};

struct WaitStatistics {
  // The wait of each request until its start, or until its deadline if it never
  // started.
  std::vector<base::Duration> Short;
  std::vector<base::Duration> Long;
  // Total run time in microseconds of the long requests answered in the window.
  double LongThroughput = 0;
  size_t Unanswered = 0;
};

std::vector<Variant> variants() {
  return {{"fifo", requests::makeFifoPolicy()},
          {"fifo, short moves", requests::makeFifoPolicy(), MoveRule::Short},
          {"short first, reserve 1/3", requests::makeShortFirstPolicy(0.34)},
          {"short first, reserve 1/2", requests::makeShortFirstPolicy(0.5)},
          {"short first, reserve 2/3", requests::makeShortFirstPolicy(0.67)},
          {"deadline, reserve 1/2, aging 2 s",
           requests::makeDeadlinePolicy(0.5, 2000ms)},
          {"deadline, reserve 1/2, all moves",
           requests::makeDeadlinePolicy(0.5, 2000ms), MoveRule::All},
          {"borrow after 0.5 s", requests::makeBorrowPolicy(0.5, 500ms, 20s)},
          {"borrow after 0.5 s, 4 moves of short",
           requests::makeBorrowPolicy(0.5, 500ms, 20s), MoveRule::Short, 4},
          {"borrow after 2 s, 4 moves of short",
           requests::makeBorrowPolicy(0.5, 2s, 20s), MoveRule::Short, 4},
          {"borrow after 5 s, 1 move of short",
           requests::makeBorrowPolicy(0.5, 5s, 20s), MoveRule::Short, 1},
          {"borrow after 5 s, 4 moves of short",
           requests::makeBorrowPolicy(0.5, 5s, 20s), MoveRule::Short, 4},
          {"borrow after 5 s, 16 moves of short",
           requests::makeBorrowPolicy(0.5, 5s, 20s), MoveRule::Short, 16},
          {"borrow after 5 s, 32 moves of short",
           requests::makeBorrowPolicy(0.5, 5s, 20s), MoveRule::Short, 32},
          {"borrow after 2 s, 32 moves of short",
           requests::makeBorrowPolicy(0.5, 2s, 20s), MoveRule::Short, 32},
          {"borrow after 2 s, 4 moves of all",
           requests::makeBorrowPolicy(0.5, 2s, 20s), MoveRule::All, 4}};
}

// Long requests are 30% of the arrivals and take 80% of the total run time.
Workload mixedWorkload(const SimulationOptions &Setup, double Utilization,
                       base::Duration Length) {
  Workload Load;
  Load.Length = Length;
  Load.LongFraction = 0.3;
  Load.ShortMean = 100ms;
  Load.LongMean = 933ms;
  Load.ShortTimeout = Load.LongTimeout = 110s;
  const double Slots = static_cast<double>(Setup.Agents) * Setup.Slots;
  const double Rate = Utilization * Slots / meanRunSeconds(Load);
  Load.ArrivalRate = [Rate](base::Duration) { return Rate; };
  return Load;
}

// Leaves out the first tenth of the run, because the endpoints start cold.
WaitStatistics computeStatistics(const std::vector<Job> &Jobs,
                                 base::Duration Length) {
  WaitStatistics Result;
  const base::TimePoint First = Jobs.front().Arrived + Length / 10;
  const base::TimePoint Last = Jobs.front().Arrived + Length;
  for (const Job &Item : Jobs) {
    const bool Answered = Item.Result == Outcome::Answered;
    const bool Long = Item.Class == WorkClass::Long;
    if (Answered && Long && Item.Ended >= First && Item.Ended < Last)
      Result.LongThroughput += static_cast<double>(Item.RunTime.count());
    if (Item.Arrived < First)
      continue;
    Result.Unanswered += Answered ? 0 : 1;
    const base::TimePoint Start = Item.Started.value_or(Item.Deadline);
    (Long ? Result.Long : Result.Short).push_back(Start - Item.Arrived);
  }
  return Result;
}

std::string seconds(base::Duration Value) {
  return decimal(static_cast<double>(Value.count()) / 1e6, 3);
}

std::vector<std::string> formatRow(const SimulationOptions &Setup,
                                   double Utilization, const std::string &Name,
                                   const WaitStatistics &Value,
                                   const WaitStatistics &Baseline) {
  const auto P99 = percentile(Value.Short, 0.99);
  const auto BaseP99 = percentile(Baseline.Short, 0.99);
  return {
      std::to_string(Setup.Slots),
      decimal(Utilization * 100, 0),
      Name,
      seconds(percentile(Value.Short, 0.5)),
      seconds(P99),
      seconds(percentile(Value.Short, 1)),
      decimal(static_cast<double>(P99.count()) /
                  static_cast<double>(std::max<int64_t>(BaseP99.count(), 1)),
              3),
      seconds(percentile(Value.Long, 0.99)),
      seconds(percentile(Value.Long, 1)),
      decimal(Value.LongThroughput / Baseline.LongThroughput, 3),
      std::to_string(Value.Unanswered)};
}

Line waitDistribution(const std::string &Name, const WaitStatistics &Value) {
  Line Result{Name, {}};
  for (int Percent = 50; Percent <= 99; ++Percent)
    Result.Points.emplace_back(
        Percent,
        static_cast<double>(percentile(Value.Short, Percent / 100.0).count()) /
            1e6);
  return Result;
}

void addRows(BenchmarkResult &Result, const BenchmarkOptions &Options,
             uint16_t Slots, double Utilization) {
  WaitStatistics Baseline;
  for (const Variant &Entry : variants()) {
    SimulationOptions Setup;
    Setup.Seed = Options.Seed;
    Setup.Slots = Slots;
    Setup.Policy = Entry.Policy;
    Setup.Moves = Entry.Moves;
    Setup.MoveAttempts = Entry.Attempts;
    Setup.Load = mixedWorkload(Setup, Utilization, Options.Length);
    const WaitStatistics Value =
        computeStatistics(PolicySimulation(Setup).run(), Options.Length);
    if (Baseline.Short.empty())
      Baseline = Value;
    Result.Tables[0].Rows.push_back(
        formatRow(Setup, Utilization, Entry.Name, Value, Baseline));
    if (Slots == 2 && Utilization > 0.8)
      Result.Figure.Lines.push_back(waitDistribution(Entry.Name, Value));
  }
}

} // namespace

BenchmarkResult measureShortWait(const BenchmarkOptions &Options) {
  BenchmarkResult Result;
  Result.Tables = {
      {"Waiting of short work behind long work (seconds)",
       {"slots", "load %", "policy", "short p50", "short p99", "short max",
        "p99 / fifo", "long p99", "long max", "long work / fifo", "unanswered"},
       {}}};
  Result.Figure = {"short_wait.svg",
                   "Wait of short work, 2 slots, 90% load",
                   "percentile",
                   "seconds",
                   {}};
  for (const uint16_t Slots : {2, 3})
    for (const double Utilization : {0.7, 0.9})
      addRows(Result, Options, Slots, Utilization);
  return Result;
}

} // namespace burdockstream::bench
