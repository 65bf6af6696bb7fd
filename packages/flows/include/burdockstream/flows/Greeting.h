// Which agents a balancer greets, and so hears of every fraction of a second.
// The others it knows from the store's list only.
//
// Load patterns that the rule answers:
// - A fleet that grows: a balancer that greeted all agents, and was told by all
//   of them, would spend control traffic in proportion to the whole fleet. It
//   greets the agents of its own failure domain, where it places most flows,
//   and a few others of each service for work that its domain cannot take. The
//   few differ from balancer to balancer, so that overflow spreads evenly.
// - A failure domain without targets of a service: more are greeted elsewhere.
// - Flows at other agents, which an overload or the loss of a balancer brought:
//   an agent that is needed is greeted, so that its loss is noticed.
// - A restart of everything: a balancer that has just started does not know
//   which listed agents live. It greets all of them for a moment, so that flows
//   whose targets are gone are reset without further delay.
// - Entries that lapse in the store: an agent that is not listed is greeted; if
//   it answers it stays in use.
#ifndef BURDOCKSTREAM_FLOWS_GREETING_H
#define BURDOCKSTREAM_FLOWS_GREETING_H

#include "burdockstream/flows/TargetTable.h"

#include <optional>
#include <string>
#include <vector>

namespace burdockstream::flows {

// Agents of other failure domains that a balancer greets for each service: two
// may be busy or about to leave.
inline constexpr size_t MinFarGreeted = 4;

// Agents that a balancer greets for each service at least, if there are as
// many: a fleet of this size is known whole.
inline constexpr size_t MinGreeted = 10;

// An agent that was needed is greeted for this much longer. A tablet asks about
// once a second.
inline constexpr base::Duration NeededTime = std::chrono::seconds(10);

// For how long after its first list a balancer greets all agents: an agent that
// does not answer counts as lost before it ends.
inline constexpr base::Duration GreetAllTime =
    NeverHeard + std::chrono::milliseconds(500);

// Agents that it greets all together at most: about 15 KB of greetings, and as
// much again of answers each quarter of a second.
inline constexpr size_t MaxGreetedTogether = 256;

// The balancer that greets.
struct Greeter {
  base::SocketAddress Address;
  std::string FailureDomain;
  std::optional<base::TimePoint> ListKnownSince; // of its first list
};

// Marks the agents of Targets that the balancer Self greets from now on. Thread
// safety: any thread.
void chooseGreeted(TargetTable &Targets, const Greeter &Self,
                   base::TimePoint Now);

} // namespace burdockstream::flows

#endif
