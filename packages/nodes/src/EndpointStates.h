// State machine of an endpoint as its agent announces it. The transitions are
// in charts/endpoint.json.
#ifndef BURDOCKSTREAM_NODES_SRC_ENDPOINTSTATES_H
#define BURDOCKSTREAM_NODES_SRC_ENDPOINTSTATES_H

#include "burdockstream/messages/Messages.h"

#include <cstdint>
#include <optional>

namespace burdockstream::nodes::internal {

enum class EndpointEvent : uint8_t {
  Serve,     // the record is known, the endpoint answers, and the bucket owners
             // are known or could not be read in time
  Interrupt, // one of these no longer holds
  Drain,     // the graceful shutdown starts
  Stop       // the drain is complete or has timed out
};

// Returns the state that follows From after the event On, or nullopt if the
// state machine has no such transition. Precondition: From is a state that
// agents announce. Thread safety: any thread.
std::optional<messages::MemberState> nextState(messages::MemberState From,
                                               EndpointEvent On);

} // namespace burdockstream::nodes::internal

#endif
