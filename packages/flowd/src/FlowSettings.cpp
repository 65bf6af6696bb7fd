#include "burdockstream/flowd/FlowSettings.h"

#include "burdockstream/base/JsonFields.h"

#include <cmath>

namespace burdockstream::flowd {

namespace {

using base::JsonFields;
using base::JsonNode;

constexpr base::NameTable<FlowRole, 2> RoleNames({{
    {FlowRole::Balancer, "balancer"},
    {FlowRole::Agent, "agent"},
}});

constexpr size_t MaxPeers = 64;
constexpr base::IntegerRange IntervalRange{50, 60'000}; // milliseconds
constexpr base::IntegerRange AttemptRange{0, 60'000};   // milliseconds, 0: off
constexpr base::IntegerRange DelayRange{1, 3'600};      // seconds
constexpr base::IntegerRange LinkRange{1, 1'000'000};   // Mbit/s

// Reads a time as a multiple of Unit, which need not be whole. Rounds to
// microseconds.
void readTime(const JsonNode &Node, base::Duration Unit,
              const base::IntegerRange &Range, base::Duration &Out) {
  double Value = 0;
  if (Node.readReal(Range, Value))
    Out =
        base::Duration(std::llround(Value * static_cast<double>(Unit.count())));
}

void readMilliseconds(const JsonNode &Node, base::Duration &Out,
                      const base::IntegerRange &Range = IntervalRange) {
  readTime(Node, std::chrono::milliseconds(1), Range, Out);
}

void readSeconds(const JsonNode &Node, base::Duration &Out) {
  readTime(Node, std::chrono::seconds(1), DelayRange, Out);
}

void readAgent(const JsonNode &Node, FlowSettings &Out) {
  if (Out.Role == FlowRole::Balancer) {
    if (Node.present())
      Node.fail("a balancer has no target; remove the field or set role to "
                "agent");
    return;
  }
  JsonFields Fields(Node);
  AgentSettings Agent;
  Fields.required("service").readText(MaxNameBytes, Agent.Service);
  Fields.required("target_address").readAddress(Agent.TargetAddress);
  Fields.required("outbound_address").readAddress(Agent.OutboundAddress);
  Fields.required("heartbeat_address").readAddress(Agent.HeartbeatAddress);
  readMilliseconds(Fields.required("heartbeat_interval_ms"),
                   Agent.HeartbeatInterval);
  readSeconds(Fields.required("address_reuse_delay_s"),
              Agent.AddressReuseDelay);
  Fields.finish();
  Out.Agent = std::move(Agent);
}

void readPeerAddresses(const JsonNode &List,
                       std::vector<base::SocketAddress> &Out) {
  for (const JsonNode &Node : List.elements(MaxPeers)) {
    base::SocketAddress Address;
    if (Node.readAddress(Address))
      Out.push_back(Address);
  }
}

void readRoot(JsonFields &Root, FlowSettings &Out) {
  Root.required("role").readEnum(RoleNames, Out.Role);
  Root.required("name").readText(MaxNameBytes, Out.Name);
  Root.required("failure_domain").readText(MaxNameBytes, Out.FailureDomain);
  Root.required("data_address").readAddress(Out.DataAddress);
  Root.required("control_address").readAddress(Out.ControlAddress);
  const JsonNode Ready = Out.Role == FlowRole::Balancer
                             ? Root.required("ready_address")
                             : Root.optional("ready_address");
  base::SocketAddress Address;
  if (Ready.readAddress(Address))
    Out.ReadyAddress = Address;
  if (Root.optional("seed_address").readAddress(Address))
    Out.SeedAddress = Address;
  Root.required("store_address").readAddress(Out.StoreAddress);
  readPeerAddresses(Root.optional("peers"), Out.PeerAddresses);
  readSeconds(Root.required("grace_period_s"), Out.GracePeriod);
  Root.optional("link_mbps").readReal(LinkRange, Out.LinkMbps);
  readMilliseconds(Root.optional("opening_attempt_ms"), Out.OpeningAttempt,
                   AttemptRange);
  readAgent(Out.Role == FlowRole::Agent ? Root.required("agent")
                                        : Root.optional("agent"),
            Out);
}

} // namespace

std::string_view toString(FlowRole Role) { return RoleNames.name(Role); }

base::Result<FlowSettings> parseFlowSettings(std::string_view Text,
                                             std::string Source) {
  const auto Document = base::JsonDocument::parse(Text, std::move(Source));
  if (Document.has_error())
    return Document.error();
  base::JsonProblems Problems(Document.value());
  FlowSettings Settings;
  JsonFields Root(Document.value(), Problems);
  readRoot(Root, Settings);
  Root.finish();
  if (!Problems.empty())
    return Problems.error();
  return Settings;
}

base::Result<FlowSettings> loadFlowSettings(const std::string &Path) {
  const auto Text = base::readTextFile(Path);
  if (Text.has_error())
    return Text.error();
  return parseFlowSettings(Text.value(), Path);
}

} // namespace burdockstream::flowd
