// Benchmark results and their output as text tables, JSON and SVG line plots.
#ifndef BURDOCKSTREAM_BENCH_POLICY_REPORT_H
#define BURDOCKSTREAM_BENCH_POLICY_REPORT_H

#include <string>
#include <utility>
#include <vector>

namespace burdockstream::bench {

// Invariant: each row has as many cells as there are columns. Cells hold
// formatted text.
struct Table {
  std::string Name;
  std::vector<std::string> Columns;
  std::vector<std::vector<std::string>> Rows;
};

struct Line {
  std::string Name;
  std::vector<std::pair<double, double>> Points;
};

struct Plot {
  std::string FileName;
  std::string Title;
  std::string XLabel;
  std::string YLabel;
  std::vector<Line> Lines;
};

struct BenchmarkResult {
  std::vector<Table> Tables;
  Plot Figure;
};

// Formats Value with the given number of decimals. Thread safety: any thread,
// as for all functions below.
std::string decimal(double Value, int Digits);

// Formats a Markdown table below its name.
std::string toText(const Table &Value);
// Formats an array with one object per table.
std::string toJson(const std::vector<Table> &Values);
// Draws a line plot whose axes start at zero.
std::string toSvg(const Plot &Value);

} // namespace burdockstream::bench

#endif
