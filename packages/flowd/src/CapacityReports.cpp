#include "CapacityReports.h"

#include <cmath>
#include <iomanip>
#include <sstream>

namespace burdockstream::flowd {

namespace {

std::string hexOf(base::ServiceId Id) {
  std::ostringstream Out;
  Out << std::hex << std::setfill('0') << std::setw(16) << Id.Value;
  return Out.str();
}

int64_t toMs(const std::optional<base::Duration> &Time) {
  return Time ? base::toMilliseconds(*Time) : UnknownTimeMs;
}

// Sets Field to Milliseconds, or to null if the time is not known.
void setTime(Json::Value &Field, int64_t Milliseconds) {
  Field = Milliseconds == UnknownTimeMs
              ? Json::Value()
              : Json::Value(Json::Int64(Milliseconds));
}

} // namespace

// Sets the labels of all services. A series whose label has changed keeps no
// values, since nothing would update them.
void CapacityReports::nameServices(const flows::TargetTable &Targets) {
  for (const auto &[Id, Indexes] : Targets.services()) {
    if (Indexes.empty())
      continue;
    Service &Known = Services[Id];
    std::string Label = Known.Label.empty() ? hexOf(Id) : Known.Label;
    for (const flows::TargetIndex Index : Indexes)
      if (const std::string &Name = Targets.at(Index)->ServiceName;
          base::serviceIdOf(Name) == Id)
        Label = Name;
    if (Label == Known.Label)
      continue;
    if (!Known.Label.empty())
      setGauges(Known.Label, Values());
    Known.Label = std::move(Label);
  }
}

void CapacityReports::readRoutes(const flows::FlowBalancer &Core) {
  if (!Core.routes() || Core.routesSince() == RoutesSince)
    return;
  RoutesSince = Core.routesSince();
  LatencyTargets = flows::latencyTargets(*Core.routes());
}

void CapacityReports::update(const flows::FlowBalancer &Core, base::Now Now) {
  if (Now.Monotonic < NextUpdate)
    return;
  NextUpdate = Now.Monotonic + CapacityInterval;
  readRoutes(Core);
  nameServices(Core.targets());
  for (auto &[Id, Known] : Services) {
    Known.Capacity = capacityOf(Core.targets(), Id, Now.Monotonic);
    const auto Target = LatencyTargets.find(Id);
    const auto LatencyTarget = Target == LatencyTargets.end()
                                   ? std::nullopt
                                   : std::optional(Target->second);
    if (Known.Capacity)
      Known.ShortageLimit =
          shortageLimits(*Known.Capacity, LatencyTarget).Begin;
    const auto WasShortFor = Monitor.shortFor(Id, Now.Monotonic);
    const auto Change =
        Monitor.update(Id, Known.Capacity, LatencyTarget, Now.Monotonic);
    if (Change)
      logChange(*Change, Id, Known, WasShortFor.value_or(base::Duration(0)),
                Now);
  }
  removeServices(Core.targets(), Now.Monotonic);
}

// Removes services that have no target and whose shortage, if any, has been
// reported as ended.
void CapacityReports::removeServices(const flows::TargetTable &Targets,
                                     base::TimePoint Now) {
  std::erase_if(Services, [&](const auto &Each) {
    const auto &[Id, Known] = Each;
    if (!Targets.ofService(Id).empty() || Monitor.shortFor(Id, Now))
      return false;
    setGauges(Known.Label, Values());
    Monitor.forget(Id);
    return true;
  });
}

CapacityReports::Values CapacityReports::valuesOf(base::ServiceId Id,
                                                  const Service &Known,
                                                  base::TimePoint Now) const {
  Values Result;
  if (Known.Capacity) {
    Result.Rate = std::llround(Known.Capacity->RatePerSecond);
    Result.WorkAhead = Known.Capacity->WorkAhead;
    Result.ExpectedWaitMs = base::toMilliseconds(Known.Capacity->ExpectedWait);
    Result.Targets = Known.Capacity->Targets;
    Result.Warming = Known.Capacity->Warming;
  }
  if (const auto ShortFor = Monitor.shortFor(Id, Now)) {
    Result.Short = 1;
    Result.ShortForMs = base::toMilliseconds(*ShortFor);
    Result.ExpectedToLastMs = toMs(Monitor.expectedToLast(Id));
  }
  return Result;
}

void CapacityReports::setGauges(const std::string &Label, const Values &Shown) {
  const base::Labels Tags{{"service", Label}};
  Registry.gauge("service_rate_per_second", Tags).set(Shown.Rate);
  Registry.gauge("service_work_ahead", Tags).set(Shown.WorkAhead);
  Registry.gauge("service_expected_wait_ms", Tags).set(Shown.ExpectedWaitMs);
  Registry.gauge("service_targets", Tags).set(Shown.Targets);
  Registry.gauge("service_targets_warming_up", Tags).set(Shown.Warming);
  Registry.gauge("service_short", Tags).set(Shown.Short);
  Registry.gauge("service_short_for_ms", Tags).set(Shown.ShortForMs);
  Registry.gauge("service_shortage_left_ms", Tags).set(Shown.ExpectedToLastMs);
}

void CapacityReports::exportGauges(base::TimePoint Now) {
  for (const auto &[Id, Known] : Services)
    setGauges(Known.Label, valuesOf(Id, Known, Now));
}

Json::Value CapacityReports::describe(base::TimePoint Now) const {
  std::map<std::string, Values> ByName;
  for (const auto &[Id, Known] : Services)
    ByName[Known.Label] = valuesOf(Id, Known, Now);
  Json::Value List(Json::arrayValue);
  for (const auto &[Name, Shown] : ByName) {
    Json::Value Entry;
    Entry["service"] = Name;
    Entry["rate_per_second"] = Json::Int64(Shown.Rate);
    Entry["work_ahead"] = Json::Int64(Shown.WorkAhead);
    setTime(Entry["expected_wait_ms"], Shown.ExpectedWaitMs);
    Entry["targets"] = Json::Int64(Shown.Targets);
    Entry["targets_warming_up"] = Json::Int64(Shown.Warming);
    Entry["short"] = Shown.Short != 0;
    Entry["short_for_ms"] = Json::Int64(Shown.ShortForMs);
    setTime(Entry["shortage_left_ms"], Shown.ExpectedToLastMs);
    List.append(Entry);
  }
  return List;
}

void CapacityReports::logChange(flows::ShortageChange Change,
                                base::ServiceId Id, const Service &Known,
                                base::Duration WasShortFor, base::Now Now) {
  const Values Shown = valuesOf(Id, Known, Now.Monotonic);
  Json::Value Fields;
  Fields["service"] = Known.Label;
  Fields["rate_per_second"] = Json::Int64(Shown.Rate);
  Fields["work_ahead"] = Json::Int64(Shown.WorkAhead);
  setTime(Fields["expected_wait_ms"], Shown.ExpectedWaitMs);
  if (Change == flows::ShortageChange::Began)
    Fields["limit_ms"] = Json::Int64(base::toMilliseconds(Known.ShortageLimit));
  Fields["targets"] = Json::Int64(Shown.Targets);
  Fields["targets_warming_up"] = Json::Int64(Shown.Warming);
  if (Change != flows::ShortageChange::Began)
    Fields["was_short_for_ms"] = Json::Int64(base::toMilliseconds(WasShortFor));
  Log.write(LogPriority::Process, std::string(toString(Change)).c_str(), Fields,
            Now);
}

} // namespace burdockstream::flowd
