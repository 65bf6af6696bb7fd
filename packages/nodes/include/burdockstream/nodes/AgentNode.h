// An agent without I/O: connects membership, ownership and request handling.
// Events come in as method calls and actions go out through an ActionSink. The
// daemon drives it from sockets and the store, tests drive it in virtual time.
#ifndef BURDOCKSTREAM_NODES_AGENTNODE_H
#define BURDOCKSTREAM_NODES_AGENTNODE_H

#include "burdockstream/base/Metrics.h"
#include "burdockstream/base/Random.h"
#include "burdockstream/membership/AgentMembership.h"
#include "burdockstream/nodes/Actions.h"
#include "burdockstream/nodes/EndpointHealth.h"
#include "burdockstream/ownership/OwnershipCore.h"
#include "burdockstream/records/ServiceConfig.h"
#include "burdockstream/requests/RequestCore.h"
#include "burdockstream/routing/BucketTable.h"

#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace burdockstream::nodes::internal {
enum class EndpointEvent : uint8_t;
} // namespace burdockstream::nodes::internal

namespace burdockstream::nodes {

struct AgentNodeSettings {
  messages::MemberInfo Self; // id, service, addresses, failure domain
  std::string Service;
  std::vector<membership::BalancerLocation> ConfiguredBalancers;
  std::optional<uint16_t> Slots; // overrides SlotsPerEndpoint of the record
};

// An agent of one service. Thread safety: loop thread only, for all methods.
// Every method that takes a sink appends to it.
class AgentNode {
public:
  // Random and Registry must outlive the node.
  AgentNode(AgentNodeSettings InitSettings, base::RandomSource &InitRandom,
            base::Metrics &Registry);
  ~AgentNode();
  AgentNode(const AgentNode &) = delete;
  AgentNode &operator=(const AgentNode &) = delete;

  // Starts to announce the agent to its balancers. Precondition: called once,
  // before any other method.
  void start(base::Now Now, ActionSink &Out);

  // Handles an authenticated message from another daemon.
  void onMessage(const messages::Message &Body, base::DaemonId Sender,
                 base::SocketAddress From, base::Now Now, ActionSink &Out);

  // Handles a CoAP datagram from the agent's own endpoint.
  void onEndpoint(std::span<const uint8_t> Datagram, base::Now Now,
                  ActionSink &Out);

  // Handles the endpoint's answer to a ping.
  void onEndpointPong(base::Now Now, ActionSink &Out);

  // Handle the JSON-RPC calls bucket.transfer and bucket.transferred of other
  // agents.
  void onTransfer(const messages::BucketTransfer &Transfer, base::Now Now,
                  ActionSink &Out);
  void onTransferAck(const messages::BucketTransferAck &Ack, base::Now Now,
                     ActionSink &Out);

  // Handles the outcome of ReadOwners or SwapOwners.
  void onStoreResult(const ownership::StoreResult &Result, base::Now Now,
                     ActionSink &Out);

  // Starts the graceful shutdown, which ends with ShutdownComplete. Further
  // calls have no effect.
  void beginShutdown(base::Now Now, ActionSink &Out);

  // Performs all work whose deadline has passed.
  void tick(base::Now Now, ActionSink &Out);

  // Returns when tick() must be called next.
  base::TimePoint nextDeadline() const;

  // State for the administration API. configuration() and ownership() are null
  // until the service's record is known.
  const membership::AgentMembership &membership() const { return Membership; }
  const records::ServiceConfig *configuration() const {
    return Config ? &*Config : nullptr;
  }
  const ownership::OwnershipCore *ownership() const { return Ownership.get(); }
  const requests::RequestCore &requests() const { return Requests; }
  // Returns whether the agent announces itself as ready for requests.
  bool isReady() const;

private:
  // A handover that is delayed until callers have acknowledged the outstanding
  // notifications, but not beyond Deadline.
  struct PendingExport {
    messages::MemberInfo To;
    std::vector<ownership::ExportedBucket> Buckets;
    base::TimePoint Deadline;
  };

  // Each performs the pending actions of one module or converts them to actions
  // of the node.
  void performMembership(base::Now Now, ActionSink &Out);
  void performOwnership(base::Now Now, ActionSink &Out);
  void performRequests(ActionSink &Out);
  void perform(const ownership::OwnershipAction &NextAction, base::Now Now,
               ActionSink &Out);

  void applyRecord(const messages::RecordEntry &Entry, base::Now Now,
                   ActionSink &Out);
  void refreshMembers(base::Now Now, ActionSink &Out);
  void refreshAuthorities(base::Now Now);
  void refreshState(base::Now Now, ActionSink &Out);
  void importBuckets(const ownership::ImportBuckets &Import, base::Now Now,
                     ActionSink &Out);
  void startExport(const ownership::ExportBuckets &Export, base::Now Now);
  void finishExports(base::Now Now, ActionSink &Out);
  bool notificationsAcknowledged(const PendingExport &Export) const;
  void applyEvent(internal::EndpointEvent Event, base::Now Now);
  void continueShutdown(base::Now Now, ActionSink &Out);
  void onForward(const messages::Forward &Packet, base::Now Now,
                 ActionSink &Out);
  std::optional<base::DaemonId>
  choosePeer(const requests::MoveQuery &Query) const;
  requests::Hooks requestHooks();
  messages::MemberInfo initialSelf() const;
  base::SocketAddress selectIngress(base::SocketAddress Preferred) const;

  AgentNodeSettings Settings;
  base::RandomSource &Random;
  base::Metrics &Registry;
  membership::AgentMembership Membership;
  requests::RequestCore Requests;
  EndpointHealth Health;
  std::optional<records::ServiceConfig> Config;
  std::unique_ptr<ownership::OwnershipCore> Ownership;
  routing::BucketTable Table;
  base::TimePoint AppliedLeaseEnd = base::TimePoint::min();
  std::vector<PendingExport> Exports;
  // The transfer that onTransfer() is handling, null otherwise.
  const messages::BucketTransfer *CurrentTransfer = nullptr;
  membership::ActionSink MembershipOut;
  ownership::OwnershipSink OwnershipOut;
  requests::Sink RequestsOut;
  bool ShuttingDown = false;
  bool BucketsDrained = false;
  base::TimePoint OwnersDeadline = base::Never;
  base::TimePoint DrainDeadline = base::Never;
  base::TimePoint ExitDeadline = base::Never;
  base::Counter &DroppedBeforeRecord;
  base::Counter &DroppedBadBucket;
};

} // namespace burdockstream::nodes

#endif
