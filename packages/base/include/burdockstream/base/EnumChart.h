// A state chart whose states and events are enumerations of the program. The
// chart file decides on the transitions; the name tables connect it with the
// enumerations.
#ifndef BURDOCKSTREAM_BASE_ENUMCHART_H
#define BURDOCKSTREAM_BASE_ENUMCHART_H

#include "burdockstream/base/NameTable.h"
#include "burdockstream/base/StateChart.h"

#include <glog/logging.h>

#include <array>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace burdockstream::base {

// Immutable after construction. Thread safety: any thread.
template <typename StateT, size_t States, typename EventT, size_t Events>
class EnumChart {
public:
  // Loads an embedded chart. A chart that is invalid, or whose names are not
  // exactly those of the tables, is a bug and ends the process with the error.
  // Precondition: the enumerations count from zero without gaps.
  EnumChart(std::string_view Text, std::string Source,
            const NameTable<StateT, States> &StateNames,
            const NameTable<EventT, Events> &EventNames) {
    const StateChart Chart = StateChart::embedded(Text, std::move(Source));
    CHECK_EQ(Chart.states().size(), States) << Chart.name();
    CHECK_EQ(Chart.events().size(), Events) << Chart.name();
    for (const auto &From : StateNames.entries())
      for (const auto &On : EventNames.entries())
        if (const auto To =
                Chart.next(Chart.state(From.Name), Chart.event(On.Name)))
          cell(From.Value, On.Value) = StateNames.value(Chart.nameOf(*To));
  }

  // Returns the state that On leads to from From, or nothing if the chart does
  // not allow On there.
  std::optional<StateT> next(StateT From, EventT On) const {
    return Table[static_cast<size_t>(From) * Events + static_cast<size_t>(On)];
  }

private:
  std::optional<StateT> &cell(StateT From, EventT On) {
    return Table[static_cast<size_t>(From) * Events + static_cast<size_t>(On)];
  }

  std::array<std::optional<StateT>, States * Events> Table;
};

} // namespace burdockstream::base

#endif
