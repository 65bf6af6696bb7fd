// Selects an agent's home balancers, which receive its announcements and detect
// its failure, by rendezvous hashing of the agent's id over the live balancers.
// The second home is in another failure domain than the first if there is one,
// so that the loss of a domain leaves one home. Also ranks the balancers of a
// failure domain for the election of record watchers.
#ifndef BURDOCKSTREAM_MEMBERSHIP_HOMESELECTION_H
#define BURDOCKSTREAM_MEMBERSHIP_HOMESELECTION_H

#include "burdockstream/base/Ids.h"
#include "burdockstream/membership/Settings.h"

#include <functional>
#include <vector>

namespace burdockstream::membership {

// Returns the indexes in Balancers of the agent's homes, at most two, the one
// with the highest score first. IsLive is called with an index and returns
// whether that balancer may be chosen. Thread safety: any thread.
std::vector<size_t> chooseHomes(base::DaemonId Agent,
                                const std::vector<BalancerLocation> &Balancers,
                                const std::function<bool(size_t)> &IsLive);

// Returns whether Self is one of the agent's homes among LiveBalancers, which
// need not contain Self. Faster than chooseHomes(), because it stops as soon as
// better homes are found: after 14 of 2,000 balancers on average. Thread
// safety: any thread.
bool isHome(base::DaemonId Agent, const BalancerLocation &Self,
            const std::vector<BalancerLocation> &LiveBalancers);

// Returns Self's rank, starting at 0, among the live balancers of its failure
// domain, ordered by rendezvous hashing. The rank spreads the attempts to
// become a record watcher over time. Thread safety: any thread.
size_t watcherRank(const BalancerLocation &Self,
                   const std::vector<BalancerLocation> &LiveBalancers);

} // namespace burdockstream::membership

#endif
