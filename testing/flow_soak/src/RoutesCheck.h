// Checks from the reports of balancers that they apply the newest configuration
// and never return to an older one.
#ifndef BURDOCKSTREAM_FLOWSOAK_ROUTESCHECK_H
#define BURDOCKSTREAM_FLOWSOAK_ROUTESCHECK_H

#include "SoakParts.h"

namespace burdockstream::flowsoak {

// Thread safety, for all methods: loop thread only.
class RoutesCheck {
public:
  // InitFound must outlive the object.
  RoutesCheck(size_t Balancers, Violations &InitFound)
      : Processes(Balancers), Found(InitFound) {}

  // A new process runs as this balancer; it may start from older routes.
  void onStart(size_t Balancer) {
    Processes[Balancer] = {0, Processes[Balancer].Number + 1};
  }

  // Requests the reports of all balancers.
  void poll();

  // Records a violation for each balancer whose last report names another
  // version.
  void expectVersion(uint64_t Version);

private:
  struct BalancerProcess {
    uint64_t Version = 0; // of its last report
    uint64_t Number = 0;  // of the process
  };
  void onReport(size_t Balancer, uint64_t Number, const std::string &Body);

  std::vector<BalancerProcess> Processes;
  Violations &Found;
  http::HttpClient Client;
};

} // namespace burdockstream::flowsoak

#endif
