#include "Deployment.h"

#include <array>
#include <json/writer.h>
#include <sodium.h>

namespace burdockstream::e2e {

namespace {

std::string failureDomain(const Deployment &Layout, size_t Index) {
  return Layout.FailureDomains[(Index - 1) % Layout.FailureDomains.size()];
}

std::string sha256Hex(const std::string &Text) {
  std::array<uint8_t, crypto_hash_sha256_BYTES> Digest{};
  crypto_hash_sha256(Digest.data(),
                     reinterpret_cast<const uint8_t *>(Text.data()),
                     Text.size());
  std::string Hex(2 * Digest.size() + 1, '\0');
  sodium_bin2hex(Hex.data(), Hex.size(), Digest.data(), Digest.size());
  Hex.pop_back();
  return Hex;
}

Json::Value sharedSettings(const Deployment &Layout, size_t BalancerCount) {
  Json::Value Settings;
  for (size_t Index = 1; Index <= BalancerCount; ++Index) {
    Json::Value Entry;
    Entry["data_address"] = base::toString(Layout.balancerData(Index));
    Entry["control_address"] = base::toString(Layout.balancerControl(Index));
    Entry["failure_domain"] = failureDomain(Layout, Index);
    Settings["entries"].append(Entry);
  }
  Settings["hash_seed"] = 20261204;
  Json::Value Key;
  Key["id"] = 1;
  Key["signs"] = true;
  Key["key"] = std::string(32, 'a');
  Settings["datagram_keys"].append(Key);
  Key["key"] = std::string(64, 'b');
  Settings["control_keys"].append(Key);
  Settings["store"]["endpoints"].append(base::toString(Layout.store()));
  for (const Service &Svc : Layout.Services) {
    Json::Value Team;
    Team["name"] = Svc.Team;
    Team["token_sha256"] = sha256Hex("token-of-" + Svc.Team);
    Settings["teams"].append(Team);
  }
  return Settings;
}

std::string toText(const Json::Value &Value) {
  return Json::writeString(Json::StreamWriterBuilder(), Value);
}

Json::Value recordSchema1(const Deployment &Layout, const Service &Svc) {
  Json::Value Record;
  for (const std::string &Domain : Layout.FailureDomains)
    Record["endpoint_weights"][Domain] = 100;
  Record["drain_seconds"] = 15;
  Record["slots"] = Layout.SlotsPerEndpoint;
  Record["schema_version"] = 1;
  Record["service"] = Svc.Name;
  return Record;
}

Json::Value recordSchema2(const Deployment &Layout, const Service &Svc,
                          unsigned FirstDomainWeight) {
  Json::Value Record;
  Record["share"]["by_failure_domain"][Layout.FailureDomains.front()] =
      FirstDomainWeight;
  Record["schema_version"] = 2;
  Record["service"] = Svc.Name;
  Record["buckets"] = static_cast<int>(BucketsPerService);
  Record["drain"]["timeout_ms"] = 15000;
  Record["limits"]["slots_per_endpoint"] = Layout.SlotsPerEndpoint;
  Record["limits"]["connections_per_endpoint"] = 2000;
  Json::Value Sheets;
  Sheets["path_prefix"] = "/sheet";
  Sheets["class"] = "long";
  Sheets["idempotent"] = true;
  Sheets["expected_ms"] = 60;
  Record["classes"].append(Sheets);
  return Record;
}

} // namespace

base::SocketAddress Deployment::address(uint8_t Group, size_t Index,
                                        uint16_t Port) const {
  const uint32_t Ip = (127U << 24) | (uint32_t{Network} << 16) |
                      (uint32_t{Group} << 8) | static_cast<uint32_t>(Index);
  return {Ip, Port};
}

Deployment bcInterior() {
  Deployment Layout{"bc-interior", {"bc-kam", "bc-kel", "bc-pg"}, {}, 2, 21};
  Layout.Services = {{"shopdesk", "retail", 7, Layout.address(10, 1, 5683)},
                     {"fitvault", "fitness", 3, Layout.address(10, 2, 5683)}};
  return Layout;
}

Deployment mittelland() {
  Deployment Layout{
      "mittelland", {"bern-nord", "bern-sued", "thun", "burgdorf"}, {}, 3, 22};
  Layout.Services = {
      {"gildenamt", "guild", 7, Layout.address(10, 1, 5683)},
      {"musterarchiv", "archive", 4, Layout.address(10, 2, 5683)}};
  return Layout;
}

std::vector<EndpointPlacement> placeEndpoints(const Deployment &Layout) {
  std::vector<EndpointPlacement> Placements;
  for (const Service &Svc : Layout.Services)
    for (uint16_t Count = 0; Count < Svc.EndpointCount; ++Count) {
      const size_t Index = Placements.size() + 1;
      Placements.push_back({Index, &Svc, failureDomain(Layout, Index)});
    }
  return Placements;
}

std::string balancerSettings(const Deployment &Layout, size_t BalancerCount,
                             size_t Index) {
  Json::Value Settings = sharedSettings(Layout, BalancerCount);
  Settings["role"] = "balancer";
  Settings["data_address"] = base::toString(Layout.balancerData(Index));
  Settings["control_address"] = base::toString(Layout.balancerControl(Index));
  Settings["failure_domain"] = failureDomain(Layout, Index);
  return toText(Settings);
}

std::string agentSettings(const Deployment &Layout, size_t BalancerCount,
                          const EndpointPlacement &Placement) {
  Json::Value Settings = sharedSettings(Layout, BalancerCount);
  Settings["role"] = "agent";
  Settings["data_address"] = base::toString(Layout.agentData(Placement.Index));
  Settings["control_address"] =
      base::toString(Layout.agentControl(Placement.Index));
  Settings["failure_domain"] = Placement.FailureDomain;
  Settings["agent"]["service"] = Placement.OwningService->Name;
  Settings["agent"]["endpoint_address"] =
      base::toString(Layout.endpoint(Placement.Index));
  return toText(Settings);
}

std::string recordText(const Deployment &Layout, const Service &Svc,
                       int SchemaVersion, unsigned FirstDomainWeight) {
  Json::Value Record = SchemaVersion == 1
                           ? recordSchema1(Layout, Svc)
                           : recordSchema2(Layout, Svc, FirstDomainWeight);
  Record["team"] = Svc.Team;
  Record["address"] = base::toString(Svc.Address);
  return toText(Record);
}

} // namespace burdockstream::e2e
