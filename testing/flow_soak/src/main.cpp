// flow_soak: runs seeds one after another and prints a line for each.
#include "FlowSoak.h"
#include "burdockstream/base/ProgramFlags.h"

#include <cstdlib>
#include <iostream>

DEFINE_uint64(seed, 1, "the first seed");
DEFINE_uint64(seeds, 1, "how many seeds to run");
DEFINE_int32(fault_ms, 8000, "how long faults are injected for each seed");
DEFINE_uint64(balancers, 3, "number of balancers, at most 254");
DEFINE_uint64(agents, 5, "number of agents, at most 254");
DEFINE_string(other_program, "",
              "file name of another build of the daemon, beside this program; "
              "processes are of either build");
DEFINE_string(logs, "/tmp", "folder for settings and standard errors");

int main(int argc, char **argv) {
  burdockstream::base::parseProgramFlags(
      "Usage: flow_soak [--seed=N] [--seeds=N] [--fault_ms=N]\n"
      "Soaks flow services with faults from outside.",
      __FILE__, &argc, &argv);
  bool Clean = true;
  for (uint64_t Seed = FLAGS_seed; Seed < FLAGS_seed + FLAGS_seeds; ++Seed) {
    const auto Report = burdockstream::flowsoak::runSoak(
        {Seed, std::chrono::milliseconds(FLAGS_fault_ms), FLAGS_logs,
         FLAGS_balancers, FLAGS_agents, FLAGS_other_program});
    Clean = Clean && Report.Found.empty() && Report.Unserved == 0;
    std::cout << "seed " << Seed << ": " << Report.Answers << " answers, "
              << Report.Faults.size() << " faults, " << Report.Found.size()
              << " violations, " << Report.Unserved << " flows unserved"
              << std::endl; // a crash must not lose the lines before it
    for (const std::string &Each : Report.Found)
      std::cout << "  " << Each << "\n";
    for (size_t I = 0; I < Report.Faults.size() && !Report.Found.empty(); ++I)
      std::cout << "  fault " << Report.Faults[I] << "\n";
  }
  return Clean ? EXIT_SUCCESS : EXIT_FAILURE;
}
