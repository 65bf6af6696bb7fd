// Demonstration: starts both deployments at their current sizes on loopback
// addresses, with one process per component, sends requests of all kinds and
// prints a table of the results.
#include "Cluster.h"
#include "Report.h"

#include <cstdio>
#include <cstdlib>
#include <gflags/gflags.h>
#include <glog/logging.h>
#include <memory>
#include <sodium.h>

DEFINE_uint32(run_seconds, 20, "time for which callers send requests");
DEFINE_uint32(callers, 50, "callers of each service");
DEFINE_double(rate, 50, "requests per second of each service");
DEFINE_uint32(balancers, 3, "balancers of each deployment");

namespace {

using namespace burdockstream::e2e;

constexpr std::chrono::seconds StartTimeout{60};
constexpr int Updates = 5;

void printHeader() {
  std::printf("%-12s %-13s %-8s %8s %8s %8s %8s %10s %10s\n", "deployment",
              "service", "kind", "correct", "not-run", "unknown", "other",
              "p50 ms", "p99 ms");
}

void printKinds(const std::string &Deployment, const std::string &Service,
                const Json::Value &Report) {
  for (const std::string &Kind : Report["kinds"].getMemberNames()) {
    const Json::Value &Row = Report["kinds"][Kind];
    uint64_t Other = 0;
    for (const std::string &Name : Row.getMemberNames())
      if (Name != "correct" && Name != "not_run" && Name != "unknown" &&
          Name != "latency_us")
        Other += Row[Name].asUInt64();
    std::printf("%-12s %-13s %-8s %8u %8u %8u %8lu %10.1f %10.1f\n",
                Deployment.c_str(), Service.c_str(), Kind.c_str(),
                Row.get("correct", 0).asUInt(), Row.get("not_run", 0).asUInt(),
                Row.get("unknown", 0).asUInt(),
                static_cast<unsigned long>(Other),
                Row["latency_us"]["p50"].asDouble() / 1000,
                Row["latency_us"]["p99"].asDouble() / 1000);
  }
}

// Prints the results of one service. Returns whether every request got the
// correct response.
bool printService(Cluster &Current, const Service &Svc) {
  const Json::Value Report = Current.callerReport(Svc);
  printKinds(Current.deployment().Name, Svc.Name, Report);
  const uint64_t Sent = Report["sent"].asUInt64();
  const uint64_t Correct = countOutcomes(Report, "correct");
  std::printf(
      "%-12s %-13s board    %8lu updates, %lu lost, %lu duplicate, %lu "
      "out of order\n",
      Current.deployment().Name.c_str(), Svc.Name.c_str(),
      static_cast<unsigned long>(sumBoardCounter(Report, "updates")),
      static_cast<unsigned long>(sumBoardCounter(Report, "lost")),
      static_cast<unsigned long>(sumBoardCounter(Report, "duplicates")),
      static_cast<unsigned long>(sumBoardCounter(Report, "out_of_order")));
  return Sent > 0 && Correct == Sent && Report["wrong_answers"].empty();
}

} // namespace

int main(int argc, char **argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(argv[0]);
  CHECK_GE(sodium_init(), 0);
  Cluster First(bcInterior(), FLAGS_balancers);
  Cluster Second(mittelland(), FLAGS_balancers);
  CallerOptions Options;
  Options.Callers = FLAGS_callers;
  Options.RequestsPerSecond = FLAGS_rate;
  Options.RunSeconds = FLAGS_run_seconds;
  for (Cluster *Current : {&First, &Second}) {
    std::printf(
        "starting %s: %u balancers, %zu agents and endpoints, store, fabric\n",
        Current->deployment().Name.c_str(), FLAGS_balancers,
        Current->endpoints().size());
    if (!Current->start(StartTimeout)) {
      LOG(ERROR) << "deployment not ready in time: records not written or "
                    "buckets without an owner; logs are in "
                 << Current->folder();
      return EXIT_FAILURE;
    }
    for (const Service &Svc : Current->deployment().Services)
      Current->startCallers(Svc, Options);
  }
  for (int Update = 0; Update < Updates; ++Update) {
    runLoopFor(std::chrono::seconds(2));
    for (Cluster *Current : {&First, &Second})
      for (const Service &Svc : Current->deployment().Services)
        Current->publish(Svc, "/board/1", 1);
  }
  bool AllCorrect = true;
  printHeader();
  for (Cluster *Current : {&First, &Second})
    for (const Service &Svc : Current->deployment().Services)
      AllCorrect = printService(*Current, Svc) && AllCorrect;
  std::printf("%s\n",
              AllCorrect
                  ? "every response matched the expected one byte by byte"
                  : "some requests got no response or a wrong one");
  return AllCorrect ? EXIT_SUCCESS : EXIT_FAILURE;
}
