// Which other balancers a balancer asks for their state, and when. A state has
// all routes and agents, some ten kilobytes for hundreds of machines.
//
// Load patterns that the rules answer:
// - A fleet that starts, or all of whose balancers restart: each hears of many
//   others. If each asked all of them, the states would cross the links between
//   failure domains a number of times that grows with the square of the fleet.
//   A few that know agents are enough.
// - A change of configuration: agents tell of it within milliseconds, before
// most
//   balancers have read it from the store themselves. Only one that has not
//   read it soon after is cut off, and asks.
#ifndef BURDOCKSTREAM_FLOWD_PEERQUESTIONS_H
#define BURDOCKSTREAM_FLOWD_PEERQUESTIONS_H

#include "burdockstream/base/Ids.h"
#include "burdockstream/base/SocketAddress.h"
#include "burdockstream/base/Time.h"
#include "burdockstream/flowd/StorePacing.h"

#include <optional>
#include <set>

namespace burdockstream::flowd {

// Peers that have named agents; two, because one may have been cut off.
inline constexpr size_t EnoughPeers = 2;

// How long the balancer's own watch may take to bring new routes: its pause and
// a slow answer. Agents send its openings back only a second after they know of
// newer routes.
inline constexpr base::Duration OwnWatchTime =
    RoutesPause + std::chrono::milliseconds(200);

// Thread safety, for all methods: one thread at a time.
class PeerQuestions {
public:
  // Peer has been heard of. Returns whether it is to be asked which agents it
  // knows.
  bool meet(base::SocketAddress Peer) {
    return Useful < EnoughPeers && Known.insert(Peer).second;
  }

  // A peer has answered with this many agents.
  void noteAnswer(size_t Agents) { Useful += Agents > 0 ? 1 : 0; }

  // Routes of Revision are in force at Peer.
  void noteNewerRoutes(base::Revision Revision, base::SocketAddress Peer,
                       base::TimePoint Now) {
    if (Newer && Newer->Revision >= Revision)
      return;
    Newer = {Revision, Peer, Now + OwnWatchTime};
  }

  // Returns the peer to ask for routes now, if Own is still older. Each peer
  // that was noted is returned once.
  std::optional<base::SocketAddress> dueForRoutes(base::Revision Own,
                                                  base::TimePoint Now) {
    if (!Newer || Newer->Asked || Now < Newer->Due || Own >= Newer->Revision)
      return std::nullopt;
    Newer->Asked = true;
    return Newer->Peer;
  }

  // The question for routes has failed: the next notice counts again.
  void forgetNewerRoutes() { Newer.reset(); }

  const std::set<base::SocketAddress> &known() const { return Known; }

private:
  struct NewerRoutes {
    base::Revision Revision = 0;
    base::SocketAddress Peer;
    base::TimePoint Due;
    bool Asked = false;
  };
  std::set<base::SocketAddress> Known; // that were asked at least once
  size_t Useful = 0;                   // answers that named agents
  std::optional<NewerRoutes> Newer;
};

} // namespace burdockstream::flowd

#endif
