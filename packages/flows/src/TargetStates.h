// The state chart of a target from its agent's view, see charts/target.json.
#ifndef BURDOCKSTREAM_FLOWS_TARGETSTATES_H
#define BURDOCKSTREAM_FLOWS_TARGETSTATES_H

#include "burdockstream/flows/TargetStatus.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace burdockstream::flows::internal {

enum class TargetEvent : uint8_t { Ready, Drain, Overdue, End, Replace };

// Returns the name used in logs. Thread safety: any thread.
std::string_view toString(TargetEvent Event);

// Returns the successor of From on the event On, or nullopt if the chart has no
// such transition.
// Thread safety: any thread.
std::optional<TargetState> nextState(TargetState From, TargetEvent On);

} // namespace burdockstream::flows::internal

#endif
