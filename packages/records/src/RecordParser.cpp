#include "burdockstream/records/RecordParser.h"

#include "WorkClassNames.h"
#include "burdockstream/base/JsonFields.h"
#include "burdockstream/records/Nonce.h"

#include <algorithm>
#include <limits>
#include <set>

namespace burdockstream::records {

namespace {

using base::JsonFields;
using base::JsonNode;
using base::JsonProblems;

// Each bucket takes about 20 bytes in the ownership record of its service, and
// the store accepts at most 1 MB per key.
constexpr base::IntegerRange BucketRange{1, 4096};
constexpr base::IntegerRange WeightRange{0, 10'000};
constexpr base::IntegerRange SlotRange{1, 1'024};
constexpr base::IntegerRange ConnectionLimitRange{1, 1'000'000};
constexpr base::IntegerRange TeamLimitRange{1, 100'000'000};
constexpr base::IntegerRange RevisionRange{
    0, std::numeric_limits<base::Revision>::max()};
constexpr int64_t MaxDrainSeconds = 3'600;
constexpr size_t MaxDomains = 64;
constexpr size_t MaxEndpoints = 512;
constexpr size_t MaxClasses = 64;
constexpr size_t MaxPathPrefixBytes = 255;

// Reads a whole number of milliseconds within Range. Returns whether it is
// valid; otherwise Out is unchanged.
bool readMilliseconds(const JsonNode &Node, base::IntegerRange Range,
                      base::Duration &Out) {
  int64_t Milliseconds = 0;
  if (!Node.readInteger(Range, Milliseconds))
    return false;
  Out = std::chrono::milliseconds(Milliseconds);
  return true;
}

void readDomainShares(const JsonNode &Map, ServiceConfig &Config) {
  for (const auto &[Domain, Weight] : Map.members(MaxDomains)) {
    DomainShare Share{Domain, 0};
    if (!base::isName(Domain))
      Weight.fail("the failure domain is not a name; write 1 to 63 lower-case "
                  "letters, digits and inner hyphens");
    else if (Weight.readInteger(WeightRange, Share.Weight))
      Config.DomainShares.push_back(Share);
  }
}

void readEndpointShares(const JsonNode &Map, ServiceConfig &Config) {
  for (const auto &[Key, Weight] : Map.members(MaxEndpoints)) {
    const auto Address = base::parseSocketAddress(Key);
    EndpointShare Share;
    if (Address.has_error())
      Weight.fail(Address.error().Message);
    else if (Weight.readInteger(WeightRange, Share.Weight)) {
      Share.Address = Address.value();
      Config.EndpointShares.push_back(Share);
    }
  }
}

void readDrainedEndpoints(const JsonNode &List, ServiceConfig &Config) {
  for (const JsonNode &Node : List.elements(MaxEndpoints)) {
    base::SocketAddress Address;
    if (!Node.readAddress(Address))
      continue;
    auto &Drained = Config.DrainedEndpoints;
    if (std::find(Drained.begin(), Drained.end(), Address) != Drained.end())
      Node.fail("the endpoint is listed twice; remove one");
    Drained.push_back(Address);
  }
}

void readClasses(const JsonNode &List, ServiceConfig &Config) {
  std::set<std::string> Prefixes;
  for (const JsonNode &Node : List.elements(MaxClasses)) {
    JsonFields Fields(Node);
    ClassRule Rule;
    const JsonNode Prefix = Fields.required("path_prefix");
    if (Prefix.readText(MaxPathPrefixBytes, Rule.PathPrefix)) {
      if (Rule.PathPrefix[0] != '/')
        Prefix.fail("the path prefix is relative; start it with '/'");
      if (!Prefixes.insert(Rule.PathPrefix).second)
        Prefix.fail("two rules have this path prefix; remove one");
    }
    Fields.required("class").readEnum(detail::WorkClassNames, Rule.Class);
    Fields.required("idempotent").readBool(Rule.Idempotent);
    readMilliseconds(Fields.optional("expected_ms"),
                     {0, MaxExpectedMilliseconds}, Rule.ExpectedRunTime);
    Fields.finish();
    Config.Classes.push_back(std::move(Rule));
  }
}

void readTeamLimit(const JsonNode &Node, std::optional<uint32_t> &Out) {
  uint32_t Limit = 0;
  if (Node.readInteger(TeamLimitRange, Limit))
    Out = Limit;
}

void readLimits(const JsonNode &Node, ServiceConfig &Config) {
  JsonFields Fields(Node);
  Fields.optional("slots_per_endpoint")
      .readInteger(SlotRange, Config.SlotsPerEndpoint);
  Fields.optional("connections_per_endpoint")
      .readInteger(ConnectionLimitRange, Config.ConnectionsPerEndpoint);
  readTeamLimit(Fields.optional("team_max_slots"), Config.TeamMaxSlots);
  readTeamLimit(Fields.optional("team_max_flows"), Config.TeamMaxFlows);
  Fields.finish();
}

void readSchema1(JsonFields &Fields, ServiceConfig &Config) {
  readDomainShares(Fields.optional("endpoint_weights"), Config);
  int64_t Seconds = 0;
  if (Fields.optional("drain_seconds")
          .readInteger({0, MaxDrainSeconds}, Seconds))
    Config.DrainTimeout = std::chrono::seconds(Seconds);
  Fields.optional("slots").readInteger(SlotRange, Config.SlotsPerEndpoint);
}

void readSchema2(JsonFields &Fields, ServiceConfig &Config) {
  Fields.optional("buckets").readInteger(BucketRange, Config.Buckets);
  JsonFields Share(Fields.optional("share"));
  readDomainShares(Share.optional("by_failure_domain"), Config);
  readEndpointShares(Share.optional("by_endpoint_address"), Config);
  Share.finish();
  JsonFields Drain(Fields.optional("drain"));
  readDrainedEndpoints(Drain.optional("endpoints"), Config);
  readMilliseconds(Drain.optional("timeout_ms"), {0, MaxDrainSeconds * 1'000},
                   Config.DrainTimeout);
  Drain.finish();
  readLimits(Fields.optional("limits"), Config);
  readClasses(Fields.optional("classes"), Config);
}

// Reads the fields that both schema versions have, except schema_version.
void readCommonFields(JsonFields &Fields, ServiceConfig &Config) {
  Fields.required("service").readName(Config.Service);
  Fields.required("team").readName(Config.Team);
  Fields.required("address").readAddress(Config.Address);
  Fields.optional("retired").readBool(Config.Retired);
  const JsonNode Nonce = Fields.optional("nonce");
  if (Nonce.readText(NonceDigits, Config.Nonce) && !isNonce(Config.Nonce))
    Nonce.fail("the nonce has the wrong form; remove it, the balancer adds "
               "its own");
  Fields.optional("address_since")
      .readInteger(RevisionRange, Config.AddressSince);
}

} // namespace

base::Result<ServiceConfig> parseRecord(std::string_view Text,
                                        std::string Source) {
  if (Text.size() > MaxRecordBytes)
    return base::makeError(
        base::ErrorKind::LimitExceeded,
        Source + ":1: the record has " + std::to_string(Text.size()) +
            " bytes; shorten it to " + std::to_string(MaxRecordBytes));
  const auto Doc = base::JsonDocument::parse(Text, std::move(Source));
  if (Doc.has_error())
    return Doc.error();
  JsonProblems Problems(Doc.value());
  JsonFields Fields(Doc.value(), Problems);
  ServiceConfig Config;
  const bool HasVersion = Fields.required("schema_version")
                              .readInteger({1, 2}, Config.SchemaVersion);
  readCommonFields(Fields, Config);
  // Without a valid version it is unknown which other fields are allowed.
  if (HasVersion) {
    Config.SchemaVersion == 1 ? readSchema1(Fields, Config)
                              : readSchema2(Fields, Config);
    Fields.finish();
  }
  if (!Problems.empty())
    return Problems.error();
  Config.Id = base::serviceIdOf(Config.Service);
  return Config;
}

} // namespace burdockstream::records
