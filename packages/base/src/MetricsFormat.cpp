#include "burdockstream/base/JsonText.h"
#include "burdockstream/base/Metrics.h"

#include <cstdio>

namespace burdockstream::base {

namespace {

constexpr std::string_view Prefix = "burdockstream_";
constexpr double MicrosecondsPerSecond = 1e6;

Json::Value tagsToJson(const Labels &Tags) {
  Json::Value Object(Json::objectValue);
  for (const auto &[Name, Value] : Tags)
    Object[Name] = Value;
  return Object;
}

template <typename ValueT> Json::Value entryOf(const Sample<ValueT> &Metric) {
  Json::Value Entry(Json::objectValue);
  Entry["name"] = Metric.Name;
  Entry["labels"] = tagsToJson(Metric.Tags);
  return Entry;
}

Json::Value histogramToJson(const Sample<HistogramValues> &Metric) {
  const HistogramValues &Values = Metric.Value;
  Json::Value Entry = entryOf(Metric);
  Entry["count"] = Json::UInt64{Values.Count};
  Entry["sum_us"] = Json::Int64{Values.SumMicroseconds};
  Entry["mean_us"] = Values.MeanMicroseconds;
  Entry["p50_us"] = Values.P50Microseconds;
  Entry["p99_us"] = Values.P99Microseconds;
  Json::Value Buckets(Json::arrayValue);
  for (size_t I = 0; I < Values.Counts.size(); ++I) {
    if (Values.Counts[I] == 0)
      continue;
    Json::Value Bucket(Json::objectValue);
    if (I < HistogramBounds.size())
      Bucket["le_us"] = Json::Int64{HistogramBounds[I]};
    Bucket["count"] = Json::UInt64{Values.Counts[I]};
    Buckets.append(Bucket);
  }
  Entry["buckets"] = Buckets;
  return Entry;
}

std::string seconds(double Microseconds) {
  std::array<char, 40> Text{};
  std::snprintf(Text.data(), Text.size(), "%.9g",
                Microseconds / MicrosecondsPerSecond);
  return Text.data();
}

// Escapes a label value as the exposition format demands.
std::string escape(const std::string &Value) {
  std::string Text;
  for (const char C : Value) {
    if (C == '\\' || C == '"')
      Text += '\\';
    if (C == '\n')
      Text += "\\n";
    else
      Text += C;
  }
  return Text;
}

std::string tagsToText(const Labels &Tags, const std::string &Bound = "") {
  std::string Text;
  for (const auto &[Name, Value] : Tags)
    Text += (Text.empty() ? "" : ",") + Name + "=\"" + escape(Value) + "\"";
  if (!Bound.empty())
    Text += (Text.empty() ? "" : ",") + ("le=\"" + Bound + "\"");
  return Text.empty() ? "" : "{" + Text + "}";
}

// Writes one family header whenever the name changes.
class PrometheusWriter {
public:
  void line(const std::string &Name, const std::string &Tags,
            const std::string &Value) {
    Text += std::string(Prefix) + Name + Tags + " " + Value + "\n";
  }

  void header(const std::string &Name, std::string_view Kind) {
    if (Name == Last)
      return;
    Last = Name;
    Text +=
        "# TYPE " + std::string(Prefix) + Name + " " + std::string(Kind) + "\n";
  }

  void histogram(const Sample<HistogramValues> &Metric) {
    const std::string Name = Metric.Name + "_seconds";
    header(Name, "histogram");
    uint64_t Cumulative = 0;
    for (size_t I = 0; I < Metric.Value.Counts.size(); ++I) {
      Cumulative += Metric.Value.Counts[I];
      const std::string Bound =
          I < HistogramBounds.size()
              ? seconds(static_cast<double>(HistogramBounds[I]))
              : "+Inf";
      line(Name + "_bucket", tagsToText(Metric.Tags, Bound),
           std::to_string(Cumulative));
    }
    const std::string Tags = tagsToText(Metric.Tags);
    line(Name + "_sum", Tags,
         seconds(static_cast<double>(Metric.Value.SumMicroseconds)));
    line(Name + "_count", Tags, std::to_string(Metric.Value.Count));
  }

  std::string take() { return std::move(Text); }

private:
  std::string Text;
  std::string Last;
};

} // namespace

std::string toJson(const MetricsSnapshot &Snapshot) {
  Json::Value Root(Json::objectValue);
  Root["counters"] = Json::arrayValue;
  Root["gauges"] = Json::arrayValue;
  Root["histograms"] = Json::arrayValue;
  for (const auto &Metric : Snapshot.Counters) {
    Json::Value Entry = entryOf(Metric);
    Entry["value"] = Json::UInt64{Metric.Value};
    Root["counters"].append(Entry);
  }
  for (const auto &Metric : Snapshot.Gauges) {
    Json::Value Entry = entryOf(Metric);
    Entry["value"] = Json::Int64{Metric.Value};
    Root["gauges"].append(Entry);
  }
  for (const auto &Metric : Snapshot.Histograms)
    Root["histograms"].append(histogramToJson(Metric));
  return compactJson(Root);
}

std::string toPrometheus(const MetricsSnapshot &Snapshot) {
  PrometheusWriter Writer;
  for (const auto &Metric : Snapshot.Counters) {
    Writer.header(Metric.Name + "_total", "counter");
    Writer.line(Metric.Name + "_total", tagsToText(Metric.Tags),
                std::to_string(Metric.Value));
  }
  for (const auto &Metric : Snapshot.Gauges) {
    Writer.header(Metric.Name, "gauge");
    Writer.line(Metric.Name, tagsToText(Metric.Tags),
                std::to_string(Metric.Value));
  }
  for (const auto &Metric : Snapshot.Histograms)
    Writer.histogram(Metric);
  return Writer.take();
}

} // namespace burdockstream::base
