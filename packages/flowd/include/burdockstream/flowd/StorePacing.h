// How often a balancer calls the store. The store is paid by the call and its
// rates grow more slowly than the fleet, so each balancer calls less often the
// larger the fleet is. The number of agents stands for the size of the fleet:
// no process has a list of balancers, and fleets have fewer balancers than
// agents.
//
// Load patterns that the rules answer:
// - A release: a target leaves and another one starts each second. The changes
//   of some seconds come in one answer to each balancer. Where a decision needs
//   the newest list, the balancer asks for it at once (Watch::catchUp).
// - A fleet at rest: watch calls end without an event. Among many balancers one
//   ends often enough, and agents tell the others what it brought.
// - A fleet whose processes all started together: their calls must not end
//   together ever after.
#ifndef BURDOCKSTREAM_FLOWD_STOREPACING_H
#define BURDOCKSTREAM_FLOWD_STOREPACING_H

#include "burdockstream/base/Random.h"
#include "burdockstream/base/Time.h"

#include <cstddef>

namespace burdockstream::flowd {

// The bound for routes to be in force is some seconds, and agents send openings
// of a balancer with old routes back after one.
inline constexpr base::Duration RoutesPause = std::chrono::milliseconds(500);

// A release replaces about a target a second whatever the fleet's size, so the
// share of targets that are not known yet stays at some percent.
inline constexpr base::Duration AgentsPausePerAgent =
    std::chrono::milliseconds(60);
inline constexpr base::Duration ShortestAgentsPause = std::chrono::seconds(1);
inline constexpr base::Duration LongestAgentsPause = std::chrono::seconds(10);

// A call that has gone silent is noticed when its wait is over. The shortest
// one is for fleets of a few balancers, which nobody else tells; the longest
// one is below the 30 s that the store allows.
inline constexpr base::Duration WaitPerAgent = std::chrono::milliseconds(150);
inline constexpr base::Duration ShortestWait = std::chrono::seconds(5);
inline constexpr base::Duration LongestWait = std::chrono::seconds(25);

// Returns for how long changes of the list of agents are collected. Thread
// safety: any thread.
base::Duration agentsPause(size_t Agents);

// Returns how long the store may hold the next watch call: by chance between
// half and all of what the fleet's size allows. Thread safety: as Random.
base::Duration watchWait(size_t Agents, base::RandomSource &Random);

} // namespace burdockstream::flowd

#endif
