// The state chart of a target as its agent sees it.
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

// Returns the state that On leads to from From, or nothing if From stays.
// Thread safety: any thread.
std::optional<TargetState> nextState(TargetState From, TargetEvent On);

} // namespace burdockstream::flows::internal

#endif
