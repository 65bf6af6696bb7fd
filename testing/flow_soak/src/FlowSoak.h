// A randomized soak of flow services: the real daemon as separate processes on
// loopback, faults injected from outside, and the promises checked from what
// clients and targets see.
#ifndef BURDOCKSTREAM_FLOWSOAK_FLOWSOAK_H
#define BURDOCKSTREAM_FLOWSOAK_FLOWSOAK_H

#include "SoakParts.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace burdockstream::flowsoak {

struct SoakOptions {
  uint64_t Seed = 1;
  std::chrono::milliseconds FaultTime{8'000};
  std::string LogFolder; // receives settings, logs and standard errors
  size_t Balancers = 3;
  size_t Agents = 5; // two of five are of the second service
  // File name of another build of the daemon beside the own one. If set, each
  // process but the first balancer is of either build at each start.
  std::string OtherProgram = {};
};

struct SoakReport {
  Violations Found;
  uint64_t Answers = 0;
  std::vector<std::string> Faults; // time and kind of each
  size_t Unserved = 0; // flows without an answer after the faults have ended
};

// Runs one seed. Thread safety: loop thread only.
SoakReport runSoak(const SoakOptions &Options);

} // namespace burdockstream::flowsoak

#endif
