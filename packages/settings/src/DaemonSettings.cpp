#include "burdockstream/settings/DaemonSettings.h"

#include "burdockstream/base/JsonFields.h"

#include <algorithm>
#include <limits>

namespace burdockstream::settings {

namespace {

using base::JsonFields;
using base::JsonNode;
using base::JsonProblems;

constexpr base::NameTable<Role, 2> RoleNames({{
    {Role::Balancer, "balancer"},
    {Role::Agent, "agent"},
}});

// About twice the design target of 2,000 balancers.
constexpr size_t MaxBalancers = 4'096;
constexpr size_t MaxStoreEndpoints = 9;
constexpr size_t MaxTeams = 1'024;
constexpr base::IntegerRange KeyIdRange{0, 255};
constexpr base::IntegerRange SlotRange{1, 1'024};
constexpr base::IntegerRange SeedRange{0, std::numeric_limits<int64_t>::max()};

void readEntries(const JsonNode &List, std::vector<BalancerEntry> &Out) {
  for (const JsonNode &Node : List.elements(MaxBalancers, 1)) {
    JsonFields Fields(Node);
    BalancerEntry Entry;
    const JsonNode Data = Fields.required("data_address");
    if (Data.readAddress(Entry.Data) &&
        std::any_of(Out.begin(), Out.end(), [&](const auto &Other) {
          return Other.Data == Entry.Data;
        }))
      Data.fail("another entry has this data address; remove one");
    const JsonNode Control = Fields.required("control_address");
    if (Control.readAddress(Entry.Control) &&
        std::any_of(Out.begin(), Out.end(), [&](const auto &Other) {
          return Other.Control == Entry.Control;
        }))
      Control.fail("another entry has this control address; remove one");
    Fields.required("failure_domain").readName(Entry.FailureDomain);
    Fields.finish();
    Out.push_back(std::move(Entry));
  }
}

template <size_t N>
void readKeys(const JsonNode &List, std::vector<SharedKey<N>> &Out) {
  const auto Nodes = List.elements(2, 1);
  size_t Signing = 0;
  for (const JsonNode &Node : Nodes) {
    JsonFields Fields(Node);
    SharedKey<N> Key;
    const JsonNode Id = Fields.required("id");
    if (Id.readInteger(KeyIdRange, Key.Id) && !Out.empty() &&
        Out.front().Id == Key.Id)
      Id.fail("the other key has this id; choose another one");
    Fields.required("key").readHex(Key.Bytes);
    Fields.required("signs").readBool(Key.Signs);
    Fields.finish();
    Signing += Key.Signs ? 1 : 0;
    Out.push_back(Key);
  }
  if (!Nodes.empty() && Signing != 1)
    List.fail(std::to_string(Signing) +
              " keys sign; set signs to true for exactly one");
}

void readStore(const JsonNode &Node, std::vector<base::SocketAddress> &Out) {
  JsonFields Fields(Node);
  for (const JsonNode &Element :
       Fields.required("endpoints").elements(MaxStoreEndpoints, 1)) {
    base::SocketAddress Address;
    if (!Element.readAddress(Address))
      continue;
    if (std::find(Out.begin(), Out.end(), Address) != Out.end())
      Element.fail("the address is listed twice; remove one");
    Out.push_back(Address);
  }
  Fields.finish();
}

void readTeams(const JsonNode &List, std::vector<Team> &Out) {
  for (const JsonNode &Node : List.elements(MaxTeams)) {
    JsonFields Fields(Node);
    Team Team;
    const JsonNode Name = Fields.required("name");
    if (Name.readName(Team.Name) &&
        std::any_of(Out.begin(), Out.end(),
                    [&](const auto &Other) { return Other.Name == Team.Name; }))
      Name.fail("the team is listed twice; remove one");
    Fields.required("token_sha256").readHex(Team.TokenDigest);
    Fields.finish();
    Out.push_back(std::move(Team));
  }
}

void readAgent(const JsonNode &Node, DaemonSettings &Out) {
  if (Out.Role == Role::Balancer) {
    if (Node.present())
      Node.fail("a balancer has no endpoint; remove the field or set role to "
                "agent");
    return;
  }
  JsonFields Fields(Node);
  AgentSettings Agent;
  Fields.required("service").readName(Agent.Service);
  Fields.required("endpoint_address").readAddress(Agent.Endpoint);
  uint16_t Slots = 0;
  if (Fields.optional("slots").readInteger(SlotRange, Slots))
    Agent.Slots = Slots;
  Fields.finish();
  Out.Agent = std::move(Agent);
}

// Checks the data address against the list of balancers. An agent must not use
// the address of a balancer, whose traffic it would receive. A balancer must be
// listed with the addresses that it binds and with its failure domain, so that
// the other daemons can reach it.
void checkOwnEntry(const JsonNode &Data, const DaemonSettings &Settings) {
  if (!Data.present())
    return;
  const auto Own = std::find_if(
      Settings.Entries.begin(), Settings.Entries.end(),
      [&](const BalancerEntry &Entry) { return Entry.Data == Settings.Data; });
  const bool Listed = Own != Settings.Entries.end();
  if (Settings.Role == Role::Agent && Listed)
    Data.fail("the address belongs to a balancer in entries; choose another");
  if (Settings.Role == Role::Agent)
    return;
  if (!Listed)
    Data.fail("the address is not in entries; add an entry for this balancer");
  else if (Own->Control != Settings.Control ||
           Own->FailureDomain != Settings.FailureDomain)
    Data.fail("the entry with this address has another control_address or "
              "failure_domain; make them equal");
}

} // namespace

base::Result<DaemonSettings> parseSettings(std::string_view Text,
                                           std::string Source) {
  const auto Doc = base::JsonDocument::parse(Text, std::move(Source));
  if (Doc.has_error())
    return Doc.error();
  JsonProblems Problems(Doc.value());
  JsonFields Fields(Doc.value(), Problems);
  DaemonSettings Settings;
  const bool HasRole =
      Fields.required("role").readEnum(RoleNames, Settings.Role);
  const JsonNode Data = Fields.required("data_address");
  Data.readAddress(Settings.Data);
  Fields.required("control_address").readAddress(Settings.Control);
  Fields.required("failure_domain").readName(Settings.FailureDomain);
  readEntries(Fields.required("entries"), Settings.Entries);
  Fields.required("hash_seed").readInteger(SeedRange, Settings.HashSeed);
  readKeys(Fields.required("datagram_keys"), Settings.DatagramKeys);
  readKeys(Fields.required("control_keys"), Settings.ControlKeys);
  readStore(Fields.required("store"), Settings.StoreEndpoints);
  readTeams(Fields.optional("teams"), Settings.Teams);
  const bool IsAgent = HasRole && Settings.Role == Role::Agent;
  const JsonNode Agent =
      IsAgent ? Fields.required("agent") : Fields.optional("agent");
  // Without a valid role it is unknown whether the field is allowed.
  if (HasRole)
    readAgent(Agent, Settings);
  Fields.forbid(
      "log_directory",
      "a daemon writes no files; remove the field and collect stderr");
  Fields.finish();
  if (Problems.empty())
    checkOwnEntry(Data, Settings);
  if (!Problems.empty())
    return Problems.error();
  return Settings;
}

base::Result<DaemonSettings> loadSettings(const std::string &Path) {
  const auto Text = base::readTextFile(Path);
  if (Text.has_error())
    return Text.error();
  return parseSettings(Text.value(), Path);
}

std::string_view toString(Role Role) { return RoleNames.name(Role); }

} // namespace burdockstream::settings
