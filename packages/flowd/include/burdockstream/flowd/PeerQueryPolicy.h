// Decides when a balancer queries other balancers for their state, and which
// ones. A state contains all routes and agents, several tens of kilobytes for
// hundreds of machines, and more than a megabyte with the largest
// configuration.
//
// Load patterns that determine the rules:
// - All balancers of a fleet start or restart together, and each one discovers
//   many others. If each queried all of them, the traffic between failure
//   domains would grow with the square of the fleet size. Therefore queries
//   stop after a few answers that contain agents.
// - A configuration change: agents announce the new revision within
//   milliseconds, before most balancers have read it from the store. Therefore
//   a balancer queries a peer for routes only if its own watch does not deliver
//   them shortly afterwards, which means that it is cut off from the store.
// - A configuration of a megabyte takes a second on the link of a small VM, and
//   longer if a second copy arrives at the same time. Therefore a balancer
//   requests one state with routes at a time, and none while an answer of the
//   store arrives.
#ifndef BURDOCKSTREAM_FLOWD_PEERQUERYPOLICY_H
#define BURDOCKSTREAM_FLOWD_PEERQUERYPOLICY_H

#include "burdockstream/base/Ids.h"
#include "burdockstream/base/SocketAddress.h"
#include "burdockstream/base/Time.h"
#include "burdockstream/flowd/StorePacing.h"

#include <optional>
#include <set>

namespace burdockstream::flowd {

// Number of answers with agents after which no further peers are queried for
// agents. Two, because one of these peers may have been cut off from the store.
inline constexpr size_t SufficientPeers = 2;

// Time that the balancer's own watch needs to deliver new routes: the batching
// delay and a slow answer. It is below the second after which agents return
// opening packets of a balancer that still has older routes.
inline constexpr base::Duration OwnWatchDelay =
    RoutesBatchDelay + std::chrono::milliseconds(200);

// Thread safety, for all methods: one thread at a time.
class PeerQueryPolicy {
public:
  // Records that Peer exists. Returns whether the caller must query it for the
  // agents that it knows.
  bool onPeerDiscovered(base::SocketAddress Peer) {
    return AnswersWithAgents < SufficientPeers && Queried.insert(Peer).second;
  }

  // Records the answer of a peer that lists this number of agents.
  void onAnswer(size_t Agents) { AnswersWithAgents += Agents > 0 ? 1 : 0; }

  // Records that Peer uses the routes of Revision. Ignored unless Revision is
  // newer than the last one recorded.
  void onNewerRoutes(base::Revision Revision, base::SocketAddress Peer,
                     base::TimePoint Now) {
    if (Newer && Newer->Revision >= Revision)
      return;
    Newer = {Revision, Peer, Now + OwnWatchDelay};
  }

  // Returns whether a state with routes may be requested. StoreAnswers: an
  // answer of the store arrives at the moment.
  bool mayQueryState(bool StoreAnswers) const {
    return !StateQueryPending && !StoreAnswers;
  }

  // Records that a state with routes has been requested, or that this query has
  // ended.
  void setStateQueryPending(bool Pending) { StateQueryPending = Pending; }

  // Returns the peer to query for routes now, if the balancer's own revision
  // Own is still older after OwnWatchDelay. Returns each recorded peer once.
  std::optional<base::SocketAddress> takeDueRoutesQuery(base::Revision Own,
                                                        base::TimePoint Now) {
    if (!Newer || Newer->QuerySent || Now < Newer->Due ||
        Own >= Newer->Revision)
      return std::nullopt;
    Newer->QuerySent = true;
    return Newer->Peer;
  }

  // Discards the recorded routes after a failed query, so that the next
  // announcement of them is recorded again.
  void clearNewerRoutes() { Newer.reset(); }

  // Returns the peers that were queried for agents at least once.
  const std::set<base::SocketAddress> &queriedPeers() const { return Queried; }

private:
  struct NewerRoutes {
    base::Revision Revision = 0;
    base::SocketAddress Peer;
    base::TimePoint Due;
    bool QuerySent = false;
  };
  std::set<base::SocketAddress> Queried;
  size_t AnswersWithAgents = 0;
  bool StateQueryPending = false;
  std::optional<NewerRoutes> Newer;
};

} // namespace burdockstream::flowd

#endif
