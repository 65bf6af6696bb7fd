// What a balancer concludes from the capacity of a service.
#include "burdockstream/flows/FlowBalancer.h"
#include "burdockstream/flows/ServiceCapacity.h"

namespace burdockstream::flows {

std::optional<base::Duration>
FlowBalancer::expectedWait(base::ServiceId Service, base::TimePoint Now) const {
  const auto Capacity = capacityOf(Targets, Service, Now);
  if (!Capacity)
    return std::nullopt;
  return Capacity->ExpectedWait;
}

} // namespace burdockstream::flows
