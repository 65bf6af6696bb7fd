// Measures the costs of bucket tables and of gossip at a given size. Table
// costs are CPU times and sizes on this machine; gossip costs come from a
// simulation in virtual time and are the same on every machine.
#ifndef BURDOCKSTREAM_BENCH_ROUTINGSLOPES_H
#define BURDOCKSTREAM_BENCH_ROUTINGSLOPES_H

#include <cstddef>
#include <cstdint>

namespace burdockstream::bench {

struct TableCosts {
  size_t Endpoints = 0;
  uint16_t Buckets = 0;
  double BuildMicroseconds = 0; // mean CPU time of building the table
  double RouteNanoseconds = 0;  // mean CPU time of Router::route
  size_t TableBytes = 0;        // heap memory of one service's table
};

// Measures a service with Endpoints endpoints of equal weight. Preconditions:
// neither argument is zero. Thread safety: any thread.
TableCosts measureTable(size_t Endpoints, uint16_t Buckets);

struct GossipCosts {
  size_t Balancers = 0;
  double Loss = 0;
  double ConvergenceMilliseconds = 0; // of a drain announcement; worst trial
  double IdleBytesPerSecond = 0;      // sent by one balancer, without agents
  double BytesPerChange = 0;          // mean sent by one balancer
};

// Simulates Balancers balancers with one agent. Loss is the fraction of
// messages lost while convergence is measured; none are lost while bytes are
// counted. Takes about 20 s for 2,000 balancers. Thread safety: any thread.
GossipCosts measureGossip(size_t Balancers, double Loss, int Trials,
                          uint64_t Seed);

} // namespace burdockstream::bench

#endif
