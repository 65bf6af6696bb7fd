// What a balancer reads from the store: routes, evacuations and the entries of
// agents.
#include "BalancerDaemon.h"

#include "BootClock.h"
#include "burdockstream/base/StoreEra.h"
#include "burdockstream/flowd/AgentEntries.h"

#include <algorithm>
#include <utility>

namespace burdockstream::flowd {

WatchHooks BalancerDaemon::storeHooks(const char *WatchName) {
  WatchHooks Hooks;
  Hooks.OnLost = [this, WatchName](const base::Error &Reason) {
    logStoreEvent("store_lost", WatchName, &Reason);
    updateStoreFreshness();
  };
  Hooks.OnRetryFailed = [this, WatchName](const base::Error &Reason) {
    logStoreEvent("store_retry_failed", WatchName, &Reason);
  };
  Hooks.OnRegained = [this, WatchName] {
    logStoreEvent("store_regained", WatchName, nullptr);
    updateStoreFreshness();
  };
  return Hooks;
}

WatchHooks BalancerDaemon::routesHooks() {
  WatchHooks Hooks = storeHooks("routes");
  Hooks.OnSnapshot = [this](const store::RangeReply &Reply) {
    logStoreRead("routes", Reply);
    std::set<std::string> Evacuated;
    for (const store::KeyValue &Each : Reply.Values)
      if (Each.Key == Environment.RoutesKey)
        applyRoutes(Each.Value, Each.ModRevision, "store");
      else if (const auto Domain = evacuatedDomain(Each.Key))
        Evacuated.insert(*Domain);
    Core.setEvacuations(Evacuated, Reply.StoreRevision, readClocks().Monotonic);
    if (const size_t Ignored = Core.evacuations().ignored())
      logIgnoredEvacuations(Ignored);
  };
  Hooks.OnEvent = [this](const store::WatchEvent &Event) {
    if (Event.Entry.Key == Environment.RoutesKey && !Event.Deleted)
      applyRoutes(Event.Entry.Value, Event.Entry.ModRevision, "store");
    else if (const auto Domain = evacuatedDomain(Event.Entry.Key))
      Core.applyEvacuation(*Domain, {Event.Entry.ModRevision, !Event.Deleted},
                           readClocks().Monotonic);
  };
  return Hooks;
}

std::optional<std::string>
BalancerDaemon::evacuatedDomain(const std::string &Key) {
  const auto Domain = Environment.ParseEvacuationKey(Key);
  if (Domain.has_value())
    return Domain.value();
  logStoreEvent("evacuation_refused", "routes", &Domain.error());
  return std::nullopt;
}

void BalancerDaemon::logEvacuation(const std::string &Domain,
                                   const flows::DomainEvacuation &State,
                                   base::SocketAddress Source) {
  Json::Value Fields;
  Fields["failure_domain"] = Domain;
  Fields["evacuated"] = State.Evacuated;
  Fields["revision"] = Json::Int64(State.Revision);
  Fields["source"] =
      Source == base::SocketAddress() ? "store" : base::toString(Source);
  const auto &Targets = Core.targets().all();
  // 0 for a failure domain that does not exist
  Fields["targets"] = Json::Int64(
      std::count_if(Targets.begin(), Targets.end(), [&](const auto &Each) {
        return Each && Each->FailureDomain == Domain;
      }));
  Log.write(LogPriority::Process, "evacuation", Fields, readClocks());
}

void BalancerDaemon::logIgnoredEvacuations(size_t Count) {
  Json::Value Fields;
  Fields["ignored"] = Json::UInt64(Count);
  Fields["limit"] = Json::UInt64(flows::MaxEvacuatedDomains);
  Log.write(LogPriority::Process, "evacuations_ignored", Fields, readClocks());
}

WatchHooks BalancerDaemon::agentsHooks() {
  WatchHooks Hooks = storeHooks("agents");
  Hooks.OnSnapshot = [this](const store::RangeReply &Reply) {
    logStoreRead("agents", Reply);
    std::vector<flows::AgentEntry> Entries;
    for (const store::KeyValue &Each : Reply.Values) {
      auto Entry = parseEntry(Each.Key, Each.Value);
      if (Entry.has_value())
        Entries.push_back(std::move(Entry.value()));
      else
        logStoreEvent("entry_refused", "agents", &Entry.error());
    }
    const base::Era ListEra = base::eraOf(Reply.StoreRevision);
    if (AgentsEra && *AgentsEra != ListEra)
      Core.onStoreRestored(readClocks().Monotonic);
    AgentsEra = ListEra;
    Core.setAgentEntries(Entries, readClocks().Monotonic);
  };
  Hooks.OnEvent = [this](const store::WatchEvent &Event) {
    applyAgentEvent(Event);
  };
  return Hooks;
}

void BalancerDaemon::applyAgentEvent(const store::WatchEvent &Event) {
  const base::TimePoint Now = readClocks().Monotonic;
  if (Event.Deleted) {
    if (const auto Agent = parseEntryKey(Event.Entry.Key))
      Core.removeAgentEntry(*Agent, Now);
    return;
  }
  const auto Entry = parseEntry(Event.Entry.Key, Event.Entry.Value);
  if (Entry.has_value())
    Core.applyAgentEntry(Entry.value(), Now);
  else
    logStoreEvent("entry_refused", "agents", &Entry.error());
}

void BalancerDaemon::applyRoutes(const std::string &Text,
                                 base::Revision Revision,
                                 const std::string &Source) {
  const base::Now Now = readClocks();
  if (Core.routes() && Revision == Core.routesRevision())
    return;
  Json::Value Fields;
  Fields["revision"] = Json::Int64(Revision);
  Fields["source"] = Source;
  auto Table = Environment.ParseRoutes(Text);
  if (Table.has_error()) {
    Fields["problem"] = Table.error().Message;
    return Log.write(LogPriority::Process, "routes_refused", Fields, Now);
  }
  Table.value().Revision = Revision;
  Fields["version"] = Json::UInt64(Table.value().Version);
  Fields["routes"] = Json::UInt64(Table.value().Routes.size());
  if (Core.routes()) {
    Fields["revision_before"] = Json::Int64(Core.routesRevision());
    Fields["version_before"] = Json::UInt64(Core.routes()->Version);
  }
  const bool Applied = Core.setRoutes(
      std::make_shared<flows::RouteTable>(std::move(Table.value())),
      Now.Monotonic);
  Log.write(LogPriority::Process, Applied ? "routes_applied" : "routes_ignored",
            Fields, Now);
  if (Applied)
    RoutesText = Text;
  tick(); // announces the new revision to agents without delay
}

// A full read is rare: at the start and after each lost watch.
void BalancerDaemon::logStoreRead(const char *WatchName,
                                  const store::RangeReply &Reply) {
  Json::Value Fields;
  Fields["watch"] = WatchName;
  Fields["era"] = Json::Int64(base::eraOf(Reply.StoreRevision));
  Fields["revision"] = Json::Int64(Reply.StoreRevision);
  Fields["keys"] = Json::UInt64(Reply.Values.size());
  Log.write(LogPriority::Process, "store_read", Fields, readClocks());
}

void BalancerDaemon::logStoreEvent(const char *Event, const char *WatchName,
                                   const base::Error *Reason) {
  Json::Value Fields;
  Fields["watch"] = WatchName;
  if (Reason)
    Fields["reason"] = Reason->Message;
  Log.write(LogPriority::Process, Event, Fields, readClocks());
}

void BalancerDaemon::onEraReported(base::Era Reported,
                                   base::SocketAddress Source) {
  if (Reported <= std::max(Store->era(), ReportedEra))
    return;
  ReportedEra = Reported;
  Json::Value Fields;
  Fields["era"] = Json::Int64(Reported);
  Fields["era_before"] = Json::Int64(Store->era());
  Fields["source"] = base::toString(Source);
  Log.write(LogPriority::Process, "era_reported", Fields, readClocks());
  Routes->readAgain();
  Agents->readAgain();
}

void BalancerDaemon::updateStoreFreshness() {
  Core.setStoreFresh(Routes && Routes->isSynchronized() && Agents &&
                     Agents->isSynchronized());
}

} // namespace burdockstream::flowd
