// Checks from the metrics of agents that they count no flow, request or held
// opening packet. Load pattern: once all flows have ended, a count that remains
// makes balancers prefer other targets.
#ifndef BURDOCKSTREAM_FLOWSOAK_COUNTSCHECK_H
#define BURDOCKSTREAM_FLOWSOAK_COUNTSCHECK_H

#include "SoakParts.h"

namespace burdockstream::flowsoak {

// Thread safety, for all methods: loop thread only.
class CountsCheck {
public:
  // InitFound must outlive the object.
  CountsCheck(size_t Agents, Violations &InitFound)
      : Metrics(Agents), Found(InitFound) {}

  // Requests the metrics of all agents. The object must not be destroyed before
  // the answers, or a second later.
  void poll();

  // Records a violation for each agent without metrics, and for each of its
  // gauges of counts that is missing or not 0.
  void expectNone();

private:
  std::vector<std::string> Metrics; // last text of each agent
  Violations &Found;
  http::HttpClient Client;
};

} // namespace burdockstream::flowsoak

#endif
