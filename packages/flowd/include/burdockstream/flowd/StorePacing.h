// Call rates of a balancer to the store. The store charges per call, and its
// rate limits grow more slowly than the fleet, so each balancer calls less
// often in a larger fleet. The number of agents serves as the fleet size: no
// process has a list of all balancers, and a fleet has fewer balancers than
// agents.
//
// Load patterns that determine the rates:
// - A rolling release: each second one target stops and another one starts.
//   Each balancer receives the changes of several seconds in one answer. Where
//   a decision needs the current list, the balancer requests it immediately
//   with Watch::catchUp().
// - An idle fleet: watch calls end without an event. Among many balancers, the
//   call of one ends often enough, and agents announce what it received to the
//   others.
// - All processes start together: without jitter, their watch calls would end
//   together from then on.
#ifndef BURDOCKSTREAM_FLOWD_STOREPACING_H
#define BURDOCKSTREAM_FLOWD_STOREPACING_H

#include "burdockstream/base/Random.h"
#include "burdockstream/base/Time.h"

#include <cstddef>

namespace burdockstream::flowd {

// Time over which changes of routes are batched. Routes must be in force within
// a few seconds, and agents return opening packets of a balancer with old
// routes after one second.
inline constexpr base::Duration RoutesBatchDelay =
    std::chrono::milliseconds(500);

// A release replaces about one target per second regardless of the fleet size.
// A delay proportional to the number of agents keeps the share of targets that
// a balancer does not know yet at a few percent.
inline constexpr base::Duration AgentsBatchDelayPerAgent =
    std::chrono::milliseconds(60);
inline constexpr base::Duration MinAgentsBatchDelay = std::chrono::seconds(1);
inline constexpr base::Duration MaxAgentsBatchDelay = std::chrono::seconds(10);

// A watch call that gets no answer is detected when its timeout expires. The
// minimum is for fleets with few balancers, where no other process announces
// changes; the maximum is below the 30 s that the store allows.
inline constexpr base::Duration WatchTimeoutPerAgent =
    std::chrono::milliseconds(150);
inline constexpr base::Duration MinWatchTimeout = std::chrono::seconds(5);
inline constexpr base::Duration MaxWatchTimeout = std::chrono::seconds(25);

// Returns the time over which changes of the agent list are batched in a fleet
// of this many agents. Thread safety: any thread.
base::Duration agentsBatchDelay(size_t Agents);

// Returns how long the store may hold the next watch call: a random time
// between half of the timeout for this fleet size and all of it. Thread safety:
// that of Random.
base::Duration watchTimeout(size_t Agents, base::RandomSource &Random);

} // namespace burdockstream::flowd

#endif
