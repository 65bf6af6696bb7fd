// An agent without I/O: connects membership, ownership and request handling.
// The daemon feeds it from sockets and the store; tests feed it in virtual
// time.
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
  std::vector<membership::BalancerLocation> Entries;
  std::optional<uint16_t> Slots; // overrides the record's slots
};

// Thread safety: loop thread only, for all methods.
class AgentNode {
public:
  // Random and Registry must outlive the node.
  AgentNode(AgentNodeSettings InitSettings, base::RandomSource &InitRandom,
            base::Metrics &Registry);
  ~AgentNode();
  AgentNode(const AgentNode &) = delete;
  AgentNode &operator=(const AgentNode &) = delete;

  // Begins to announce the agent. Call once, first.
  void start(base::Now Now, ActionSink &Out);

  // Handles an authenticated message of another daemon.
  void onMessage(const messages::Message &Body, base::DaemonId Sender,
                 base::SocketAddress From, base::Now Now, ActionSink &Out);

  // Handles a datagram of the agent's own endpoint.
  void onEndpoint(std::span<const uint8_t> Datagram, base::Now Now,
                  ActionSink &Out);

  // Handles the endpoint's sign of life.
  void onEndpointPong(base::Now Now, ActionSink &Out);

  // Handles the JSON-RPC calls of other agents.
  void onTransfer(const messages::BucketTransfer &Transfer, base::Now Now,
                  ActionSink &Out);
  void onTransferAck(const messages::BucketTransferAck &Ack, base::Now Now,
                     ActionSink &Out);

  // Handles the outcome of ReadOwners or SwapOwners.
  void onStoreResult(const ownership::StoreResult &Result, base::Now Now,
                     ActionSink &Out);

  // Starts the graceful shutdown, which ends with Finished.
  void beginShutdown(base::Now Now, ActionSink &Out);

  // Does what is due.
  void tick(base::Now Now, ActionSink &Out);

  // Returns when tick() must be called next.
  base::TimePoint nextDeadline() const;

  // For the administration API. configuration() is null until a record is
  // known, and so is ownership().
  const membership::AgentMembership &membership() const { return Membership; }
  const records::ServiceConfig *configuration() const {
    return Config ? &*Config : nullptr;
  }
  const ownership::OwnershipCore *ownership() const { return Ownership.get(); }
  const requests::RequestCore &requests() const { return Requests; }
  bool isReady() const;

private:
  // A handover whose notifications still wait for acknowledgments of callers.
  struct PendingExport {
    messages::MemberInfo To;
    std::vector<ownership::ExportedBucket> Buckets;
    base::TimePoint Deadline;
  };

  // Each takes the actions of one module and translates or performs them.
  void performMembership(base::Now Now, ActionSink &Out);
  void performOwnership(base::Now Now, ActionSink &Out);
  void performRequests(ActionSink &Out);
  void perform(const ownership::OwnershipAction &Wanted, base::Now Now,
               ActionSink &Out);

  void adoptRecord(const messages::RecordEntry &Entry, base::Now Now,
                   ActionSink &Out);
  void refreshMembers(base::Now Now, ActionSink &Out);
  void refreshAuthorities(base::Now Now);
  void refreshState(base::Now Now, ActionSink &Out);
  void importBuckets(const ownership::ImportBuckets &Wanted, base::Now Now,
                     ActionSink &Out);
  void startExport(const ownership::ExportBuckets &Wanted, base::Now Now);
  void finishExports(base::Now Now, ActionSink &Out);
  bool isQuiet(const PendingExport &Export) const;
  void announce(internal::EndpointEvent Event, base::Now Now);
  void continueShutdown(base::Now Now, ActionSink &Out);
  void onForward(const messages::Forward &Packet, base::Now Now,
                 ActionSink &Out);
  std::optional<base::DaemonId>
  choosePeer(const requests::MoveQuery &Query) const;
  requests::Hooks requestHooks();
  messages::MemberInfo initialSelf() const;
  base::SocketAddress liveIngress(base::SocketAddress Preferred) const;

  AgentNodeSettings Settings;
  base::RandomSource &Random;
  base::Metrics &Registry;
  membership::AgentMembership Membership;
  requests::RequestCore Requests;
  EndpointHealth Health;
  std::optional<records::ServiceConfig> Config;
  std::unique_ptr<ownership::OwnershipCore> Ownership;
  routing::BucketTable Table;
  base::TimePoint KnownLeaseEnd = base::TimePoint::min();
  std::vector<PendingExport> Exports;
  const messages::BucketTransfer *CurrentTransfer = nullptr;
  membership::ActionSink MembershipOut;
  ownership::OwnershipSink OwnershipOut;
  requests::Sink RequestsOut;
  bool ShuttingDown = false;
  bool BucketsGone = false;
  base::TimePoint OwnersWait = base::Never;
  base::TimePoint DrainDeadline = base::Never;
  base::TimePoint ExitDeadline = base::Never;
  base::Counter &DroppedBeforeRecord;
  base::Counter &DroppedBadBucket;
};

} // namespace burdockstream::nodes

#endif
