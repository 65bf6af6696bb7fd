// Commands about flow services, answered by the reports of their daemons.
#include "AnswerTable.h"
#include "Commands.h"

#include <algorithm>
#include <set>

namespace burdockstream::ctl::detail {

namespace {

using base::ErrorKind;

constexpr const char *DaemonPath = "/v1/daemon";
constexpr const char *FlowPath = "/v1/flow";

// Returns the report of the first server that answers as a balancer does.
base::Result<Json::Value> balancerReport(const Command &Command,
                                         const Hooks &Hooks) {
  base::Error Last = base::makeError(ErrorKind::Unavailable,
                                     "no server is named; add --server=");
  for (auto &Answer : Hooks.FetchEach(Command.Servers, DaemonPath)) {
    if (Answer.has_value() && Answer.value().isObject() &&
        Answer.value()["targets"].isArray() &&
        Answer.value()["routes"].isArray())
      return Answer;
    Last = Answer.has_error()
               ? Answer.error()
               : base::makeError(ErrorKind::InvalidArgument,
                                 "the server is no balancer of flow services; "
                                 "name one with --server=");
  }
  return Last;
}

// The rows of List, without entries that are no objects.
Output showList(const Command &Command, const Hooks &Hooks, const char *List,
                const std::vector<std::string> &Columns) {
  const auto Report = balancerReport(Command, Hooks);
  if (Report.has_error())
    return failure(Report.error());
  Json::Value Entries(Json::arrayValue);
  for (const Json::Value &Entry : Report.value()[List])
    if (Entry.isObject())
      Entries.append(Entry);
  return success(rowsOf(Columns, Entries), Command);
}

void addAddress(const Json::Value &Text, std::set<base::SocketAddress> &Out) {
  const auto Address =
      base::parseSocketAddress(Text.isString() ? Text.asString() : "");
  if (Address.has_value())
    Out.insert(Address.value());
}

// All daemons that the balancers among Servers name. An agent is named by its
// data address; all daemons of a deployment have one control port.
std::vector<base::SocketAddress> allDaemons(const Command &Command,
                                            const Hooks &Hooks) {
  std::set<base::SocketAddress> Known(Command.Servers.begin(),
                                      Command.Servers.end());
  const auto Answers = Hooks.FetchEach(Command.Servers, DaemonPath);
  for (size_t I = 0; I < Answers.size(); ++I) {
    if (Answers[I].has_error() || !Answers[I].value().isObject())
      continue;
    const Json::Value &Report = Answers[I].value();
    for (const Json::Value &Peer : Report["peers"])
      addAddress(Peer, Known);
    std::set<base::SocketAddress> Agents;
    for (const Json::Value &Target : Report["targets"])
      if (Target.isObject())
        addAddress(Target["agent"], Agents);
    for (const base::SocketAddress Agent : Agents)
      Known.insert({Agent.Ip, Command.Servers[I].Port});
  }
  return {Known.begin(), Known.end()};
}

struct DaemonReports {
  Json::Value Entries = Json::arrayValue; // with the address as "control"
  std::string Warnings;                   // names the daemons that are silent
};

// Fetches Path from all daemons.
DaemonReports askAll(const Command &Command, const Hooks &Hooks,
                     const std::string &Path) {
  DaemonReports Result;
  const auto Daemons = allDaemons(Command, Hooks);
  const auto Answers = Hooks.FetchEach(Daemons, Path);
  for (size_t I = 0; I < Answers.size(); ++I) {
    const std::string Control = base::toString(Daemons[I]);
    if (Answers[I].has_error() || !Answers[I].value().isObject()) {
      Result.Warnings += "warning: " + Control + " has not answered\n";
      continue;
    }
    Json::Value Entry = Answers[I].value();
    Entry["control"] = Control;
    Result.Entries.append(Entry);
  }
  return Result;
}

} // namespace

Output showFlowRoutes(const Command &Command, const Hooks &Hooks) {
  return showList(Command, Hooks, "routes",
                  {"address", "route", "services", "class"});
}

Output showFlowTargets(const Command &Command, const Hooks &Hooks) {
  return showList(Command, Hooks, "targets",
                  {"agent", "service", "failure_domain", "state", "slots",
                   "waiting", "flows", "status_age_ms", "listed"});
}

Output showFlowStatus(const Command &Command, const Hooks &Hooks) {
  const DaemonReports Reports = askAll(Command, Hooks, DaemonPath);
  if (Reports.Entries.empty())
    return failure(base::makeError(ErrorKind::Unavailable,
                                   "no daemon has answered; check --server="));
  Output Result =
      success(rowsOf({"control", "name", "role", "ready", "state",
                      "routes_version", "routes_revision", "flows", "waiting"},
                     Reports.Entries),
              Command);
  Result.Err = Reports.Warnings;
  return Result;
}

Output traceFlow(const Command &Command, const Hooks &Hooks) {
  const DaemonReports Reports =
      askAll(Command, Hooks,
             std::string(FlowPath) + "?client=" + Command.Arguments[0] +
                 "&service=" + Command.Arguments[1]);
  Json::Value Known(Json::arrayValue);
  for (const Json::Value &Entry : Reports.Entries)
    if (Entry["known"].isBool() && Entry["known"].asBool())
      Known.append(Entry);
  Output Result =
      success(rowsOf({"control", "role", "agent", "offers", "refusals",
                      "searching", "open", "waiting", "not_held", "class"},
                     Known),
              Command);
  Result.Err = Reports.Warnings;
  if (Known.empty()) {
    Result.Code = ExitCode::NotFound;
    Result.Err += "no daemon that answered knows the flow\n";
  }
  return Result;
}

} // namespace burdockstream::ctl::detail
