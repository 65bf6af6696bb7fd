// What an agent tells balancers of its target.
#ifndef BURDOCKSTREAM_FLOWS_TARGETSTATUS_H
#define BURDOCKSTREAM_FLOWS_TARGETSTATUS_H

#include "burdockstream/base/Ids.h"
#include "burdockstream/base/SocketAddress.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace burdockstream::flows {

enum class TargetState : uint8_t {
  Unknown,  // the agent has not heard of its target since it started
  Ready,    // takes new flows
  Draining, // keeps its flows, takes no new ones
  Silent,   // heartbeats are overdue
  Stopped,  // the process has ended
  Leaving,  // the agent itself restarts; the target may be in any state
};

// Returns the name used in logs. Thread safety: any thread.
std::string_view toString(TargetState State);

struct TargetStatus {
  uint64_t Incarnation = 0; // random number of the agent's run
  uint64_t Sequence = 0;    // rises with each status of a run
  base::ServiceId Service;
  std::string FailureDomain;
  TargetState State = TargetState::Unknown;
  uint32_t Slots = 0;
  uint32_t Waiting = 0;       // requests that wait for their first answer byte
  uint32_t Flows = 0;         // flows that the target holds
  uint32_t WarmupMs = 0;      // how much longer the target is slow
  uint32_t ServiceTimeUs = 0; // mean time from request to answer, recent
  base::Revision NewestRoutes = 0;    // newest revision that the agent knows of
  base::SocketAddress NewestRoutesAt; // control address of a balancer with it
};

} // namespace burdockstream::flows

#endif
