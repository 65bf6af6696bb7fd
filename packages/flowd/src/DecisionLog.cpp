#include "DecisionLog.h"

namespace burdockstream::flowd {

using flows::DecisionKind;

namespace {

Json::Value toJson(const flows::FlowDecision &Decision) {
  Json::Value Fields;
  const auto Text = [](std::string_view View) { return std::string(View); };
  Fields["flow"] = flows::toString(Decision.Flow);
  Fields["class"] = Text(toString(Decision.Class));
  Fields["routes_revision"] = Json::Int64(Decision.Routes);
  if (Decision.Reason != flows::ReturnReason::None)
    Fields["reason"] = Text(toString(Decision.Reason));
  if (Decision.Target != base::SocketAddress())
    Fields["agent"] = base::toString(Decision.Target);
  if (Decision.Balancer != base::SocketAddress())
    Fields["balancer"] = base::toString(Decision.Balancer);
  if (Decision.Round > 0)
    Fields["round"] = Decision.Round;
  Fields["candidates"] = Decision.Candidates;
  Fields["waiting"] = Decision.Waiting;
  Fields["slots"] = Decision.Slots;
  Fields["status_age_ms"] =
      Json::Int64(base::toMilliseconds(Decision.StatusAge));
  if (Decision.TimeLeft)
    Fields["left_ms"] = Json::Int64(base::toMilliseconds(*Decision.TimeLeft));
  return Fields;
}

} // namespace

DecisionLog::DecisionLog(EventLog &InitLog, base::Metrics &Registry)
    : Log(InitLog) {
  for (size_t Kind = 0; Kind < flows::DecisionKinds; ++Kind)
    for (size_t Class = 0; Class < flows::WorkClasses; ++Class)
      Counters[Kind][Class] = &Registry.counter(
          "flow_decisions",
          {{"decision", std::string(toString(static_cast<DecisionKind>(Kind)))},
           {"class",
            std::string(toString(static_cast<flows::WorkClass>(Class)))}});
}

void DecisionLog::record(const flows::FlowDecision &Decision, base::Now Now) {
  Counters[static_cast<size_t>(Decision.Kind)]
          [static_cast<size_t>(Decision.Class)]
              ->add();
  if (!Log.admitsFlowLine(Now))
    return;
  Log.write(LogPriority::Flow, std::string(toString(Decision.Kind)).c_str(),
            toJson(Decision), Now);
}

} // namespace burdockstream::flowd
