// The two deployments of docs/design.md, section 2.4, on loopback addresses,
// and the settings files and service records that they use.
#ifndef BURDOCKSTREAM_E2E_DEPLOYMENT_H
#define BURDOCKSTREAM_E2E_DEPLOYMENT_H

#include "burdockstream/base/SocketAddress.h"

#include <string>
#include <vector>

namespace burdockstream::e2e {

constexpr size_t BucketsPerService = 256;

struct Service {
  std::string Name;
  std::string Team;
  uint16_t EndpointCount = 0;
  base::SocketAddress Address; // destination of caller requests
};

struct Deployment {
  std::string Name;
  std::vector<std::string> FailureDomains;
  std::vector<Service> Services;
  uint16_t SlotsPerEndpoint = 2;
  uint8_t Network = 0; // all addresses are in 127.Network.0.0/16

  // Addresses of the processes; Index counts from 1. Thread safety: any thread.
  base::SocketAddress balancerData(size_t Index) const {
    return address(1, Index, 7000);
  }
  base::SocketAddress balancerControl(size_t Index) const {
    return address(1, Index, 7001);
  }
  base::SocketAddress agentData(size_t Index) const {
    return address(2, Index, 7000);
  }
  base::SocketAddress agentControl(size_t Index) const {
    return address(2, Index, 7001);
  }
  base::SocketAddress endpoint(size_t Index) const {
    return address(3, Index, 5683);
  }
  base::SocketAddress endpointControl(size_t Index) const {
    return address(3, Index, 7700);
  }
  base::SocketAddress store() const { return address(9, 1, 2379); }
  base::SocketAddress fabricUplink() const { return address(8, 1, 7000); }
  base::SocketAddress fabricControl() const { return address(8, 1, 7600); }
  base::SocketAddress callerControl(size_t Index) const {
    return address(11, Index, 7800);
  }
  base::SocketAddress address(uint8_t Group, size_t Index, uint16_t Port) const;
};

// An endpoint and its agent.
struct EndpointPlacement {
  size_t Index = 0; // within the deployment, from 1
  const Service *OwningService = nullptr;
  std::string FailureDomain;
};

// Thread safety: any thread.
Deployment bcInterior();
Deployment mittelland();

// Assigns the endpoints of all services to the failure domains in turn, so that
// consecutive endpoints are in different ones. The result refers to Layout.
// Thread safety: any thread.
std::vector<EndpointPlacement> placeEndpoints(const Deployment &Layout);

// Return the JSON text of a settings file. The token of a team for the
// administration API is "token-of-TEAM". Thread safety: any thread.
std::string balancerSettings(const Deployment &Layout, size_t BalancerCount,
                             size_t Index);
std::string agentSettings(const Deployment &Layout, size_t BalancerCount,
                          const EndpointPlacement &Placement);

// Returns the JSON text of a service record of schema version 1 or 2.
// FirstDomainWeight, used by version 2 only, is the weight of each endpoint in
// the first failure domain; the others have 100. Thread safety: any thread.
std::string recordText(const Deployment &Layout, const Service &Svc,
                       int SchemaVersion, unsigned FirstDomainWeight = 100);

} // namespace burdockstream::e2e

#endif
