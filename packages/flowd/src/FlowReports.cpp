#include "FlowReports.h"

#include "burdockstream/base/JsonText.h"

#include <algorithm>
#include <unordered_map>

namespace burdockstream::flowd {

namespace {

constexpr const char *MetricsPath = "/metrics";
constexpr const char *DaemonPath = "/v1/daemon";
constexpr const char *FlowPath = "/v1/flow";

std::optional<base::SocketAddress>
parseAddressParameter(const http::ServerRequest &Request,
                      const std::string &Name) {
  const auto Found = Request.Query.find(Name);
  if (Found == Request.Query.end())
    return std::nullopt;
  const auto Address = base::parseSocketAddress(Found->second);
  if (Address.has_error())
    return std::nullopt;
  return Address.value();
}

http::ServerAnswer handleFlowRequest(const http::ServerRequest &Request,
                                     const ReportSources &Sources) {
  const auto Client = parseAddressParameter(Request, "client");
  const auto Service = parseAddressParameter(Request, "service");
  if (!Client || !Service)
    return {400, "text/plain",
            "write client=IP:PORT&service=IP:PORT in the query\n"};
  return {200, "application/json",
          base::compactJson(Sources.Flow({*Client, *Service}))};
}

// Returns service names by the ids that routes contain. Only the services of
// known targets have one.
std::unordered_map<base::ServiceId, std::string>
serviceNames(const flows::TargetTable &Targets) {
  std::unordered_map<base::ServiceId, std::string> Names;
  for (const auto &Each : Targets.all())
    if (Each && !Each->ServiceName.empty())
      Names[Each->Service] = Each->ServiceName;
  return Names;
}

Json::Value
describeRoutes(const flows::RouteTable &Table,
               const std::unordered_map<base::ServiceId, std::string> &Names) {
  Json::Value List(Json::arrayValue);
  for (const auto &[Address, Route] : Table.Routes) {
    Json::Value Entry;
    Entry["address"] = base::toString(Address);
    Entry["route"] = Route.Name;
    Entry["class"] = std::string(toString(Route.Class));
    std::string Services;
    for (const flows::WeightedService &Each : Route.Services) {
      const auto Name = Names.find(Each.Service);
      Services += (Services.empty() ? "" : ",") +
                  (Name == Names.end() ? "without_targets" : Name->second) +
                  "=" + std::to_string(Each.Weight);
    }
    Entry["services"] = Services;
    List.append(Entry);
  }
  return List;
}

Json::Value describeTarget(const flows::Target &Target, base::TimePoint Now) {
  Json::Value Entry;
  Entry["agent"] = base::toString(Target.Agent);
  Entry["service"] = Target.ServiceName;
  Entry["failure_domain"] = Target.FailureDomain;
  Entry["state"] = Target.HasStatus ? std::string(toString(Target.Status.State))
                                    : std::string("not_heard");
  Entry["slots"] = Target.Status.Slots;
  Entry["waiting"] = Target.Status.Waiting;
  Entry["flows"] = Target.Status.Flows;
  Entry["status_age_ms"] =
      Json::Int64(base::toMilliseconds(Now - Target.LastStatusAt));
  Entry["listed"] = Target.Listed;
  Entry["evacuated"] = Target.Evacuated;
  Entry["ejected"] = Target.Status.EjectedMs > 0;
  return Entry;
}

// Raises Total to Value, a count that the core keeps.
void raise(base::Counter &Total, uint64_t Value) {
  Total.add(Value - Total.value());
}

void exportOffers(base::Metrics &Registry, const flows::OfferCounters &Counts) {
  raise(Registry.counter("offers", {{"round", "first"}}), Counts.FirstRound);
  raise(Registry.counter("offers", {{"round", "further"}}),
        Counts.FurtherRounds);
  raise(Registry.counter("openings_unserved"), Counts.Unserved);
}

} // namespace

std::optional<http::ServerAnswer>
handleReportRequest(const http::ServerRequest &Request,
                    const ReportSources &Sources) {
  if (Request.Method != "GET")
    return std::nullopt;
  if (Request.Path == MetricsPath)
    return http::ServerAnswer{200, "text/plain",
                              base::toPrometheus(Sources.Metrics())};
  if (Request.Path == DaemonPath)
    return http::ServerAnswer{200, "application/json",
                              base::compactJson(Sources.Daemon())};
  if (Request.Path == FlowPath)
    return handleFlowRequest(Request, Sources);
  return std::nullopt;
}

void exportState(base::Metrics &Registry, const flows::FlowBalancer &Core,
                 base::TimePoint Now) {
  base::Duration Oldest{0};
  int64_t Ready = 0;
  for (const auto &Each : Core.targets().all())
    if (Each && Each->HasStatus) {
      Oldest = std::max(Oldest, Now - Each->LastStatusAt);
      Ready += flows::acceptsFlows(*Each, Now) ? 1 : 0;
    }
  const flows::RouteTable *Routes = Core.routes();
  Registry.gauge("routes_revision").set(Core.routesRevision());
  Registry.gauge("routes_version")
      .set(Routes ? static_cast<int64_t>(Routes->Version) : 0);
  Registry.gauge("routes_age_ms")
      .set(Routes ? base::toMilliseconds(Now - Core.routesSince()) : 0);
  Registry.gauge("oldest_status_age_ms").set(base::toMilliseconds(Oldest));
  Registry.gauge("targets").set(static_cast<int64_t>(Core.targets().size()));
  Registry.gauge("targets_ready").set(Ready);
  Registry.gauge("failure_domains_evacuated")
      .set(static_cast<int64_t>(Core.evacuations().domains().size()));
  Registry.gauge("flows").set(static_cast<int64_t>(Core.flows()));
  Registry.gauge("searches").set(static_cast<int64_t>(Core.searches()));
  Registry.gauge("packets_parked").set(static_cast<int64_t>(Core.parked()));
  Registry.gauge("reception_impaired").set(Core.isReceptionImpaired() ? 1 : 0);
  Registry.gauge("searches_dropped")
      .set(static_cast<int64_t>(Core.droppedSearches()));
  exportOffers(Registry, Core.offerCounters());
}

void exportState(base::Metrics &Registry, const flows::FlowAgent &Core,
                 base::TimePoint Now) {
  Registry.gauge("heartbeat_age_ms")
      .set(base::toMilliseconds(Core.heartbeatAge(Now)));
  Registry.gauge("flows").set(static_cast<int64_t>(Core.flows()));
  Registry.gauge("open_flows").set(Core.openFlows());
  Registry.gauge("flow_records_dropped_early")
      .set(static_cast<int64_t>(Core.earlyDrops()));
  Registry.gauge("flow_returns_unproven")
      .set(static_cast<int64_t>(Core.unprovenReturns()));
  Registry.gauge("requests_waiting").set(Core.waiting());
  Registry.gauge("openings_held").set(static_cast<int64_t>(Core.held()));
  Registry.gauge("slots").set(Core.slots());
  Registry.gauge("balancers").set(static_cast<int64_t>(Core.balancers()));
  Registry.gauge("routes_revision").set(Core.newestRoutes());
  Registry.gauge("evacuated").set(Core.evacuation().Evacuated ? 1 : 0);
}

Json::Value describe(const flows::FlowBalancer &Core, base::TimePoint Now) {
  Json::Value Report;
  Report["role"] = "balancer";
  Report["flows"] = Json::UInt64(Core.flows());
  Report["routes"] = Json::arrayValue;
  if (const flows::RouteTable *Routes = Core.routes()) {
    Report["routes_revision"] = Json::Int64(Routes->Revision);
    Report["routes_version"] = Json::UInt64(Routes->Version);
    Report["routes"] = describeRoutes(*Routes, serviceNames(Core.targets()));
  }
  Report["evacuated_failure_domains"] = Json::arrayValue;
  for (const std::string &Domain : Core.evacuations().domains())
    Report["evacuated_failure_domains"].append(Domain);
  Report["targets"] = Json::arrayValue;
  for (const auto &Each : Core.targets().all())
    if (Each)
      Report["targets"].append(describeTarget(*Each, Now));
  return Report;
}

Json::Value describe(const flows::FlowAgent &Core, base::TimePoint Now) {
  Json::Value Report;
  Report["role"] = "agent";
  Report["flows"] = Json::UInt64(Core.flows());
  Report["service"] = Core.target().Service;
  Report["target"] = base::toString(Core.target().Address);
  Report["state"] = std::string(toString(Core.state()));
  Report["heartbeat_age_ms"] =
      Json::Int64(base::toMilliseconds(Core.heartbeatAge(Now)));
  Report["heartbeat_overdue_ms"] =
      Json::Int64(base::toMilliseconds(Core.heartbeatOverdue()));
  Report["slots"] = Core.slots();
  Report["waiting"] = Core.waiting();
  Report["routes_revision"] = Json::Int64(Core.newestRoutes());
  Report["ejected_for_ms"] =
      Json::Int64(base::toMilliseconds(Core.ejectedFor(Now)));
  Report["warmup_flows_per_second"] = Core.warmupLimit();
  Report["evacuated"] = Core.evacuation().Evacuated;
  Report["evacuation_revision"] = Json::Int64(Core.evacuation().Revision);
  return Report;
}

Json::Value describe(const flows::BalancerFlowView &View) {
  Json::Value Report;
  Report["role"] = "balancer";
  Report["known"] = View.Known || View.Searching;
  Report["searching"] = View.Searching;
  if (View.Known) {
    Report["agent"] = base::toString(View.Agent);
    Report["offers"] = View.Offers;
    Report["refusals"] = View.Refusals;
  }
  return Report;
}

Json::Value describe(const flows::AgentFlowView &View) {
  Json::Value Report;
  Report["role"] = "agent";
  Report["known"] = View.Known || View.NotHeld;
  Report["not_held"] = View.NotHeld;
  if (View.Known) {
    Report["open"] = View.Open;
    Report["waiting"] = View.Waiting;
    Report["class"] = std::string(toString(View.Class));
  }
  return Report;
}

} // namespace burdockstream::flowd
