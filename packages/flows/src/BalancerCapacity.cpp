// What a balancer concludes from the capacity of a service.
#include "burdockstream/flows/FlowBalancer.h"
#include "burdockstream/flows/ServiceCapacity.h"

#include <algorithm>

namespace burdockstream::flows {

std::optional<base::Duration>
FlowBalancer::expectedWait(base::ServiceId Service, base::TimePoint Now) const {
  // Targets that the list or a status will add soon are not counted yet.
  const auto Capacity =
      isSettled(Now) ? capacityOf(Targets, Service, Now) : std::nullopt;
  if (!Capacity)
    return std::nullopt;
  const double Waiting = Capacity->WorkBeforeNew;
  const std::chrono::duration<double> Wait(
      std::max(Waiting - Capacity->Slots, 0.0) / Capacity->RatePerSecond);
  return std::chrono::round<base::Duration>(Wait);
}

} // namespace burdockstream::flows
