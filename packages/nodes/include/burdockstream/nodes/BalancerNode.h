// A balancer without I/O: connects membership, routing, records and the
// arbiter. The data path uses router() directly; everything else comes through
// the events below.
#ifndef BURDOCKSTREAM_NODES_BALANCERNODE_H
#define BURDOCKSTREAM_NODES_BALANCERNODE_H

#include "burdockstream/base/Metrics.h"
#include "burdockstream/base/Random.h"
#include "burdockstream/membership/BalancerMembership.h"
#include "burdockstream/nodes/Actions.h"
#include "burdockstream/ownership/Arbiter.h"
#include "burdockstream/records/RecordSet.h"
#include "burdockstream/routing/Router.h"

#include <vector>

namespace burdockstream::nodes {

struct BalancerNodeSettings {
  messages::MemberInfo Self; // id, addresses, failure domain
  std::vector<membership::BalancerLocation> Entries;
  uint64_t HashSeed = 0;
};

// Thread safety: loop thread only, for all methods.
class BalancerNode {
public:
  // Random and Registry must outlive the node.
  BalancerNode(const BalancerNodeSettings &InitSettings,
               base::RandomSource &Random, base::Metrics &Registry,
               base::Now Now);
  BalancerNode(const BalancerNode &) = delete;
  BalancerNode &operator=(const BalancerNode &) = delete;

  // Begins to join the group. Call once, first.
  void start(base::Now Now, ActionSink &Out);

  // Handles an authenticated message of another daemon.
  void onMessage(const messages::Message &Body, base::SocketAddress From,
                 base::Now Now, ActionSink &Out);

  // Takes a record that was read from or written to the store.
  void onStoreRecord(const messages::RecordEntry &Record, base::Now Now,
                     ActionSink &Out);

  // Starts the graceful shutdown, which ends with Finished. Callers' datagrams
  // are forwarded until then.
  void beginShutdown(base::Now Now, ActionSink &Out);

  // Does what is due.
  void tick(base::Now Now, ActionSink &Out);

  // Returns when tick() must be called next.
  base::TimePoint nextDeadline() const;

  routing::Router &router() { return Router; }
  const routing::Router &router() const { return Router; }
  const membership::BalancerMembership &membership() const {
    return Membership;
  }
  const records::RecordSet &records() const { return Records; }

  // Returns whether the balancer has joined the group and its arbiter answers
  // again. Replacing the next balancer earlier could leave a service without a
  // majority of arbiters.
  bool isReady(base::Now Now) const;

private:
  void performMembership(base::Now Now, ActionSink &Out);
  void adopt(const messages::RecordEntry &Record);

  membership::BalancerMembership Membership;
  routing::Router Router;
  records::RecordSet Records;
  ownership::Arbiter Arbiter;
  membership::ActionSink MembershipOut;
  bool AnnouncedReady = false;
  bool ShuttingDown = false;
  base::TimePoint ArbiterReady;
  base::TimePoint ExitTime = base::Never;
  base::Counter &LeasesGranted;
  base::Counter &FencesGranted;
  base::Counter &RecordsRefused;
};

} // namespace burdockstream::nodes

#endif
