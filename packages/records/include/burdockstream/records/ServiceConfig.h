// Configuration of a service as parsed from its record. Records of schema
// versions 1 and 2 are both parsed into it, so its users need not distinguish
// schema versions.
#ifndef BURDOCKSTREAM_RECORDS_SERVICECONFIG_H
#define BURDOCKSTREAM_RECORDS_SERVICECONFIG_H

#include "burdockstream/base/Ids.h"
#include "burdockstream/base/SocketAddress.h"
#include "burdockstream/base/Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace burdockstream::records {

// Class of a request by how long it occupies a slot of an endpoint.
enum class WorkClass : uint8_t { Short, Long };

// Weight of each endpoint in one failure domain, relative to other endpoints.
struct DomainShare {
  std::string FailureDomain;
  uint32_t Weight = 0;

  friend bool operator==(const DomainShare &, const DomainShare &) = default;
};

// Weight of the endpoint at one data address, relative to other endpoints.
struct EndpointShare {
  base::SocketAddress Address;
  uint32_t Weight = 0;

  friend bool operator==(const EndpointShare &,
                         const EndpointShare &) = default;
};

// Properties of the requests whose path starts with PathPrefix. If several
// rules match a path, the one with the longest prefix applies.
struct ClassRule {
  std::string PathPrefix;
  WorkClass Class = WorkClass::Short;
  bool Idempotent = true;
  // Run time at the endpoint; zero if the record states none.
  base::Duration ExpectedRunTime{0};

  friend bool operator==(const ClassRule &, const ClassRule &) = default;
};

inline constexpr uint16_t DefaultBuckets = 256;
inline constexpr uint32_t DefaultWeight = 100;
inline constexpr uint16_t DefaultSlots = 2;
inline constexpr uint32_t DefaultConnections = 2000;
inline constexpr base::Duration DefaultDrainTimeout = std::chrono::seconds(30);

struct ServiceConfig {
  std::string Service;
  base::ServiceId Id;
  std::string Team;
  base::SocketAddress Address; // where callers send their datagrams
  int SchemaVersion = 2;
  base::Revision StoreRevision = 0;
  bool Retired = false;
  uint16_t Buckets = DefaultBuckets;
  // A domain that is not listed has DefaultWeight.
  std::vector<DomainShare> DomainShares;
  std::vector<EndpointShare> EndpointShares; // override DomainShares
  std::vector<base::SocketAddress> DrainedEndpoints;
  base::Duration DrainTimeout = DefaultDrainTimeout;
  uint16_t SlotsPerEndpoint = DefaultSlots;
  uint32_t ConnectionsPerEndpoint = DefaultConnections;
  std::optional<uint32_t> TeamMaxSlots;
  std::optional<uint32_t> TeamMaxFlows;
  std::vector<ClassRule> Classes;
  // Store revision of the version that claimed Address, if all later versions
  // have kept the address; 0 if this version claims it. Set by the writer; see
  // AddressClaim.h.
  base::Revision AddressSince = 0;
  std::string Nonce; // identifies the write of this version; may be empty

  friend bool operator==(const ServiceConfig &,
                         const ServiceConfig &) = default;
};

} // namespace burdockstream::records

#endif
