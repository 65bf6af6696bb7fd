// Runs the benchmarks of docs/design.md, section 2.2, in virtual time and
// prints their results.
#include "PolicyBenchmarks.h"

#include <cstdio>
#include <fstream>
#include <gflags/gflags.h>
#include <glog/logging.h>

DEFINE_uint64(seed, 20261204, "Seed of every random draw");
DEFINE_uint32(seconds, 300, "Virtual length of each run of short_wait");
DEFINE_string(measure, "all", "all, balance, surge or short_wait");
DEFINE_bool(json, false, "Print JSON instead of tables");
DEFINE_string(plots, "", "Existing folder for the SVG plots; empty: no plots");

namespace bench = burdockstream::bench;

namespace {

bool writePlot(const bench::Plot &Figure) {
  std::ofstream File(FLAGS_plots + "/" + Figure.FileName);
  File << bench::toSvg(Figure);
  return static_cast<bool>(File.flush());
}

bool report(const std::vector<bench::BenchmarkResult> &Results) {
  std::vector<bench::Table> Tables;
  for (const bench::BenchmarkResult &Entry : Results) {
    Tables.insert(Tables.end(), Entry.Tables.begin(), Entry.Tables.end());
    if (!FLAGS_plots.empty() && !writePlot(Entry.Figure)) {
      std::fprintf(stderr, "cannot write plot %s/%s\n", FLAGS_plots.c_str(),
                   Entry.Figure.FileName.c_str());
      return false;
    }
  }
  if (FLAGS_json) {
    std::fputs(bench::toJson(Tables).c_str(), stdout);
    return true;
  }
  for (const bench::Table &Entry : Tables)
    std::fputs(bench::toText(Entry).c_str(), stdout);
  return true;
}

} // namespace

int main(int Argc, char **Argv) {
  gflags::SetUsageMessage("Benchmarks the scheduling and placement policies in "
                          "virtual time");
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  google::InitGoogleLogging(Argv[0]);
  const bench::BenchmarkOptions Options{FLAGS_seed,
                                        std::chrono::seconds(FLAGS_seconds)};
  const bool All = FLAGS_measure == "all";
  std::vector<bench::BenchmarkResult> Results;
  if (All || FLAGS_measure == "balance")
    Results.push_back(bench::measureBalance(Options));
  if (All || FLAGS_measure == "surge")
    Results.push_back(bench::measureSurge(Options));
  if (All || FLAGS_measure == "short_wait")
    Results.push_back(bench::measureShortWait(Options));
  if (Results.empty()) {
    std::fprintf(stderr,
                 "unknown --measure '%s'; expected all, balance, surge or "
                 "short_wait\n",
                 FLAGS_measure.c_str());
    return 2;
  }
  return report(Results) ? 0 : 1;
}
