#include "burdockstream/base/Metrics.h"

#include <algorithm>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <cmath>
#include <glog/logging.h>

namespace burdockstream::base {

namespace {

namespace acc = boost::accumulators;

constexpr std::array<double, 2> Probabilities = {0.50, 0.99};
// The P-square algorithm needs 2n + 3 samples before its markers mean anything.
constexpr size_t FirstSamples = 2 * Probabilities.size() + 2;

using Accumulator =
    acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::mean,
                                            acc::tag::extended_p_square>>;

bool isMetricName(std::string_view Name) {
  const auto Allowed = [](char C) {
    return (C >= 'a' && C <= 'z') || (C >= '0' && C <= '9') || C == '_';
  };
  return !Name.empty() && !(Name[0] >= '0' && Name[0] <= '9') &&
         std::all_of(Name.begin(), Name.end(), Allowed);
}

// Returns the nearest-rank quantile of the sorted range.
double exactQuantile(const double *Sorted, size_t Count, double Probability) {
  const auto Rank = static_cast<size_t>(
      std::max(0.0, std::ceil(Probability * static_cast<double>(Count)) - 1));
  return Sorted[std::min(Rank, Count - 1)];
}

} // namespace

struct Histogram::State {
  Accumulator Estimates{acc::tag::extended_p_square::probabilities =
                            Probabilities};
  std::array<double, FirstSamples> First{};
  std::array<uint64_t, HistogramBounds.size() + 1> Counts{};
  int64_t Sum = 0;
};

Histogram::Histogram() : Data(std::make_unique<State>()) {}
Histogram::~Histogram() = default;

void Histogram::add(Duration Sample) {
  const int64_t Value = std::max<int64_t>(Sample.count(), 0);
  const size_t Index = acc::count(Data->Estimates);
  if (Index < FirstSamples)
    Data->First[Index] = static_cast<double>(Value);
  Data->Estimates(static_cast<double>(Value));
  Data->Sum += Value;
  const auto *Bound =
      std::lower_bound(HistogramBounds.begin(), HistogramBounds.end(), Value);
  ++Data->Counts[static_cast<size_t>(Bound - HistogramBounds.begin())];
}

HistogramValues Histogram::values() const {
  HistogramValues Values;
  Values.Counts = Data->Counts;
  Values.Count = acc::count(Data->Estimates);
  Values.SumMicroseconds = Data->Sum;
  if (Values.Count == 0)
    return Values;
  Values.MeanMicroseconds = acc::mean(Data->Estimates);
  if (Values.Count <= FirstSamples) {
    auto Sorted = Data->First;
    std::sort(Sorted.begin(), Sorted.begin() + Values.Count);
    Values.P50Microseconds =
        exactQuantile(Sorted.data(), Values.Count, Probabilities[0]);
    Values.P99Microseconds =
        exactQuantile(Sorted.data(), Values.Count, Probabilities[1]);
    return Values;
  }
  const auto Markers = acc::extended_p_square(Data->Estimates);
  Values.P50Microseconds = Markers[0];
  Values.P99Microseconds = Markers[1];
  return Values;
}

template <typename MetricT>
MetricT &Metrics::lookUp(Families<MetricT> &In, std::string_view Name,
                         const Labels &Tags) {
  CHECK(isMetricName(Name)) << "metric name '" << Name << "'";
  for (const auto &[Label, Value] : Tags)
    CHECK(isMetricName(Label)) << "label '" << Label << "' of " << Name;
  auto Found = In.find(Name);
  if (Found == In.end()) {
    CHECK(!Counters.contains(Name) && !Gauges.contains(Name) &&
          !Histograms.contains(Name))
        << "metric '" << Name << "' has two kinds";
    Found = In.try_emplace(std::string(Name)).first;
  }
  std::unique_ptr<MetricT> &Slot = Found->second[Tags];
  if (!Slot)
    Slot = std::make_unique<MetricT>();
  return *Slot;
}

Counter &Metrics::counter(std::string_view Name, const Labels &Tags) {
  return lookUp(Counters, Name, Tags);
}

Gauge &Metrics::gauge(std::string_view Name, const Labels &Tags) {
  return lookUp(Gauges, Name, Tags);
}

Histogram &Metrics::histogram(std::string_view Name, const Labels &Tags) {
  return lookUp(Histograms, Name, Tags);
}

MetricsSnapshot Metrics::snapshot() const {
  MetricsSnapshot Snapshot;
  for (const auto &[Name, Series] : Counters)
    for (const auto &[Tags, Metric] : Series)
      Snapshot.Counters.push_back({Name, Tags, Metric->value()});
  for (const auto &[Name, Series] : Gauges)
    for (const auto &[Tags, Metric] : Series)
      Snapshot.Gauges.push_back({Name, Tags, Metric->value()});
  for (const auto &[Name, Series] : Histograms)
    for (const auto &[Tags, Metric] : Series)
      Snapshot.Histograms.push_back({Name, Tags, Metric->values()});
  return Snapshot;
}

} // namespace burdockstream::base
