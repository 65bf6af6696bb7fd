// Chooses a small set of preferred targets for each flow by rendezvous hashing.
// Placement prefers them, so a balancer that does not know a flow asks them
// first.
//
// Load pattern: after a crash of all processes every long-lived flow is
// searched, and only the targets know which flows they hold. A packet to each
// target of the service would overload small VMs for seconds; one to each
// preferred target does not.
#ifndef BURDOCKSTREAM_FLOWS_PREFERREDTARGETS_H
#define BURDOCKSTREAM_FLOWS_PREFERREDTARGETS_H

#include "burdockstream/flows/FlowKey.h"
#include "burdockstream/flows/TargetTable.h"

#include <cstddef>
#include <string_view>
#include <vector>

namespace burdockstream::flows {

// Preferred targets per flow. The least loaded of four is nearly as good a
// choice as the least loaded of all.
inline constexpr size_t PreferredTargetCount = 4;

// Returns up to PreferredTargetCount targets of Service in FailureDomain. All
// balancers get the same set for a flow, and adding or removing a target
// changes the sets of few flows. Thread safety: that of Targets.
std::vector<TargetIndex> preferredTargets(const TargetTable &Targets,
                                          base::ServiceId Service,
                                          std::string_view FailureDomain,
                                          const FlowKey &Flow);

} // namespace burdockstream::flows

#endif
