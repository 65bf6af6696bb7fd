#include "EndpointStates.h"

#include "burdockstream/base/EnumChart.h"

#include <string_view>

namespace burdockstream::nodes::internal {

using messages::MemberState;

namespace {

constexpr std::string_view ChartText =
#include "../charts/endpoint.inc"
    ;

// The states that an agent announces, which are the first four of MemberState.
// The others, Suspect and Dead, are set by the daemons that observe it.
constexpr base::NameTable<MemberState, 4> StateNames{
    {{{MemberState::Starting, "starting"},
      {MemberState::Ready, "ready"},
      {MemberState::Draining, "draining"},
      {MemberState::Stopped, "stopped"}}}};

constexpr base::NameTable<EndpointEvent, 4> EventNames{
    {{{EndpointEvent::Serve, "serve"},
      {EndpointEvent::Interrupt, "interrupt"},
      {EndpointEvent::Drain, "drain"},
      {EndpointEvent::Stop, "stop"}}}};

const auto &chart() {
  static const base::EnumChart Chart(
      ChartText, "packages/nodes/charts/endpoint.json", StateNames, EventNames);
  return Chart;
}

} // namespace

std::optional<MemberState> nextState(MemberState From, EndpointEvent On) {
  return chart().next(From, On);
}

} // namespace burdockstream::nodes::internal
