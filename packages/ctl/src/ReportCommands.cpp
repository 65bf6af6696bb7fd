#include "Commands.h"
#include "ResponseTable.h"
#include "burdockstream/base/JsonText.h"

namespace burdockstream::ctl::detail {

namespace {

std::string formatLabels(const Json::Value &Labels) {
  std::string Text;
  for (const std::string &Name : Labels.getMemberNames())
    Text += (Text.empty() ? "" : ",") + Name + "=" + Labels[Name].asString();
  return Text;
}

// Checks the fields that are read below: the snapshot comes from another
// process, which may have another version.
bool isValidMetric(const Json::Value &Entry) {
  if (!Entry.isObject() || !Entry["name"].isString() ||
      !Entry["labels"].isObject())
    return false;
  for (const Json::Value &Label : Entry["labels"])
    if (!Label.isString())
      return false;
  return true;
}

// Appends the metrics in List whose names start with Prefix. Returns false if
// List is malformed.
bool appendMetrics(const Json::Value &List, const std::string &Kind,
                   const std::string &Prefix, Table &Out) {
  if (!List.isArray())
    return false;
  for (const Json::Value &Entry : List) {
    if (!isValidMetric(Entry))
      return false;
    const std::string Name = Entry["name"].asString();
    if (!Name.starts_with(Prefix))
      continue;
    const bool IsHistogram = Kind == "histogram";
    Out.Rows.push_back({Name, formatLabels(Entry["labels"]), Kind,
                        IsHistogram ? Entry["count"] : Entry["value"],
                        Entry["mean_us"], Entry["p50_us"], Entry["p99_us"]});
  }
  return true;
}

} // namespace

Output showStatus(const Command &Command, const Hooks &Hooks) {
  const auto Response =
      callForList(Hooks, "status", Json::objectValue, "balancers");
  if (Response.has_error())
    return errorOutput(Response.error());
  if (Command.Format == Format::Json)
    return {ExitCode::Ok, base::prettyJson(Response.value()), ""};
  Output Result = tableOutput(
      makeTable({"id", "data", "control", "failure_domain", "state"},
                Response.value()["balancers"]),
      Command);
  for (const Json::Value &Conflict : Response.value()["contested_addresses"])
    Result.Err += "warning: several records have the same address; only the "
                  "service that claimed it first is served: " +
                  base::compactJson(Conflict) + "\n";
  return Result;
}

Output showEndpoints(const Command &Command, const Hooks &Hooks) {
  Json::Value Parameters;
  Parameters["service"] = Command.Arguments[0];
  const auto Response =
      callForList(Hooks, "endpoints", Parameters, "endpoints");
  if (Response.has_error())
    return errorOutput(Response.error());
  return tableOutput(makeTable({"id", "data", "control", "failure_domain",
                                "state", "slots", "load_percent", "buckets"},
                               Response.value()["endpoints"]),
                     Command);
}

Output showMetrics(const Command &Command, const Hooks &Hooks) {
  const auto Response = Hooks.Call("metrics", Json::objectValue);
  if (Response.has_error())
    return errorOutput(Response.error());
  const Json::Value &Root = Response.value();
  const std::string Prefix =
      Command.Arguments.empty() ? "" : Command.Arguments[0];
  Table Table{
      {"name", "labels", "kind", "value", "mean_us", "p50_us", "p99_us"}, {}};
  const bool Valid =
      Root.isObject() &&
      appendMetrics(Root["counters"], "counter", Prefix, Table) &&
      appendMetrics(Root["gauges"], "gauge", Prefix, Table) &&
      appendMetrics(Root["histograms"], "histogram", Prefix, Table);
  if (!Valid)
    return errorOutput(unexpectedFormat("metrics"));
  return tableOutput(Table, Command);
}

} // namespace burdockstream::ctl::detail
