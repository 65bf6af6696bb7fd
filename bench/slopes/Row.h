// A cost measured at several sizes, and the measurements that the slopes
// program runs.
#ifndef BURDOCKSTREAM_BENCH_SLOPES_ROW_H
#define BURDOCKSTREAM_BENCH_SLOPES_ROW_H

#include <string>
#include <utility>
#include <vector>

namespace burdockstream::bench {

struct Row {
  std::string Name;
  std::string Unit;
  std::string SizeUnit; // what the sizes of the points count
  std::vector<std::pair<double, double>> Points; // size, value

  // Returns the slope of the least-squares line, that is the growth of the
  // value per unit of size; zero for fewer than two distinct sizes. Thread
  // safety: any thread.
  double slope() const;
};

using Rows = std::vector<Row>;

// Each function measures one subject and appends its rows. Thread safety, for
// all: the program must have one thread, because allocations are counted.

// Simulates up to Largest balancers.
void addGossipRows(size_t Largest, Rows &Out);
void addTableRows(Rows &Out);
void addBalancerRows(Rows &Out);
void addMessageRows(Rows &Out);
void addOwnershipRows(Rows &Out);
void addRequestRows(Rows &Out);
// Appends the number of store calls per event, which is taken from the code
// and not measured.
void addStoreRows(Rows &Out);
// Measures the growth of the resident memory of the process. Precondition: no
// other measurement has run, because its allocations are part of that memory.
void addSocketRows(Rows &Out);

// Print the rows to the standard output, as text or as one JSON object per
// line. Thread safety: any thread.
void printTable(const Rows &All);
void printJson(const Rows &All);

} // namespace burdockstream::bench

#endif
