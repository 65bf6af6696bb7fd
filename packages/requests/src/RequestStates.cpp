#include "RequestStates.h"

#include "burdockstream/base/NameTable.h"

#include <array>

namespace burdockstream::requests {

namespace {

using S = RequestState;
using E = RequestEvent;

constexpr base::NameTable<S, 8> StateNames({{{S::Received, "received"},
                                             {S::Queued, "queued"},
                                             {S::Running, "running"},
                                             {S::Answered, "answered"},
                                             {S::Refused, "refused"},
                                             {S::Unknown, "unknown"},
                                             {S::Cancelled, "cancelled"},
                                             {S::Forgotten, "forgotten"}}});

constexpr base::NameTable<E, 8> EventNames({{{E::Enqueue, "enqueue"},
                                             {E::Start, "start"},
                                             {E::Requeue, "requeue"},
                                             {E::Respond, "respond"},
                                             {E::Refuse, "refuse"},
                                             {E::LoseTrack, "lose-track"},
                                             {E::Cancel, "cancel"},
                                             {E::Forget, "forget"}}});

constexpr std::array<RequestTransition, 18> Table = {{
    {S::Received, E::Enqueue, S::Queued},
    {S::Received, E::Start, S::Running},
    {S::Received, E::Refuse, S::Refused},
    {S::Received, E::LoseTrack, S::Unknown},
    {S::Queued, E::Start, S::Running},
    {S::Queued, E::Refuse, S::Refused},
    {S::Queued, E::LoseTrack, S::Unknown}, // an earlier attempt may have run
    {S::Queued, E::Cancel, S::Cancelled},
    {S::Running, E::Requeue, S::Queued},
    {S::Running, E::Respond, S::Answered},
    {S::Running, E::LoseTrack, S::Unknown},
    {S::Running, E::Cancel, S::Cancelled},
    {S::Running, E::Refuse, S::Refused},   // another agent refused to run it
    {S::Unknown, E::Respond, S::Answered}, // a response after the deadline
    {S::Answered, E::Forget, S::Forgotten},
    {S::Refused, E::Forget, S::Forgotten},
    {S::Unknown, E::Forget, S::Forgotten},
    {S::Cancelled, E::Forget, S::Forgotten},
}};

} // namespace

std::span<const RequestTransition> requestTransitions() { return Table; }

std::optional<RequestState> nextState(RequestState From, RequestEvent On) {
  for (const RequestTransition &Row : Table)
    if (Row.From == From && Row.On == On)
      return Row.To;
  return std::nullopt;
}

std::string_view toString(RequestState Value) { return StateNames.name(Value); }
std::string_view toString(RequestEvent Value) { return EventNames.name(Value); }

} // namespace burdockstream::requests
