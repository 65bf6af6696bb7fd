// Chooses the target of a new flow by the expected time until its response, in
// milliseconds. Routes that repeat offers (OfferPolicy.h) use it, all
// others use chooseTarget() of Placement.h. Pure functions.
//
// Load patterns:
// - Uneven targets: with as many requests per slot, a target that takes several
//   times as long per request answers much later. The measured slot time
//   accounts for that.
// - A target that has just started is slow, but only for the rest of its
//   warm-up.
// - Several balancers act on the same statuses, and each knows only its own
//   placements since then. If all chose the single best target, its queue would
//   grow until the next status. So each chooses the better of two random
//   targets. This needs no knowledge of how many balancers there are.
#ifndef BURDOCKSTREAM_FLOWS_COMPLETIONTIME_H
#define BURDOCKSTREAM_FLOWS_COMPLETIONTIME_H

#include "burdockstream/base/Random.h"
#include "burdockstream/flows/Placement.h"

#include <cstdint>
#include <optional>
#include <span>

namespace burdockstream::flows {

// Assumed additional latency of a target in another failure domain: the one-way
// delay of the opening packet and that of the request. It is not measured;
// failure domains of a region are a few milliseconds apart.
inline constexpr Milliseconds RemoteLatency{10};

// Slot time while none of a service's targets is known. All its targets count
// alike then; a queue of one request per slot outweighs RemoteLatency.
inline constexpr Milliseconds AssumedSlotTime{20};

// Returns Candidate::Distance of a target in another failure domain with
// Candidate::Penalty. It has the same ratio to RemoteLatency as Penalty to
// RemotePenalty, so downloads stay as local as with chooseTarget(). Thread
// safety: any thread.
Milliseconds remoteDistance(double Penalty);

// Returns the median slot time of the targets whose slot time is known, without
// the effect of their warm-up, or AssumedSlotTime if none is known. Thread
// safety: any thread.
Milliseconds typicalSlotTime(std::span<const Candidate> Choices);

// Returns the expected time from an offer to the response of Choice, Distance
// included. TypicalSlotTime replaces an unknown slot time. Precondition: Slots
// is not zero. Thread safety: any thread.
Milliseconds expectedTime(const Candidate &Choice,
                          Milliseconds TypicalSlotTime);

// Returns the target with the least expected time, or nullopt if Choices is
// empty. Among equal ones it prefers Candidate::Preferred, then chooses at
// random. The reference for chooseBetterOfTwo(), which balancers use.
// Precondition: no Slots is zero. Thread safety: that of Random.
std::optional<uint32_t> chooseByLeastTime(std::span<const Candidate> Choices,
                                          base::RandomSource &Random);

// Returns the better of two random targets by expected time, or nullopt if
// Choices is empty. Both are preferred targets if there are two. Targets that
// are farther away than the one with the least expected time of all are not
// considered. If that one is in another failure domain, its own domain is
// overloaded, and targets of all domains are considered. Precondition: no Slots
// is zero. Thread safety: that of Random.
std::optional<uint32_t> chooseBetterOfTwo(std::span<const Candidate> Choices,
                                          base::RandomSource &Random);

} // namespace burdockstream::flows

#endif
