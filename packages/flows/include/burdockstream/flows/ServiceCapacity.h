// The capacity of a service as one balancer sees it, and the detection of
// shortages. Pure code over the statuses in a TargetTable; balancers exchange
// nothing for it.
//
// Load pattern: part of the targets fails at peak load, or load rises above the
// rate of all targets. Each opening packet is then offered to busy targets and
// the clients repeat it, while no process knows how long the backlog will last.
// The requests beyond those that occupy a slot, divided by the rate, are the
// time that a new opening has to wait. Where statuses are missing, both lack
// the same targets, so the quotient stays valid.
#ifndef BURDOCKSTREAM_FLOWS_SERVICECAPACITY_H
#define BURDOCKSTREAM_FLOWS_SERVICECAPACITY_H

#include "burdockstream/base/Ids.h"
#include "burdockstream/base/Time.h"
#include "burdockstream/flows/RouteTable.h"
#include "burdockstream/flows/TargetTable.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <utility>

namespace burdockstream::flows {

// Targets with a measured slot time that an estimate requires. With a single
// one, an error of its measurement would apply to the whole service.
inline constexpr size_t MinMeasuredTargets = 2;

struct ServiceCapacity {
  double RatePerSecond = 0; // requests that the targets can finish now
  uint32_t WorkAhead = 0;   // requests in progress, waiting and held
  // Part of WorkAhead that a new opening on time waits for: agents deliver it
  // before held openings that will be late.
  uint32_t WorkBeforeNew = 0;
  uint32_t Slots = 0;
  uint32_t Targets = 0; // that the estimate covers
  uint32_t Warming = 0; // of these, still warming up
  // Mean time that a request occupies a slot, weighted by rate.
  base::Duration SlotTime{0};
  // Time until the targets have started the work ahead, so that a slot is free
  // for a new opening.
  base::Duration ExpectedWait{0};
};

// Returns the capacity of Service from the targets that accept flows now, or
// nullopt if fewer than MinMeasuredTargets of them have a measured slot time.
// Takes one pass over the targets of the service. Thread safety: that of
// Targets.
std::optional<ServiceCapacity> capacityOf(const TargetTable &Targets,
                                          base::ServiceId Service,
                                          base::TimePoint Now);

// Returns the shortest latency target of the routes to each service; services
// without one are missing. Takes one pass over the routes. Thread safety: any
// thread.
std::unordered_map<base::ServiceId, base::Duration>
latencyTargets(const RouteTable &Table);

// Expected waits at which a service becomes short of capacity (above Begin) and
// at which it is no longer short (at most End).
struct ShortageLimits {
  base::Duration Begin{0};
  base::Duration End{0};
};

// End as a share of Begin. Waits between both limits change no state, so that
// load which varies around a limit causes no series of reports.
inline constexpr double ShortageEndShare = 0.5;

// Returns the limits of a service: it is short when a new request misses
// LatencyTarget even if it starts as soon as a slot is free. Without a latency
// target, it is short when the wait exceeds what targets may queue for each
// slot (RequestsPerSlot). Thread safety: any thread.
ShortageLimits shortageLimits(const ServiceCapacity &Capacity,
                              std::optional<base::Duration> LatencyTarget);

enum class ShortageChange : uint8_t {
  Began,
  Ended,
  Unknown, // too few statuses are left to say whether the service is short
};

// Returns the event name used in logs. Thread safety: any thread.
std::string_view toString(ShortageChange Change);

// Minimum interval between two changes of the state of one service.
inline constexpr base::Duration ShortageReportInterval =
    std::chrono::seconds(1);

// The trend of the expected wait is taken over this time, several times the
// interval of statuses.
inline constexpr base::Duration ShortageTrendWindow = std::chrono::seconds(1);

// No end of a shortage is stated beyond this, since the trend of one window
// does not support it.
inline constexpr base::Duration MaxShortageForecast = std::chrono::seconds(60);

// Detects when services become short of capacity and when they no longer are.
// Thread safety, for all methods: one thread at a time. Precondition: Now does
// not decrease between calls.
class ShortageMonitor {
public:
  // Applies the present capacity of Service, nullopt if it is unknown. Returns
  // the change to report, if any. A change within ShortageReportInterval after
  // the last one is delayed until then. Call several times per second.
  std::optional<ShortageChange>
  update(base::ServiceId Service,
         const std::optional<ServiceCapacity> &Capacity,
         std::optional<base::Duration> LatencyTarget, base::TimePoint Now);

  // Removes the state of Service.
  void forget(base::ServiceId Service) { Services.erase(Service); }

  // Returns how long Service has been short, or nullopt if it is not.
  std::optional<base::Duration> shortFor(base::ServiceId Service,
                                         base::TimePoint Now) const;

  // Returns how long the shortage of Service is expected to last if the load
  // stays as it was during ShortageTrendWindow. Returns nullopt if the service
  // is not short, or not expected to end it within MaxShortageForecast.
  std::optional<base::Duration> expectedToLast(base::ServiceId Service) const;

private:
  struct State {
    bool Short = false;
    base::TimePoint Since{};
    std::optional<base::TimePoint> ChangedAt;
    base::Duration EndLimit{0};
    // Expected waits of the last ShortageTrendWindow, oldest first.
    std::deque<std::pair<base::TimePoint, base::Duration>> Waits;
  };

  static void record(State &Known, base::Duration Wait, base::TimePoint Now);

  std::unordered_map<base::ServiceId, State> Services;
};

} // namespace burdockstream::flows

#endif
