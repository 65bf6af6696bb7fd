// Maps service addresses to routes, as defined by one revision of the
// operators' configuration.
#ifndef BURDOCKSTREAM_FLOWS_ROUTETABLE_H
#define BURDOCKSTREAM_FLOWS_ROUTETABLE_H

#include "burdockstream/base/Ids.h"
#include "burdockstream/base/Time.h"
#include "burdockstream/flows/FlowKey.h"
#include "burdockstream/flows/RequestTime.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace burdockstream::flows {

// The kind of requests on a route: whether they are safe to run twice, and
// whether their responses are large. Indexes histograms, and is on the wire.
enum class WorkClass : uint8_t { Idempotent, NonIdempotent, Download, Other };
inline constexpr size_t WorkClasses = 4;

// Returns the name used in metrics and logs. Thread safety: any thread.
std::string_view toString(WorkClass Class);

// Upper limit of the times in a configuration; longer ones count as this long.
inline constexpr base::Duration MaxConfiguredTime = std::chrono::hours(24);

struct WeightedService {
  base::ServiceId Service;
  uint32_t Weight = 1;
};

struct Route {
  std::string Name;
  std::vector<WeightedService> Services; // at least one with a weight above 0
  // Services of the route in earlier revisions; their targets may still hold
  // flows of this route.
  std::vector<base::ServiceId> FormerServices;
  WorkClass Class = WorkClass::Other;
  std::optional<RequestTime> Time; // deadlines of a new request, if defined
};

struct RouteTable {
  base::Revision Revision = 0; // store revision at which the table was written
  uint64_t Version = 0;        // assigned by the operators; increases
  base::Duration IdleTimeout = std::chrono::seconds(60);
  std::unordered_map<base::SocketAddress, Route> Routes;
  // New flows per second that a target of the service can take while it warms
  // up. A service that is missing has no limit.
  std::unordered_map<base::ServiceId, uint32_t> WarmupFlowsPerSecond;

  // Returns the route of Flow, or null. The pointer is valid until Routes
  // changes. Thread safety: any thread.
  const Route *find(const FlowKey &Flow) const {
    const auto Found = Routes.find(Flow.Service);
    return Found == Routes.end() ? nullptr : &Found->second;
  }
};

// Returns the limit of Service in Table, 0 if it has none. Thread safety: any
// thread.
uint32_t warmupLimitOf(const RouteTable &Table, base::ServiceId Service);

// Chooses the service of a new flow in proportion to the weights. The choice is
// a hash of the flow key, so it is the same in every process. Precondition:
// Route has a service with a weight above 0; aborts otherwise. Thread safety:
// any thread.
base::ServiceId chooseService(const Route &Route, const FlowKey &Flow);

// Returns whether Candidate holds a newer configuration than InForce: one with
// a higher version or, of the same version, with a higher revision. A store
// that returns from an older copy holds older configurations at higher
// revisions until the operators have written the newest one again. Thread
// safety: any thread.
bool isNewer(const RouteTable &Candidate, const RouteTable &InForce);

// Returns whether the opening packets of Route are offered repeatedly, see
// BalancerIdentity::OpeningAttempt: only if a client has the time for a second
// attempt. Thread safety: any thread.
inline bool callsForRepeatedOffers(const Route &Route,
                                   base::Duration OpeningAttempt) {
  return OpeningAttempt > base::Duration(0) && Route.Time &&
         Route.Time->ToTimeLimit >= 2 * OpeningAttempt;
}

// Adds to FormerServices of each route in Newer the current and former services
// that the same route has in Older and that Newer does not use. Not
// thread-safe.
void mergeFormerServices(const RouteTable &Older, RouteTable &Newer);

} // namespace burdockstream::flows

#endif
