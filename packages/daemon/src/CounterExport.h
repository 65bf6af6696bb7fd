// Copies the counters of modules that do not know the metrics registry into it.
#ifndef BURDOCKSTREAM_DAEMON_COUNTEREXPORT_H
#define BURDOCKSTREAM_DAEMON_COUNTEREXPORT_H

#include "DataSocket.h"
#include "burdockstream/base/Metrics.h"
#include "burdockstream/membership/BalancerMembership.h"
#include "burdockstream/ownership/OwnershipCore.h"
#include "burdockstream/routing/Router.h"

namespace burdockstream::daemon {

// Copying takes some microseconds, so it is not done for every event.
inline constexpr base::Duration ExportInterval = std::chrono::seconds(1);

// Each sets one gauge for each counter. Thread safety: loop thread only.
void exportCounters(base::Metrics &Registry, DataSocket &Data);
void exportCounters(base::Metrics &Registry,
                    const routing::RouterCounters &Counters);
void exportCounters(base::Metrics &Registry,
                    const membership::BalancerMembershipCounters &Counters);
void exportCounters(base::Metrics &Registry,
                    const ownership::OwnershipCounters &Counters);

} // namespace burdockstream::daemon

#endif
