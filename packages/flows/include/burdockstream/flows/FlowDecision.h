// A decision that a balancer or an agent made about one flow, with the inputs
// it was based on. Each one becomes a line of the decision log.
#ifndef BURDOCKSTREAM_FLOWS_FLOWDECISION_H
#define BURDOCKSTREAM_FLOWS_FLOWDECISION_H

#include "burdockstream/base/Ids.h"
#include "burdockstream/base/SocketAddress.h"
#include "burdockstream/base/Time.h"
#include "burdockstream/flows/FlowKey.h"
#include "burdockstream/flows/Frame.h"
#include "burdockstream/flows/RouteTable.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace burdockstream::flows {

enum class DecisionKind : uint8_t {
  Placed,         // a new flow is sent to Target
  PlacedAgain,    // an opening packet is sent to a different target than before
  RefusedNoRoute, // reset: no route has this address
  RefusedNoTarget, // reset: no target can accept the flow
  DroppedNoRoute,  // no route, and the routes may be outdated: parked
  Searched,        // a search for the holder of an unknown flow has started
  Found,           // the search found that Target holds the flow
  ResetUnheld,     // reset: no target holds the flow
  ResetLost,       // reset: the target that held the flow has lost it
  SearchExpired,   // the search timed out; Target is among the agents that did
                   // not answer
  Unsettled, // the flow is not found, but the list of agents may be incomplete
  Delivered, // an opening packet was passed to the target
  NotDelivered, // an opening packet was returned to its balancer, see Reason
  WaitExpired,  // a parked packet was dropped after its maximum wait
  AskedAgain,   // the search was repeated to agents without an answer, such as
                // Target
  HeldBack, // an opening packet is held at the agent because its target is busy
  // An opening packet was dropped at the request's time limit or, if a target
  // may have accepted it, at the end of the client's attempt.
  GivenUp,
  // Reset: all targets are busy until the client's attempt ends, the request
  // would wait longer than its timeout, or no further packet can be parked.
  RefusedBusy,
};
inline constexpr size_t DecisionKinds = 18;

// Returns the name used in logs and metrics. Thread safety: any thread.
std::string_view toString(DecisionKind Kind);

struct FlowDecision {
  DecisionKind Kind = DecisionKind::Placed;
  FlowKey Flow;
  ReturnReason Reason = ReturnReason::None;
  WorkClass Class = WorkClass::Other;
  base::SocketAddress Target; // address of the target's agent, if any
  base::SocketAddress
      Balancer;              // at an agent: the balancer that sent the packet
  base::Revision Routes = 0; // revision of the routes that were applied
  uint32_t Round = 0; // of offers, if they are repeated: 1 is the first round
  uint32_t Candidates = 0; // targets that were eligible or were asked
  uint32_t Waiting = 0;    // requests at the target without an answer
  uint32_t Slots = 0;
  base::Duration StatusAge{0}; // age of the target's last status
  // RefusedBusy only: what is left of the route's timeout, counted from the
  // first copy of this attempt.
  std::optional<base::Duration> TimeLeft;
};

} // namespace burdockstream::flows

#endif
