// Interprets state charts, which are JSON files:
//
//   {"name": "lamp",
//    "states": [{"name": "off", "initial": true},
//               {"name": "broken", "final": true}],
//    "events": ["break"],
//    "transitions": [{"from": "off", "event": "break", "to": "broken"}]}
//
// Names are resolved once into small numbers; a running instance is one byte.
#ifndef BURDOCKSTREAM_BASE_STATECHART_H
#define BURDOCKSTREAM_BASE_STATECHART_H

#include "burdockstream/base/Error.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace burdockstream::base {

// A loaded chart. Immutable after load(). Thread safety: any thread.
class StateChart {
public:
  // Indices in the order in which the chart lists its states and events.
  enum class StateId : uint8_t {};
  enum class EventId : uint8_t {};

  // The current state of one modelled object. The chart is passed to each call
  // so that thousands of instances cost one byte each.
  class Instance {
  public:
    // Starts in the chart's initial state.
    explicit Instance(const StateChart &Chart) : Current(Chart.initial()) {}

    StateId state() const { return Current; }

    // Takes the transition for Event. Returns false and stays if the state has
    // none. Precondition: Chart is the one of the constructor.
    bool apply(const StateChart &Chart, EventId Event) {
      const auto To = Chart.next(Current, Event);
      if (To)
        Current = *To;
      return To.has_value();
    }

  private:
    StateId Current;
  };

  // Parses and checks a chart. Refused with file and line are: an unknown or
  // duplicate name, no or several initial states, a duplicate transition, an
  // unreachable state, a transition out of a final state and a state that is
  // not final but has no transition.
  static Result<StateChart> load(std::string_view Text, std::string Source);

  // As load(), for a chart that is embedded in the program: an invalid one is a
  // bug and ends the process with the error.
  static StateChart embedded(std::string_view Text, std::string Source);

  // Returns the state or event called Name, or an error that lists the names
  // of the chart.
  Result<StateId> findState(std::string_view Name) const;
  Result<EventId> findEvent(std::string_view Name) const;

  // As above for names written in the program: an unknown one is a bug and ends
  // the process with the file and line of the list that lacks it.
  StateId state(std::string_view Name) const;
  EventId event(std::string_view Name) const;

  // Returns the state that Event leads to from From, if there is a transition.
  // Precondition: both belong to this chart.
  std::optional<StateId> next(StateId From, EventId Event) const {
    const uint8_t To = Table[static_cast<size_t>(From) * Events.size() +
                             static_cast<size_t>(Event)];
    return To == NoState ? std::nullopt : std::optional(StateId{To});
  }

  StateId initial() const { return Initial; }
  bool isFinal(StateId State) const {
    return Final[static_cast<size_t>(State)];
  }
  const std::string &name() const { return Name; }
  const std::vector<std::string> &states() const { return States; }
  const std::vector<std::string> &events() const { return Events; }
  std::string_view nameOf(StateId State) const {
    return States[static_cast<size_t>(State)];
  }
  std::string_view nameOf(EventId Event) const {
    return Events[static_cast<size_t>(Event)];
  }

private:
  friend class ChartLoader;
  static constexpr uint8_t NoState = 255;

  StateChart() = default;

  std::string Source;
  size_t StatesLine = 0;
  size_t EventsLine = 0;
  std::string Name;
  std::vector<std::string> States;
  std::vector<std::string> Events;
  std::vector<bool> Final;
  StateId Initial{};
  std::vector<uint8_t> Table; // row per state, column per event
};

static_assert(sizeof(StateChart::Instance) == 1);

} // namespace burdockstream::base

#endif
