// Copies counters into the metrics registry for modules that do not depend on
// it.
#ifndef BURDOCKSTREAM_DAEMON_COUNTEREXPORT_H
#define BURDOCKSTREAM_DAEMON_COUNTEREXPORT_H

#include "DataSocket.h"
#include "burdockstream/base/Metrics.h"
#include "burdockstream/membership/BalancerMembership.h"
#include "burdockstream/ownership/OwnershipCore.h"
#include "burdockstream/routing/Router.h"

namespace burdockstream::daemon {

// Minimum time between two exports. An export takes several microseconds, too
// long to do it for every event.
inline constexpr base::Duration ExportInterval = std::chrono::seconds(1);

// Each sets one gauge per counter. Thread safety: loop thread only.
void exportCounters(base::Metrics &Registry, DataSocket &Data);
void exportCounters(base::Metrics &Registry,
                    const routing::RouterCounters &Counters);
void exportCounters(base::Metrics &Registry,
                    const membership::BalancerMembershipCounters &Counters);
void exportCounters(base::Metrics &Registry,
                    const ownership::OwnershipCounters &Counters);

} // namespace burdockstream::daemon

#endif
