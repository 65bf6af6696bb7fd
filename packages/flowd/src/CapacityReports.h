// Reports the capacity of each service to operators: gauges, a section of the
// daemon's report, and a log line when a service becomes short of capacity or
// is no longer short.
//
// Load pattern: requests exceed the rate of a service's targets for seconds or
// longer, which no single process could tell before.
#ifndef BURDOCKSTREAM_FLOWD_CAPACITYREPORTS_H
#define BURDOCKSTREAM_FLOWD_CAPACITYREPORTS_H

#include "burdockstream/base/Metrics.h"
#include "burdockstream/flowd/EventLog.h"
#include "burdockstream/flows/FlowBalancer.h"
#include "burdockstream/flows/ServiceCapacity.h"

#include <json/value.h>
#include <map>
#include <string>
#include <unordered_map>

namespace burdockstream::flowd {

// Value of gauges for times that are not known.
inline constexpr int64_t UnknownTimeMs = -1;

// Interval between estimates, that of statuses of other failure domains. An
// estimate takes about 1 us for a service of 60 targets, and there may be
// thousands of services.
inline constexpr base::Duration CapacityInterval =
    std::chrono::milliseconds(250);

// Thread safety, for all methods: loop thread only.
class CapacityReports {
public:
  // Both arguments must outlive the object.
  CapacityReports(EventLog &InitLog, base::Metrics &InitRegistry)
      : Log(InitLog), Registry(InitRegistry) {}

  // Takes the capacity of all services that Core knows targets of, and logs
  // changes. Does nothing before CapacityInterval has passed since the last
  // time. Call several times per second; Now does not decrease.
  void update(const flows::FlowBalancer &Core, base::Now Now);

  // Sets the gauges as of the last update.
  void exportGauges(base::TimePoint Now);

  // Returns one entry per service as of the last update, ordered by name.
  Json::Value describe(base::TimePoint Now) const;

private:
  // A service by its name, or by its identifier in hexadecimal digits while the
  // store has not listed a target of it.
  struct Service {
    std::string Label;
    std::optional<flows::ServiceCapacity> Capacity; // nullopt: unknown
    // Expected wait above which it is short, as of the last known capacity.
    base::Duration ShortageLimit{0};
  };
  // The values that operators see of one service.
  struct Values {
    int64_t Rate = 0;
    int64_t WorkAhead = 0;
    int64_t ExpectedWaitMs = UnknownTimeMs;
    int64_t Targets = 0;
    int64_t Warming = 0;
    int64_t Short = 0;
    int64_t ShortForMs = 0;
    int64_t ExpectedToLastMs = 0;
  };

  void readRoutes(const flows::FlowBalancer &Core);
  void nameServices(const flows::TargetTable &Targets);
  void removeServices(const flows::TargetTable &Targets, base::TimePoint Now);
  Values valuesOf(base::ServiceId Id, const Service &Known,
                  base::TimePoint Now) const;
  void setGauges(const std::string &Label, const Values &Shown);
  void logChange(flows::ShortageChange Change, base::ServiceId Id,
                 const Service &Known, base::Duration WasShortFor,
                 base::Now Now);

  EventLog &Log;
  base::Metrics &Registry;
  flows::ShortageMonitor Monitor;
  std::map<base::ServiceId, Service> Services;
  base::TimePoint NextUpdate{};
  base::TimePoint RoutesSince{}; // of the routes that LatencyTargets are of
  std::unordered_map<base::ServiceId, base::Duration> LatencyTargets;
};

} // namespace burdockstream::flowd

#endif
