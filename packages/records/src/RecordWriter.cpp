#include "WorkClassNames.h"
#include "burdockstream/base/JsonText.h"
#include "burdockstream/records/RecordParser.h"

namespace burdockstream::records {

namespace {

Json::Value domainSharesToJson(const ServiceConfig &Config) {
  Json::Value Map(Json::objectValue);
  for (const DomainShare &Share : Config.DomainShares)
    Map[Share.FailureDomain] = Share.Weight;
  return Map;
}

void writeSchema1(const ServiceConfig &Config, Json::Value &Root) {
  if (!Config.DomainShares.empty())
    Root["endpoint_weights"] = domainSharesToJson(Config);
  if (Config.DrainTimeout != DefaultDrainTimeout)
    Root["drain_seconds"] =
        Json::Int64{base::toMilliseconds(Config.DrainTimeout) / 1'000};
  if (Config.SlotsPerEndpoint != DefaultSlots)
    Root["slots"] = Config.SlotsPerEndpoint;
}

void writeLimits(const ServiceConfig &Config, Json::Value &Root) {
  if (Config.SlotsPerEndpoint != DefaultSlots)
    Root["limits"]["slots_per_endpoint"] = Config.SlotsPerEndpoint;
  if (Config.ConnectionsPerEndpoint != DefaultConnections)
    Root["limits"]["connections_per_endpoint"] = Config.ConnectionsPerEndpoint;
  if (Config.TeamMaxSlots)
    Root["limits"]["team_max_slots"] = *Config.TeamMaxSlots;
  if (Config.TeamMaxFlows)
    Root["limits"]["team_max_flows"] = *Config.TeamMaxFlows;
}

void writeSchema2(const ServiceConfig &Config, Json::Value &Root) {
  Root["buckets"] = Config.Buckets;
  if (!Config.DomainShares.empty())
    Root["share"]["by_failure_domain"] = domainSharesToJson(Config);
  for (const EndpointShare &Share : Config.EndpointShares)
    Root["share"]["by_endpoint_address"][base::toString(Share.Address)] =
        Share.Weight;
  for (const base::SocketAddress Address : Config.DrainedEndpoints)
    Root["drain"]["endpoints"].append(base::toString(Address));
  if (Config.DrainTimeout != DefaultDrainTimeout)
    Root["drain"]["timeout_ms"] =
        Json::Int64{base::toMilliseconds(Config.DrainTimeout)};
  writeLimits(Config, Root);
  for (const ClassRule &Rule : Config.Classes) {
    Json::Value Entry(Json::objectValue);
    Entry["path_prefix"] = Rule.PathPrefix;
    Entry["class"] = std::string(toString(Rule.Class));
    Entry["idempotent"] = Rule.Idempotent;
    if (Rule.ExpectedRunTime != base::Duration(0))
      Entry["expected_ms"] =
          Json::Int64{base::toMilliseconds(Rule.ExpectedRunTime)};
    Root["classes"].append(Entry);
  }
}

std::string joinNames(const std::vector<std::string> &Names) {
  std::string Text;
  for (const std::string &Name : Names)
    Text += (Text.empty() ? "" : ", ") + Name;
  return Text;
}

} // namespace

std::string_view toString(WorkClass Class) {
  return detail::WorkClassNames.name(Class);
}

std::vector<std::string>
settingsUnsupportedBySchema1(const ServiceConfig &Config) {
  std::vector<std::string> Names;
  const auto AddIf = [&](bool Unsupported, const char *Name) {
    if (Unsupported)
      Names.emplace_back(Name);
  };
  AddIf(Config.Buckets != DefaultBuckets, "buckets");
  AddIf(!Config.EndpointShares.empty(), "share.by_endpoint_address");
  AddIf(!Config.DrainedEndpoints.empty(), "drain.endpoints");
  AddIf(base::toMilliseconds(Config.DrainTimeout) % 1'000 != 0,
        "drain.timeout_ms");
  AddIf(Config.ConnectionsPerEndpoint != DefaultConnections,
        "limits.connections_per_endpoint");
  AddIf(Config.TeamMaxSlots.has_value(), "limits.team_max_slots");
  AddIf(Config.TeamMaxFlows.has_value(), "limits.team_max_flows");
  AddIf(!Config.Classes.empty(), "classes");
  return Names;
}

base::Result<std::string> formatRecord(const ServiceConfig &Config) {
  Json::Value Root(Json::objectValue);
  Root["schema_version"] = Config.SchemaVersion;
  Root["service"] = Config.Service;
  Root["team"] = Config.Team;
  Root["address"] = base::toString(Config.Address);
  if (Config.Retired)
    Root["retired"] = true;
  if (Config.AddressSince != 0)
    Root["address_since"] = Json::Int64{Config.AddressSince};
  if (!Config.Nonce.empty())
    Root["nonce"] = Config.Nonce;
  if (Config.SchemaVersion == 1) {
    const auto Unsupported = settingsUnsupportedBySchema1(Config);
    if (!Unsupported.empty())
      return base::makeError(base::ErrorKind::InvalidArgument,
                             "schema version 1 cannot express " +
                                 joinNames(Unsupported) +
                                 "; write the record in schema version 2");
    writeSchema1(Config, Root);
  } else {
    writeSchema2(Config, Root);
  }
  return base::compactJson(Root);
}

base::Result<std::string> migrateRecord(std::string_view Text,
                                        std::string Source) {
  auto Config = parseRecord(Text, std::move(Source));
  if (Config.has_error())
    return Config.error();
  Config.value().SchemaVersion = 2;
  return formatRecord(Config.value());
}

} // namespace burdockstream::records
