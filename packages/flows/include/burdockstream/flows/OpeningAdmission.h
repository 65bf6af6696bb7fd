// Admission control for new flows: whether a target may get one more flow now.
// Pure functions.
//
// The rule accounts for these load patterns:
// - After an outage the clients of all flows reconnect to targets that have
//   just started and are slow. Many of their requests are late already; if
//   these filled the targets' queues, all later requests would be late as
//   well. Late requests therefore get free slots only.
// - Clients request more than the targets can process. A target serves its
//   queue in order of arrival, so with a long queue every request is late.
//   Requests are held at the agent instead, which chooses the next one.
#ifndef BURDOCKSTREAM_FLOWS_OPENINGADMISSION_H
#define BURDOCKSTREAM_FLOWS_OPENINGADMISSION_H

#include "burdockstream/base/Time.h"
#include "burdockstream/flows/RequestTime.h"

#include <cstdint>
#include <optional>

namespace burdockstream::flows {

// Maximum number of requests per slot at a target: one in progress and four
// queued. Targets that queue four per slot reject more.
inline constexpr uint32_t RequestsPerSlot = 5;

// Limit of requests per slot while the service time is unknown: one in
// progress, and one that follows without a gap.
inline constexpr uint32_t FirstRequestsPerSlot = 2;

// An agent's view of the load of its target.
struct TargetLoad {
  uint32_t InProgress = 0; // requests, and flows whose first one is in transit
  uint32_t Slots = 1;
  std::optional<base::Duration> ServiceTime; // mean; nullopt if unknown
  base::Duration Handshake{
      0}; // time from an opening packet to the first request
};

// In rising order of priority.
enum class Urgency : uint8_t {
  Expired, // the client has given up
  Late,    // the answer will miss the latency target
  OnTime,
  NoDeadline, // the route defines no deadlines
};

// Returns the urgency of the first request of a flow that opens now, queued
// behind the requests in progress. Precondition: Load.Slots is not zero. Thread
// safety: any thread.
Urgency urgencyOf(const TargetLoad &Load,
                  const std::optional<RequestTime> &Left);

// Returns whether the target may get a flow of this urgency now. Precondition:
// Load.Slots is not zero. Thread safety: any thread.
bool admits(const TargetLoad &Load, Urgency Urgency);

} // namespace burdockstream::flows

#endif
