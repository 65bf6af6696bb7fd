// The arbiter role of a balancer. An arbiter grants leases to agents and
// consents to fences, which confirm that an agent holds no lease. It never has
// an unexpired grant and an unexpired consent for the same agent.
#ifndef BURDOCKSTREAM_OWNERSHIP_ARBITER_H
#define BURDOCKSTREAM_OWNERSHIP_ARBITER_H

#include "burdockstream/messages/Messages.h"
#include "burdockstream/ownership/ArbiterSelection.h"
#include "burdockstream/ownership/Timing.h"

#include <optional>
#include <unordered_map>
#include <vector>

namespace burdockstream::ownership {

class Arbiter {
public:
  // Self is this balancer's address as it appears in BalancerAddresses, the
  // configured list of all balancers. Start is the start time of the process;
  // no request is answered for ArbiterRestartDelay after it. Thread safety:
  // loop thread only.
  Arbiter(base::SocketAddress Self,
          std::vector<base::SocketAddress> BalancerAddresses,
          base::TimePoint Start);

  // Answers a lease request. Returns std::nullopt, and nothing is sent, during
  // ArbiterRestartDelay, if this balancer is not an arbiter of the service or
  // if the request names another arbiter list. Precondition: Now was read after
  // the request was received; an older time would expire the grant too early.
  // Thread safety: loop thread only.
  std::optional<messages::LeaseGrant>
  handle(const messages::LeaseRequest &Request, base::Now Now);

  // Answers a fence request. Return value and precondition are as for lease
  // requests. Thread safety: loop thread only.
  std::optional<messages::FenceConsent>
  handle(const messages::FenceRequest &Request, base::Now Now);

  // Returns the number of agents with a grant or consent that has not been
  // evicted yet. Thread safety: loop thread only.
  size_t agentCount() const { return Agents.size(); }

private:
  struct AgentEntry {
    base::TimePoint GrantedUntil = base::TimePoint::min();
    base::TimePoint FencedUntil = base::TimePoint::min();
  };

  bool shouldAnswer(base::ServiceId Service, uint64_t ListHash, base::Now Now);
  AgentEntry *entryFor(base::DaemonId Agent, base::Now Now);
  void evictExpired(base::Now Now);

  base::SocketAddress Self;
  std::vector<base::SocketAddress> BalancerAddresses;
  base::TimePoint AnswersFrom;
  base::TimePoint NextEviction;
  std::unordered_map<base::DaemonId, AgentEntry> Agents;
  // Cached arbiter list hash per service; zero if this balancer is not an
  // arbiter of the service.
  std::unordered_map<base::ServiceId, uint64_t> ListHashes;
};

} // namespace burdockstream::ownership

#endif
