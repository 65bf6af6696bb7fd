// The data paths of flow services, as the daemons' shells run them: decode, the
// core's decision, frame, one socket on each side.
#ifndef BURDOCKSTREAM_BENCH_DATAPATH_FLOWPATH_H
#define BURDOCKSTREAM_BENCH_DATAPATH_FLOWPATH_H

#include "MeasuredPath.h"

namespace burdockstream::datapath {

struct FlowLoad {
  size_t Flows = 0; // open at the start; the datagrams visit them in turn
  uint64_t Datagrams = 0;
  size_t PayloadBytes = 0;
  uint64_t DatagramsPerNewFlow = 0; // so often a new flow replaces an old one
};

// A balancer before five agents for each of Services: all flows are opened
// first, which is not measured. Precondition: Services is not 0. Thread safety:
// one thread.
PathFigures measureFlowBalancer(const FlowLoad &Load, size_t Services);

// An agent, whose target answers each packet with one of the same size. It has
// the flows of one target, of which a balancer's table holds many. Thread
// safety: one thread.
PathFigures measureFlowAgent(const FlowLoad &Load);

} // namespace burdockstream::datapath

#endif
