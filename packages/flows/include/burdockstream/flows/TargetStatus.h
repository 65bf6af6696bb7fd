// The status report about a target that its agent sends to balancers.
#ifndef BURDOCKSTREAM_FLOWS_TARGETSTATUS_H
#define BURDOCKSTREAM_FLOWS_TARGETSTATUS_H

#include "burdockstream/base/Ids.h"
#include "burdockstream/base/SocketAddress.h"
#include "burdockstream/flows/Evacuations.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace burdockstream::flows {

// The values are on the wire.
enum class TargetState : uint8_t {
  Unknown,  // no heartbeat or probe result since the agent started
  Ready,    // accepts new flows
  Draining, // keeps its open flows, accepts no new ones
  Silent,   // heartbeats are overdue
  Stopped,  // the target's process has ended
  Leaving,  // the agent itself shuts down or restarts; the target may be in any
            // state
};

// Returns the name used in logs. Thread safety: any thread.
std::string_view toString(TargetState State);

struct TargetStatus {
  uint64_t Incarnation = 0; // random identifier of the agent's process
  uint64_t Sequence = 0;    // increases with each status of an incarnation
  base::ServiceId Service;
  std::string FailureDomain;
  TargetState State = TargetState::Unknown;
  uint32_t Slots = 0;
  uint32_t Waiting = 0; // requests without an answer, including those expected
                        // on flows that are just opening
  uint32_t Flows = 0;   // open flows of the target
  // Remaining warm-up time, during which the target is slow.
  uint32_t WarmupMs = 0;
  // Moving average of the time from request to answer.
  uint32_t ServiceTimeUs = 0;
  base::Revision NewestRoutes = 0; // newest routes revision known to the agent
  // Control address of a balancer that has it.
  base::SocketAddress NewestRoutesAt;
  // Of the target's failure domain, as far as the agent knows.
  DomainEvacuation Evacuation;
  // Remaining time for which the target should get no flows, see
  // OutlierEjection.h.
  uint32_t EjectedMs = 0;
  // Limit of new flows per second during the warm-up, as far as the agent
  // knows; 0: none.
  uint32_t WarmupFlowsPerSecond = 0;
  // Mean time that a request occupies a slot; 0: unknown. Former agents do not
  // send it.
  uint32_t SlotTimeUs = 0;
  // Opening packets that the agent holds, also those that Waiting leaves out
  // since they will be late. Former agents do not send it.
  uint32_t HeldOpenings = 0;
};

} // namespace burdockstream::flows

#endif
