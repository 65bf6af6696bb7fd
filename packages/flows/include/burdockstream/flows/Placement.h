// Chooses the target of a new flow: the one with the least estimated load. Pure
// functions, so that load patterns can be replayed without sockets or clocks.
// Routes that repeat offers (OfferPolicy.h) use CompletionTime.h instead.
//
// The load estimate accounts for these patterns:
// - Short requests on separate flows: the load is the number of waiting
//   requests per slot, including own placements that no status covers yet.
// - Long-lived idle flows: open flows count as well, since they bring
//   requests later.
// - A target that has just started is slow: its load is scaled up until its
//   warm-up ends.
// - A target that has become slow accumulates waiting requests and so gets no
//   new flows.
// - A target that fails requests at once has no waiting requests: its agent
//   reports it as ejected.
// - Traffic between failure domains costs money and time: a remote target is
//   chosen only if it is clearly less loaded.
#ifndef BURDOCKSTREAM_FLOWS_PLACEMENT_H
#define BURDOCKSTREAM_FLOWS_PLACEMENT_H

#include "burdockstream/base/Random.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace burdockstream::flows {

using Milliseconds = std::chrono::duration<double, std::milli>;

// The load of a target that could accept a flow.
struct Candidate {
  // Identifier defined by the caller, returned by chooseTarget.
  uint32_t Target = 0;
  uint32_t Slots = 1;
  uint32_t Waiting = 0;         // requests without an answer in the last status
  uint32_t UnreportedFlows = 0; // flows placed there since the last status
  uint32_t Flows = 0;
  // Cost of not using a preferred target or the balancer's own failure domain,
  // in requests in progress; 0 for a preferred target.
  double Penalty = 0;
  bool Warming = false;
  bool Ejected = false; // it fails requests
  // The following are used by CompletionTime.h only.
  uint32_t SlotTimeUs = 0; // mean time of a request in a slot; 0: unknown
  uint32_t WarmupMs = 0;   // what is left of the warm-up
  // Additional time to reach the target, compared to one in the balancer's
  // failure domain. It includes the price of long responses.
  Milliseconds Distance{0};
  bool Preferred = true; // see PreferredTargets.h
};

// Load of an open flow, in requests in progress: a client device sends about
// one request per second, and a request takes about 15 ms.
inline constexpr double WorkPerFlow = 0.02;

// Penalty of a target in another failure domain, in requests in progress. It is
// larger for downloads, whose long responses cost many times more between
// failure domains.
inline constexpr double RemotePenalty = 0.75;
inline constexpr double RemoteDownloadPenalty = 5;

// Penalty of a target outside the flow's preferred set (PreferredTargets.h), on
// top of that of a remote one. It is below 1, so that any difference of a whole
// request outweighs it.
inline constexpr double NonPreferredPenalty = 0.5;

// Service time of a target that is warming up, relative to its normal one.
inline constexpr double WarmupFactor = 1.6;

// Balancers ignore ejections (OutlierEjection.h) if fewer than one in this many
// of the targets that could accept a flow are not ejected: these would be
// overloaded.
inline constexpr size_t MaxTargetsPerUsable = 2;

// Removes the ejected targets from Choices, unless too many are ejected. Thread
// safety: any thread.
void removeEjected(std::vector<Candidate> &Choices);

// Returns the load of a target per slot, penalties included. Precondition:
// Slots is not zero. Thread safety: any thread.
double loadOf(const Candidate &Choice);

// Returns the target with the least load, chosen at random among equal ones, or
// nullopt if Choices is empty. Thread safety: that of Random.
std::optional<uint32_t> chooseTarget(std::span<const Candidate> Choices,
                                     base::RandomSource &Random);

} // namespace burdockstream::flows

#endif
