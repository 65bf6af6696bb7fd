// A balancer without I/O: connects membership, routing, records and the lease
// arbiter. The data path calls router() directly; everything else comes in as
// method calls, and actions go out through an ActionSink.
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
  std::vector<membership::BalancerLocation> ConfiguredBalancers;
  uint64_t HashSeed = 0;
};

// One balancer. Thread safety: loop thread only, for all methods. Every method
// that takes a sink appends to it.
class BalancerNode {
public:
  // Random and Registry must outlive the node.
  BalancerNode(const BalancerNodeSettings &InitSettings,
               base::RandomSource &Random, base::Metrics &Registry,
               base::Now Now);
  BalancerNode(const BalancerNode &) = delete;
  BalancerNode &operator=(const BalancerNode &) = delete;

  // Starts to join the group of balancers. Precondition: called once, before
  // any other method.
  void start(base::Now Now, ActionSink &Out);

  // Handles an authenticated message from another daemon.
  void onMessage(const messages::Message &Body, base::SocketAddress From,
                 base::Now Now, ActionSink &Out);

  // Applies a configuration record that was read from or written to the store.
  void onStoreRecord(const messages::RecordEntry &Record, base::Now Now,
                     ActionSink &Out);

  // Starts the graceful shutdown, which ends with ShutdownComplete. Caller
  // datagrams are forwarded until then. Further calls have no effect.
  void beginShutdown(base::Now Now, ActionSink &Out);

  // Performs all work whose deadline has passed.
  void tick(base::Now Now, ActionSink &Out);

  // Returns when tick() must be called next.
  base::TimePoint nextDeadline() const;

  // The router for the data path, and state for the administration API.
  routing::Router &router() { return Router; }
  const routing::Router &router() const { return Router; }
  const membership::BalancerMembership &membership() const {
    return Membership;
  }
  const records::RecordSet &records() const { return Records; }

  // Returns whether the balancer has joined the group and its arbiter answers
  // requests, which it does not do for a while after a restart. A rolling
  // restart that goes on to the next balancer earlier could leave a service
  // without a majority of arbiters.
  bool isReady(base::Now Now) const;

private:
  void performMembership(base::Now Now, ActionSink &Out);
  void applyRecord(const messages::RecordEntry &Record);

  membership::BalancerMembership Membership;
  routing::Router Router;
  records::RecordSet Records;
  ownership::Arbiter Arbiter;
  membership::ActionSink MembershipOut;
  bool AnnouncedReady = false;
  bool ShuttingDown = false;
  base::TimePoint ArbiterReadyTime;
  base::TimePoint ExitTime = base::Never;
  base::Counter &LeasesGranted;
  base::Counter &FencesGranted;
  base::Counter &RecordsRefused;
};

} // namespace burdockstream::nodes

#endif
