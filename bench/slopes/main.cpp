// Measures how the costs of burdockstream grow with the size of a deployment
// and prints a table or JSON lines. Gossip rows come from a simulation in
// virtual time and are the same on every machine, except for "us CPU"; times in
// that unit are thread CPU time.
#include "Row.h"

#include <cstdio>
#include <gflags/gflags.h>

DEFINE_bool(json, false, "Print one JSON object per row");
DEFINE_bool(gossip, true, "Run the gossip rows, which take longest");
DEFINE_uint32(largest, 300, "Balancers in the largest gossip run, up to 2000");

int main(int Argc, char **Argv) {
  namespace bench = burdockstream::bench;
  gflags::SetUsageMessage("Measures how costs grow with the system's size");
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  bench::Rows All;
  bench::addSocketRows(All);
  bench::addTableRows(All);
  bench::addBalancerRows(All);
  bench::addMessageRows(All);
  bench::addOwnershipRows(All);
  bench::addRequestRows(All);
  bench::addStoreRows(All);
  if (FLAGS_gossip)
    bench::addGossipRows(FLAGS_largest, All);
  if (FLAGS_json)
    bench::printJson(All);
  else
    bench::printTable(All);
  return 0;
}
