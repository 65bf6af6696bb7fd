// Chooses the agents whose status a balancer subscribes to. It sends hellos to
// these agents and gets their statuses several times a second; it knows all
// other agents from the store's list only.
//
// The choice accounts for these situations:
// - Large fleets: with a subscription to every agent, control traffic would
//   grow with the whole fleet. A balancer subscribes to the agents of its own
//   failure domain, where it places most flows, and to a few remote agents
//   per service for load that its domain cannot take. The remote agents
//   differ between balancers, so that overflow is spread evenly.
// - A failure domain with few or no targets of a service, or one that is
//   evacuated: the balancer subscribes to more remote agents.
// - Flows at remote agents, after an overload or the loss of a balancer: an
//   agent in use is subscribed to, so that its loss is detected.
// - A restart of all processes: a balancer that has just started does not
//   know which listed agents are alive. It subscribes to all of them for a
//   short time, so that flows of lost targets are reset without further
//   delay.
// - An address that another service uses again: an agent whose entry
// contradicts
//   its last status is subscribed to until it has sent the next one.
// - Entries that expire in the store: an agent that is not listed is
//   subscribed to, and stays in use if it answers.
#ifndef BURDOCKSTREAM_FLOWS_STATUSSUBSCRIPTION_H
#define BURDOCKSTREAM_FLOWS_STATUSSUBSCRIPTION_H

#include "burdockstream/flows/TargetTable.h"

#include <optional>
#include <string>
#include <vector>

namespace burdockstream::flows {

// Minimum number of remote agents per service, if there are as many: two of
// them may be busy or about to leave.
inline constexpr size_t MinRemoteSubscribed = 4;

// Minimum number of agents per service in all failure domains, if there are as
// many: a balancer subscribes to all agents of a service of up to this size.
inline constexpr size_t MinSubscribed = 10;

// A subscription to an agent in use lasts this long after the last use. Client
// devices send about one request per second.
inline constexpr base::Duration RecentUsePeriod = std::chrono::seconds(10);

// How long a balancer subscribes to all agents after its first list. It exceeds
// FirstStatusTimeout, so that agents without an answer count as lost by its
// end.
inline constexpr base::Duration SubscribeAllPeriod =
    FirstStatusTimeout + std::chrono::milliseconds(500);

// Largest fleet for which a balancer subscribes to all agents at its start:
// about 15 KB of hellos, and as many bytes of statuses every 250 ms.
inline constexpr size_t MaxSubscribedAtStart = 256;

// The balancer that subscribes.
struct Subscriber {
  base::SocketAddress Address;
  std::string FailureDomain;
  std::optional<base::TimePoint> ListKnownSince; // arrival of its first list
};

// Updates Target::Subscribed of all targets for the balancer Self; new
// subscriptions get a hello at once. Not thread-safe.
void chooseSubscriptions(TargetTable &Targets, const Subscriber &Self,
                         base::TimePoint Now);

} // namespace burdockstream::flows

#endif
