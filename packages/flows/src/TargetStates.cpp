#include "TargetStates.h"

#include "burdockstream/base/EnumChart.h"

namespace burdockstream::flows::internal {

namespace {

constexpr std::string_view ChartText =
#include "../charts/target.inc"
    ;

// The states of the chart. TargetState::Leaving is a state of the agent
// instead.
constexpr base::NameTable<TargetState, 5> StateNames{{{
    {TargetState::Unknown, "unknown"},
    {TargetState::Ready, "ready"},
    {TargetState::Draining, "draining"},
    {TargetState::Silent, "silent"},
    {TargetState::Stopped, "stopped"},
}}};

constexpr base::NameTable<TargetEvent, 5> EventNames{{{
    {TargetEvent::Ready, "ready"},
    {TargetEvent::Drain, "drain"},
    {TargetEvent::Overdue, "overdue"},
    {TargetEvent::End, "end"},
    {TargetEvent::Replace, "replace"},
}}};

const auto &chart() {
  static const base::EnumChart Chart(
      ChartText, "packages/flows/charts/target.json", StateNames, EventNames);
  return Chart;
}

} // namespace

std::string_view toString(TargetEvent Event) { return EventNames.name(Event); }

std::optional<TargetState> nextState(TargetState From, TargetEvent On) {
  return chart().next(From, On);
}

} // namespace burdockstream::flows::internal
