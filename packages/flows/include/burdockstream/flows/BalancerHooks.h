// The types by which a FlowBalancer and its process exchange data: identity,
// hooks and the report on a flow.
#ifndef BURDOCKSTREAM_FLOWS_BALANCERHOOKS_H
#define BURDOCKSTREAM_FLOWS_BALANCERHOOKS_H

#include "burdockstream/flows/Evacuations.h"
#include "burdockstream/flows/FlowDecision.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <span>
#include <string>
#include <vector>

namespace burdockstream::flows {

// The parts of a balancer's view that come from the store.
enum class ViewPart : uint8_t { Routes, Agents };
inline constexpr size_t ViewParts = 2;

// Output of the balancer. All functions must be set unless noted otherwise.
// They are called on the loop thread; packet bytes are valid only during the
// call.
struct BalancerHooks {
  std::function<void(base::SocketAddress Agent, const FrameHeader &,
                     std::span<const uint8_t> Body)>
      SendFrame;
  std::function<void(const FlowKey &, uint32_t Sequence)> SendReset;
  // For the decision log and metrics; may be empty.
  std::function<void(const FlowDecision &)> OnDecision;
  // Requests all that the store holds at Since, the current time, for a part of
  // the view. markCaughtUp() with the same Since must follow, possibly within
  // the call, unless the store connection is lost. If empty, the view always
  // counts as caught up.
  std::function<void(ViewPart, base::TimePoint Since)> CatchUp;
  // An agent reports newer routes, which the balancer at Control can provide.
  // May be empty.
  std::function<void(base::Revision, base::SocketAddress Control)>
      OnNewerRoutes;
  // The state of a failure domain has changed. Source is the agent that
  // reported it, or empty for the store. May be empty.
  std::function<void(const std::string &Domain, const DomainEvacuation &,
                     base::SocketAddress Source)>
      OnEvacuation;
};

// The balancer's state of one flow, for status reports to operators.
struct BalancerFlowView {
  bool Known = false;
  base::SocketAddress Agent; // that its packets are forwarded to
  uint8_t Offers = 0;        // targets that its opening packet was sent to
  uint8_t Refusals = 0;      // offers that were returned
  bool Searching = false;    // a search for its holder is running
};

struct BalancerIdentity {
  std::string FailureDomain;
  base::SocketAddress Control;                // serves the routes to peers
  size_t PacketHeaderBytes = 0;               // see PacketCodec::HeaderBytes
  double LinkBytesPerSecond = 125e6;          // bandwidth of the VM's link
  base::Duration OpeningAttempt{0};           // see OfferPolicy.h
  std::vector<base::Duration> CopyTimes = {}; // see PacketCodec::CopyTimes
};

} // namespace burdockstream::flows

#endif
