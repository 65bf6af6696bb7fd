// Decides how often an opening packet is offered to the targets of its service.
// Pure functions.
//
// Load pattern: after a power failure at peak load all targets of a service
// start cold while their clients retry. For a second or more no target can
// start a request in time. If the opening packet is reset after one round of
// offers, its client uses up all its attempts before the targets have caught
// up, although they could serve it within its timeout. On routes whose timeout
// leaves room for it, the packet is therefore offered again until the client's
// attempt ends.
#ifndef BURDOCKSTREAM_FLOWS_OFFERPOLICY_H
#define BURDOCKSTREAM_FLOWS_OFFERPOLICY_H

#include "burdockstream/base/Time.h"
#include "burdockstream/flows/RequestTime.h"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace burdockstream::flows {

// Maximum number of targets that an opening packet is offered to in the first
// round, and before further rounds may use the same targets again.
inline constexpr size_t MaxOffers = 4;

// Offers are repeated on routes with a timeout of at least this many attempts
// of a client. With a shorter timeout, a client whose first attempt is kept
// until its end could not finish a second one.
inline constexpr int64_t MinAttemptsInTimeout = 2;

// Maximum number of further rounds of an opening packet; its flow entry counts
// them in one byte.
inline constexpr uint8_t MaxFurtherRounds = UINT8_MAX;

// An opening packet for which no offer is pending.
struct OpeningProgress {
  base::Duration SinceFirstCopy{0};
  // Rounds after the first one, each a single offer.
  uint8_t FurtherRounds = 0;
  // How long a new request of the service waits before it is served; nullopt if
  // unknown.
  std::optional<base::Duration> ExpectedWait;
  // Without further copies to the same target; max(): no offer yet.
  base::Duration SinceLastOffer = base::Duration::max();
};

enum class RoundStep : uint8_t {
  Start,  // offer the packet now
  Wait,   // the last offer is too recent, or too many were made
  Refuse, // the attempt ends, or the timeout expires, before it can be served
};

// Offers made by a balancer since its start.
struct OfferCounters {
  uint64_t FirstRound = 0;
  uint64_t FurtherRounds = 0;
  // Openings ended as RefusedBusy, or as GivenUp at the end of the attempt.
  uint64_t Unserved = 0;
};

// Thread safety, for all functions: any thread.

// Returns whether opening packets of a route with the deadlines RouteTime are
// offered again after the first round. OpeningAttempt is the duration of a
// client's attempt, 0 to switch repeated offers off.
bool repeatsOffers(base::Duration OpeningAttempt,
                   const std::optional<RequestTime> &RouteTime);

// Returns whether the agent may hold an offered packet while its target is
// busy, instead of returning it at once. Offers counts those of the first
// round, this one included; Candidates counts the targets that could take the
// packet now, the chosen one included.
bool mayBeHeld(uint8_t FurtherRounds, size_t Offers, size_t Candidates);

// Returns whether the timeout expires before the expected wait is over.
// Timeout is that of a new request of the route.
bool expiresBeforeService(const OpeningProgress &Progress,
                          base::Duration Timeout);

// Returns what to do with a packet that all targets of its last round have
// returned. Preconditions: the route repeats offers, see repeatsOffers();
// Timeout is that of a new request of the route.
RoundStep nextRound(const OpeningProgress &Progress,
                    base::Duration OpeningAttempt, base::Duration Timeout);

} // namespace burdockstream::flows

#endif
