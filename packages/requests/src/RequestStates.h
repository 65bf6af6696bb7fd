// States of a request at an agent. The transitions are defined by the state
// chart charts/request.json.
#ifndef BURDOCKSTREAM_REQUESTS_REQUESTSTATES_H
#define BURDOCKSTREAM_REQUESTS_REQUESTSTATES_H

#include <cstdint>
#include <optional>
#include <string_view>

namespace burdockstream::requests {

enum class RequestState : uint8_t {
  Received,
  Queued,
  Running,
  Answered,
  Refused,
  Unknown,
  Cancelled,
  Forgotten
};

enum class RequestEvent : uint8_t {
  Enqueue,   // admitted; waits for a slot
  Start,     // sent to the endpoint or to another agent
  Requeue,   // the attempt failed or was refused; queued again
  Respond,   // a response arrived
  Refuse,    // rejected without running
  LoseTrack, // the outcome is unknown; it may have run
  Cancel,    // cancelled by the caller
  Forget     // its state is removed
};

// Returns the state that follows From on the event On, or nullopt if the chart
// has no such transition. Thread safety: any thread.
std::optional<RequestState> nextState(RequestState From, RequestEvent On);

// Return the names used in the chart. Thread safety: any thread.
std::string_view toString(RequestState Value);
std::string_view toString(RequestEvent Value);

} // namespace burdockstream::requests

#endif
