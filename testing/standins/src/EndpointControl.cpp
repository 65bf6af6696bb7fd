// The control commands of EndpointStandin.
#include "burdockstream/standins/ControlPort.h"
#include "burdockstream/standins/EndpointStandin.h"

#include <algorithm>

namespace burdockstream::standins {

namespace {

// Limit on the entries per answer, so that it fits into one datagram at about
// 150 bytes per entry.
constexpr Json::UInt64 MaxJournalPage = 300;

base::Duration milliseconds(const Json::Value &Count) {
  return base::Duration(static_cast<int64_t>(Count.asDouble() * 1000));
}

Json::Value entryJson(const JournalEntry &Entry) {
  Json::Value Object(Json::objectValue);
  Object["rid"] = Entry.RequestId;
  Object["path"] = Entry.Path;
  Object["method"] = Entry.Method;
  Object["start_ms"] = Json::Int64{Entry.Start.Milliseconds};
  if (Entry.End)
    Object["end_ms"] = Json::Int64{Entry.End->Milliseconds};
  if (Entry.Cancelled)
    Object["cancelled"] = true;
  return Object;
}

} // namespace

// Reports the percentage of slots in use. Queued requests count as well, so it
// may exceed 100.
std::string EndpointStandin::loadReport() const {
  const size_t Busy = Executor.running() + Executor.queued();
  const size_t Total = std::max<size_t>(Options.Jobs.Slots, 1);
  Json::Value Report(Json::objectValue);
  Report["load_percent"] = ReportedLoad >= 0
                               ? Json::Value(ReportedLoad)
                               : Json::Value(Json::UInt64{100 * Busy / Total});
  Report["slots"] = Json::UInt64{Total};
  return toJsonLine(Report);
}

Json::Value EndpointStandin::applySettings(const Json::Value &Command) {
  JobOptions &Jobs = Executor.options();
  if (Command.isMember("slots"))
    Options.Jobs.Slots = Jobs.Slots = Command["slots"].asUInt();
  if (Command.isMember("queue_limit"))
    Jobs.QueueLimit = Command["queue_limit"].asUInt();
  if (Command.isMember("shedding"))
    Jobs.Shedding = Command["shedding"].asBool();
  if (Command.isMember("default_run_ms"))
    Jobs.DefaultRunTime = milliseconds(Command["default_run_ms"]);
  if (Command.isMember("cold_factor"))
    Jobs.ColdFactor = Command["cold_factor"].asInt();
  if (Command.isMember("load_percent"))
    ReportedLoad = Command["load_percent"].asInt();
  const Json::Value &RunTimes = Command["run_ms"];
  for (auto Prefix = RunTimes.begin(); Prefix != RunTimes.end(); ++Prefix)
    Jobs.RunTimes[Prefix.name()] = milliseconds(*Prefix);
  return Json::objectValue;
}

Json::Value EndpointStandin::journalPage(const Json::Value &Command) const {
  const std::vector<JournalEntry> &Journal = Executor.journal();
  const std::string RequestId = Command.get("rid", "").asString();
  const Json::UInt64 Limit =
      std::min(Command.get("limit", Json::UInt64{MaxJournalPage}).asUInt64(),
               MaxJournalPage);
  size_t Index = Command.get("from", 0).asUInt64();
  Json::Value Answer(Json::objectValue);
  Json::Value &Entries = Answer["entries"] = Json::arrayValue;
  for (; Index < Journal.size() && Entries.size() < Limit; ++Index)
    if (RequestId.empty() || Journal[Index].RequestId == RequestId)
      Entries.append(entryJson(Journal[Index]));
  Answer["next"] = Json::UInt64{Index};
  Answer["total"] = Json::UInt64{Journal.size()};
  return Answer;
}

Json::Value EndpointStandin::countersJson() const {
  Json::Value Answer(Json::objectValue);
  const auto Add = [&Answer](const char *Name, uint64_t Value) {
    Answer[Name] = Json::UInt64{Value};
  };
  Add("requests", Counters.Requests);
  Add("duplicates", Counters.Duplicates);
  Add("malformed", Counters.Malformed);
  Add("cancelled", Counters.Cancelled);
  Add("responses_lost", Counters.ResponsesLost);
  Add("ran", Executor.counters().Completed);
  Add("shed", Executor.counters().Shed);
  Add("late", Executor.counters().Expired);
  Add("cancelled_queued", Executor.counters().CancelledQueued);
  Add("cancelled_running", Executor.counters().CancelledRunning);
  Add("running", Executor.running());
  Add("queued", Executor.queued());
  Add("observers", Boards.observers());
  Add("registered", Boards.counters().Registered);
  Add("notified", Boards.counters().Notified);
  Add("observers_dropped", Boards.counters().Dropped);
  return Answer;
}

Json::Value EndpointStandin::execute(const Json::Value &Command) {
  const std::string Name = Command["command"].asString();
  if (Name == "publish") {
    Json::Value Answer(Json::objectValue);
    Answer["number"] = Boards.publish(Command["board"].asString(),
                                      Command.get("number", 0).asUInt());
    return Answer;
  }
  if (Name == "set")
    return applySettings(Command);
  if (Name == "journal")
    return journalPage(Command);
  if (Name == "counters")
    return countersJson();
  return commandError(
      "unknown command; valid commands are publish, set, journal and counters");
}

} // namespace burdockstream::standins
