#include "AnswerTable.h"
#include "Commands.h"
#include "burdockstream/base/JsonText.h"

namespace burdockstream::ctl::detail {

namespace {

std::string labelText(const Json::Value &Labels) {
  std::string Text;
  for (const std::string &Name : Labels.getMemberNames())
    Text += (Text.empty() ? "" : ",") + Name + "=" + Labels[Name].asString();
  return Text;
}

// Checks the shape of a snapshot, which comes from another process.
bool isMetric(const Json::Value &Entry) {
  if (!Entry.isObject() || !Entry["name"].isString() ||
      !Entry["labels"].isObject())
    return false;
  for (const Json::Value &Label : Entry["labels"])
    if (!Label.isString())
      return false;
  return true;
}

bool addMetrics(const Json::Value &List, const std::string &Kind,
                const std::string &Prefix, Table &Out) {
  if (!List.isArray())
    return false;
  for (const Json::Value &Entry : List) {
    if (!isMetric(Entry))
      return false;
    const std::string Name = Entry["name"].asString();
    if (!Name.starts_with(Prefix))
      continue;
    const bool IsHistogram = Kind == "histogram";
    Out.Rows.push_back({Name, labelText(Entry["labels"]), Kind,
                        IsHistogram ? Entry["count"] : Entry["value"],
                        Entry["mean_us"], Entry["p50_us"], Entry["p99_us"]});
  }
  return true;
}

} // namespace

Output showStatus(const Command &Command, const Hooks &Hooks) {
  const auto Answer =
      callForList(Hooks, "status", Json::objectValue, "balancers");
  if (Answer.has_error())
    return failure(Answer.error());
  if (Command.Format == Format::Json)
    return {ExitCode::Ok, base::prettyJson(Answer.value()), ""};
  Output Result =
      success(rowsOf({"id", "data", "control", "failure_domain", "state"},
                     Answer.value()["balancers"]),
              Command);
  for (const Json::Value &Contest : Answer.value()["contested_addresses"])
    Result.Err += "warning: several records name one address, and only the "
                  "service that had it first is served: " +
                  base::compactJson(Contest) + "\n";
  return Result;
}

Output showEndpoints(const Command &Command, const Hooks &Hooks) {
  Json::Value Parameters;
  Parameters["service"] = Command.Arguments[0];
  const auto Answer = callForList(Hooks, "endpoints", Parameters, "endpoints");
  if (Answer.has_error())
    return failure(Answer.error());
  return success(rowsOf({"id", "data", "control", "failure_domain", "state",
                         "slots", "load_percent", "buckets"},
                        Answer.value()["endpoints"]),
                 Command);
}

Output showMetrics(const Command &Command, const Hooks &Hooks) {
  const auto Answer = Hooks.Call("metrics", Json::objectValue);
  if (Answer.has_error())
    return failure(Answer.error());
  const Json::Value &Root = Answer.value();
  const std::string Prefix =
      Command.Arguments.empty() ? "" : Command.Arguments[0];
  Table Table{
      {"name", "labels", "kind", "value", "mean_us", "p50_us", "p99_us"}, {}};
  const bool Valid = Root.isObject() &&
                     addMetrics(Root["counters"], "counter", Prefix, Table) &&
                     addMetrics(Root["gauges"], "gauge", Prefix, Table) &&
                     addMetrics(Root["histograms"], "histogram", Prefix, Table);
  if (!Valid)
    return failure(unknownForm("metrics"));
  return success(Table, Command);
}

} // namespace burdockstream::ctl::detail
