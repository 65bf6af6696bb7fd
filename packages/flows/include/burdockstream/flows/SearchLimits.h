// Stages, time-outs and rate limits of a search, by which a balancer finds the
// target that holds a flow.
//
// The limits account for these load patterns:
// - A balancer is stopped: the fabric moves its flows to other balancers,
//   which search for them. Most are held in the same failure domain, so its
//   agents are asked first, regardless of the size of the fleet.
// - A restart of all balancers: every long-lived flow is searched at once.
//   Searches share frames and are rate-limited; excess packets are parked
//   (ParkedPackets.h).
// - A crash of all processes: no agent knows which flows its target holds, so
//   each search sends a packet to several targets (trial delivery). These are
//   rate-limited as well.
// - Lost machines in a large fleet: their agents never answer, which must
//   delay a reset by only a fraction of a second.
#ifndef BURDOCKSTREAM_FLOWS_SEARCHLIMITS_H
#define BURDOCKSTREAM_FLOWS_SEARCHLIMITS_H

#include "burdockstream/base/Time.h"
#include "burdockstream/flows/TokenBucket.h"

#include <cstddef>
#include <cstdint>

namespace burdockstream::flows {

// The agents that a search asks, in successive stages.
enum class SearchStage : uint8_t {
  Preferred, // the preferred targets of the flow (PreferredTargets.h)
  Local,     // targets of the route's services in the balancer's failure domain
  Service,   // all targets of the route's services
  All,       // all known targets
};

// A search without a result ends after this; the next packet of the flow starts
// another one.
inline constexpr base::Duration SearchTimeout = std::chrono::milliseconds(1500);

// Interval at which a balancer updates its status subscriptions. A newly
// registered agent gets flows after at most this plus a round trip.
inline constexpr base::Duration SubscriptionInterval =
    std::chrono::milliseconds(200);

// Agents that have not answered a search are asked again after this, and then
// with exponential backoff (factor 2): the answer may be lost, or the agent may
// be starting. An answer from another failure domain takes about 20 ms.
inline constexpr base::Duration InitialSearchRetryDelay =
    std::chrono::milliseconds(60);

// Minimum interval between store reads that check whether silent agents have
// left.
inline constexpr base::Duration DepartureCheckInterval =
    std::chrono::milliseconds(500);

// Packets of a flow that are buffered during a search. The client has at most
// 16 in flight and retransmits the others.
inline constexpr size_t MaxBufferedPackets = 4;

// With up to this many searches, each one proceeds as soon as an answer
// arrives. More of them proceed together at the next tick, in shared frames,
// which cost a small VM a tenth of the processor time.
inline constexpr size_t MaxImmediateSearches = 8;

// Rate limit of search frames. A search costs a frame per agent of the service;
// a higher rate, as after a restart of all balancers, would delay the frames of
// known flows. Packets over the limit are parked.
inline constexpr double SearchFramesPerSecond = 6000;
inline constexpr double SearchFrameBurst = 600;

// Rate limit of trial deliveries. After a crash of all processes each search
// sends a packet to several targets; a larger burst would overflow a socket's
// queue of 256 datagrams. Trials over the limit are queued.
inline constexpr double TrialsPerSecond = 2400;
inline constexpr double TrialBurst = 100;

// Maximum shares of the VM's link bandwidth for searches and for trial
// deliveries, so that packets of known flows pass, and the length of a burst.
// If searches fill the link, their answers are delayed, which looks like loss
// and causes more searches.
inline constexpr double SearchLinkShare = 0.25;
inline constexpr double TrialLinkShare = 0.25;
inline constexpr double LinkBurstSeconds = 0.1;

// While a balancer receives hardly any statuses, a search counts as this many
// times its bytes. On a full link its answers would not arrive, and clients'
// packets would not pass; if most agents have really ended, flows of the others
// are still found.
inline constexpr double ImpairedSearchCost = 8;

// Returns a token bucket of bytes for Share (0 to 1) of a link. Thread safety:
// any thread.
inline TokenBucket linkShareBucket(double Share, double LinkBytesPerSecond) {
  const double PerSecond = Share * LinkBytesPerSecond;
  return {PerSecond, LinkBurstSeconds * PerSecond};
}

// A trial delivery without an answer is repeated after this, since the packet
// or the answer may be lost.
inline constexpr base::Duration TrialRetryDelay =
    std::chrono::milliseconds(400);

} // namespace burdockstream::flows

#endif
