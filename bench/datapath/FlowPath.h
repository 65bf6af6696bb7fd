// Benchmarks of the data paths of flow services. Each path does what the daemon
// does per packet: it decodes the packet, lets the core decide, and frames and
// sends the result, with one socket on each side.
#ifndef BURDOCKSTREAM_BENCH_DATAPATH_FLOWPATH_H
#define BURDOCKSTREAM_BENCH_DATAPATH_FLOWPATH_H

#include "MeasuredPath.h"

namespace burdockstream::datapath {

struct FlowLoad {
  size_t Flows = 0; // open at the start; datagrams use them in turn
  uint64_t Datagrams = 0;
  size_t PayloadBytes = 0;
  // Number of datagrams after which a new flow replaces an old one.
  uint64_t DatagramsPerNewFlow = 0;
};

// Measures a balancer with five agents for each of Services services. Opening
// the initial flows is not measured. Precondition: Services is not zero. Thread
// safety: the program must have one thread.
PathResult measureFlowBalancer(const FlowLoad &Load, size_t Services);

// Measures an agent whose target answers each packet with one of the same size.
// It has the flows of one target only and ignores Load.Flows, because a
// balancer's table holds the flows of many targets. Thread safety: the program
// must have one thread.
PathResult measureFlowAgent(const FlowLoad &Load);

} // namespace burdockstream::datapath

#endif
