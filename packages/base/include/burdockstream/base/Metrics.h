// A registry of named counters, gauges and latency histograms. Updates go
// through a handle that is looked up once; snapshots are plain data.
#ifndef BURDOCKSTREAM_BASE_METRICS_H
#define BURDOCKSTREAM_BASE_METRICS_H

#include "burdockstream/base/Time.h"

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace burdockstream::base {

// Label names and values, such as {{"service", "shopdesk"}, {"class",
// "short"}}.
using Labels = std::map<std::string, std::string>;

// A count that only rises. Thread safety: one thread at a time.
class Counter {
public:
  void add(uint64_t Count = 1) { Total += Count; }
  uint64_t value() const { return Total; }

private:
  uint64_t Total = 0;
};

// A value that rises and falls. Thread safety: one thread at a time.
class Gauge {
public:
  void set(int64_t Value) { Current = Value; }
  void add(int64_t Difference) { Current += Difference; }
  int64_t value() const { return Current; }

private:
  int64_t Current = 0;
};

// Upper bounds of the histogram buckets in microseconds, each included in its
// bucket. They span one local hop (100 us) to the longest deadline (120 s).
inline constexpr std::array<int64_t, 20> HistogramBounds = {
    100,        250,        500,        1'000,       2'500,
    5'000,      10'000,     25'000,     50'000,      100'000,
    250'000,    500'000,    1'000'000,  2'500'000,   5'000'000,
    10'000'000, 25'000'000, 50'000'000, 100'000'000, 120'000'000};

struct HistogramValues {
  // One per bound, then one for everything above the last bound.
  std::array<uint64_t, HistogramBounds.size() + 1> Counts{};
  uint64_t Count = 0;
  int64_t SumMicroseconds = 0;
  double MeanMicroseconds = 0;
  double P50Microseconds = 0; // estimates; exact for up to 6 samples
  double P99Microseconds = 0;
};

// A distribution of latencies. Adding a sample allocates nothing. Thread
// safety: one thread at a time.
class Histogram {
public:
  Histogram();
  ~Histogram();
  Histogram(const Histogram &) = delete;
  Histogram &operator=(const Histogram &) = delete;

  // Adds one sample; a negative one counts as zero.
  void add(Duration Sample);

  HistogramValues values() const;

private:
  struct State;
  std::unique_ptr<State> Data;
};

template <typename ValueT> struct Sample {
  std::string Name;
  Labels Tags;
  ValueT Value;
};

// All values at one moment, ordered by name and labels.
struct MetricsSnapshot {
  std::vector<Sample<uint64_t>> Counters;
  std::vector<Sample<int64_t>> Gauges;
  std::vector<Sample<HistogramValues>> Histograms;
};

// Owns the metrics of one process. Returned references stay valid as long as
// the registry. Thread safety: loop thread only.
class Metrics {
public:
  // Return the metric with this name and these labels, created on first use.
  // Precondition: names match [a-z_][a-z0-9_]*, and one name is used for one
  // kind of metric only. The names are written in the program, so a violation
  // is a bug and ends the process.
  Counter &counter(std::string_view Name, const Labels &Tags = {});
  Gauge &gauge(std::string_view Name, const Labels &Tags = {});
  Histogram &histogram(std::string_view Name, const Labels &Tags = {});

  MetricsSnapshot snapshot() const;

private:
  template <typename MetricT>
  using Family = std::map<Labels, std::unique_ptr<MetricT>>;
  template <typename MetricT>
  using Families = std::map<std::string, Family<MetricT>, std::less<>>;

  template <typename MetricT>
  MetricT &lookUp(Families<MetricT> &In, std::string_view Name,
                  const Labels &Tags);

  Families<Counter> Counters;
  Families<Gauge> Gauges;
  Families<Histogram> Histograms;
};

// Formats a snapshot as one JSON object. Thread safety: any thread.
std::string toJson(const MetricsSnapshot &Snapshot);

// Formats a snapshot in the Prometheus text exposition format 0.0.4, with every
// name prefixed by "burdockstream_" and latencies in seconds. Thread safety:
// any thread.
std::string toPrometheus(const MetricsSnapshot &Snapshot);

} // namespace burdockstream::base

#endif
