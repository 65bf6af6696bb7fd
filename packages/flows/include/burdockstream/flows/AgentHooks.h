// What connects a FlowAgent to its process: its options, its output, and the
// views of it that reports show.
#ifndef BURDOCKSTREAM_FLOWS_AGENTHOOKS_H
#define BURDOCKSTREAM_FLOWS_AGENTHOOKS_H

#include "burdockstream/base/SocketAddress.h"
#include "burdockstream/base/Time.h"
#include "burdockstream/flows/FlowDecision.h"
#include "burdockstream/flows/FlowKey.h"
#include "burdockstream/flows/Frame.h"
#include "burdockstream/flows/Heartbeat.h"
#include "burdockstream/flows/TargetStatus.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <span>
#include <string>
#include <string_view>

namespace burdockstream::flows {

// Result of a health check of the target's process.
enum class ProbeResult : uint8_t {
  Healthy,   // it serves and is not leaving
  Unwilling, // it answers, but is leaving or reports a failure
  NoProcess, // no process listens at its address
  NoAnswer,  // no answer, so its state is unknown
};

// Returns the name used in logs. Thread safety: any thread.
std::string_view toString(ProbeResult Result);

// Output of the agent. All functions must be set unless noted otherwise. They
// are called on the loop thread; packet bytes are valid only during the call.
struct AgentHooks {
  std::function<void(std::span<const uint8_t> Bytes)> DeliverToTarget;
  std::function<void(const FlowKey &, std::span<const uint8_t> Bytes)>
      SendToClient;
  std::function<void(const FlowKey &, uint32_t Sequence)> SendReset;
  std::function<void(base::SocketAddress Balancer, const FrameHeader &,
                     std::span<const uint8_t> Body)>
      SendFrame;
  // Writes a tag into a packet, see PacketCodec::Stamp.
  std::function<void(std::span<uint8_t>, uint32_t Tag)> Stamp;
  // Starts an asynchronous health check of the target's process; the result is
  // passed to onProbe().
  std::function<void()> ProbeTarget;
  // The rest may be empty. For the decision log, and for histograms of the time
  // from request to answer.
  std::function<void(const FlowDecision &)> OnDecision;
  std::function<void(WorkClass, base::Duration)> OnAnswered;
  // A balancer reports that the store does not list this agent.
  std::function<void(base::SocketAddress Balancer)> OnEntryMissing;
  // The target's state has changed. BeatAge is the age of the last heartbeat.
  std::function<void(TargetState From, TargetState To, std::string_view Cause,
                     base::Duration BeatAge)>
      OnState;
  // The target's failure domain is evacuated, or is no longer.
  std::function<void(const DomainEvacuation &, base::SocketAddress Balancer)>
      OnEvacuation;
  // The target fails requests and is ejected for Time.
  std::function<void(base::Duration Time)> OnEjected;
};

// The agent's state of one flow, for status reports to operators.
struct AgentFlowView {
  bool Known = false;
  bool Open = false;    // the target holds it: it has sent data or closed it
  bool Waiting = false; // a request has no answer yet
  bool NotHeld = false; // the target has returned a packet of it
  WorkClass Class = WorkClass::Other;
};

struct AgentOptions {
  TargetIdentity Target;
  std::string FailureDomain;
  uint64_t Incarnation = 0;
  // The target counts as silent without a heartbeat for this long. It must be
  // shorter than the time after which an address may be reassigned to another
  // service.
  base::Duration HeartbeatOverdue = std::chrono::milliseconds(1800);
  // The target sends a heartbeat about this often.
  base::Duration HeartbeatInterval = std::chrono::milliseconds(1200);
  size_t PacketHeaderBytes = 0; // see PacketCodec::HeaderBytes
};

} // namespace burdockstream::flows

#endif
