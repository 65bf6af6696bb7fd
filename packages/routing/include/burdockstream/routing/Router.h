// Chooses the agent for each caller datagram that a balancer receives: maps the
// service address to the service, the flow to its bucket, and the bucket to the
// data address of the agent.
#ifndef BURDOCKSTREAM_ROUTING_ROUTER_H
#define BURDOCKSTREAM_ROUTING_ROUTER_H

#include "burdockstream/messages/Messages.h"
#include "burdockstream/records/ServiceConfig.h"
#include "burdockstream/routing/BucketTable.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace burdockstream::routing {

// The destination of a caller datagram.
struct Route {
  base::ServiceId Service;
  base::BucketIndex Bucket = 0;
  base::DaemonId Agent;
  base::SocketAddress AgentDataAddress;
};

// Event counts of a Router since its construction.
struct RouterCounters {
  uint64_t Routed = 0;                  // datagrams
  uint64_t UnknownServiceAddress = 0;   // datagrams dropped
  uint64_t ServiceWithoutEndpoints = 0; // datagrams dropped
  uint64_t TableBuilds = 0;
  uint64_t StaleConfigs = 0; // records ignored, older than the current one
  // Records found to name the address of another service's record; counted
  // again whenever a record that names or named the address is set.
  uint64_t AddressConflicts = 0;
};

// Holds the current record, members and bucket table of every service and
// routes datagrams by them. Thread safety: event loop thread only.
class Router {
public:
  // HashSeed is the hash seed of the cluster. It must be equal in all
  // balancers, or they route the same flow to different agents.
  explicit Router(uint64_t HashSeed) : Seed(HashSeed) {}

  // Returns the route of a datagram from Caller to ServiceAddress, or nothing
  // if it must be dropped: no service has the address, or the service has no
  // usable endpoint. Counts the outcome. Called for every datagram; allocates
  // no memory.
  std::optional<Route> route(base::SocketAddress ServiceAddress,
                             base::SocketAddress Caller);

  // Makes Config the current record of its service, unless the current one has
  // a higher store revision. A retired record stops the routing to the service.
  // If the records of several services name the same address, the service that
  // claimed it first is routed to (records/AddressClaim.h). Returns whether the
  // bucket table changed; false for a retired record.
  bool setConfig(const records::ServiceConfig &Config);

  // Replaces the members of Service. May be called before the record of the
  // service is known; the table is then built by setConfig(). Returns whether
  // the bucket table changed; false while the record is unknown or retired.
  bool setMembers(base::ServiceId Service,
                  std::vector<messages::MemberInfo> Members);

  // Returns the bucket table of Service, or null if its record is unknown or
  // retired. The pointer is valid until the next call of a non-const method.
  const BucketTable *table(base::ServiceId Service) const;

  // Returns the current record of Service, or null if it is unknown or retired.
  // The pointer is valid until the next call of a non-const method.
  const records::ServiceConfig *config(base::ServiceId Service) const;

  const RouterCounters &counters() const { return Counters; }

private:
  struct ServiceState {
    // Retired records are kept, so that older revisions are still refused.
    std::optional<records::ServiceConfig> Config;
    std::vector<messages::MemberInfo> Members;
    BucketTable Table;
    std::vector<TableMember> TableInput; // members that Table was built from
  };

  // Rebuilds the table of State if its input has changed. Returns whether the
  // table changed.
  bool rebuildTable(ServiceState &State);
  // Maps Address to the service with the earliest claim to it, or to none.
  void remapAddress(base::SocketAddress Address);

  uint64_t Seed;
  // The states are allocated separately, so that pointers to them remain valid
  // when the map is rehashed.
  std::unordered_map<base::ServiceId, std::unique_ptr<ServiceState>> Services;
  std::unordered_map<base::SocketAddress, const ServiceState *>
      ServiceByAddress;
  RouterCounters Counters;
};

} // namespace burdockstream::routing

#endif
