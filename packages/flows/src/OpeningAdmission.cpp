#include "burdockstream/flows/OpeningAdmission.h"

#include <algorithm>
#include <cmath>

namespace burdockstream::flows {

namespace {

// Returns the number of requests that keeps all slots busy: those in progress,
// plus as many as the slots finish while the first request of a new flow is in
// transit.
uint32_t workToKeepBusy(const TargetLoad &Load) {
  if (!Load.ServiceTime || Load.ServiceTime->count() <= 0)
    return FirstRequestsPerSlot * Load.Slots;
  const double Finished =
      std::ceil(static_cast<double>(Load.Handshake.count()) * Load.Slots /
                static_cast<double>(Load.ServiceTime->count()));
  const double Queued = std::clamp(
      Finished, 1.0, static_cast<double>((RequestsPerSlot - 1) * Load.Slots));
  return Load.Slots + static_cast<uint32_t>(Queued);
}

} // namespace

Urgency urgencyOf(const TargetLoad &Load,
                  const std::optional<RequestTime> &Left) {
  if (!Left)
    return Urgency::NoDeadline;
  if (Left->ToTimeLimit <= base::Duration(0))
    return Urgency::Expired;
  const base::Duration Work = Load.ServiceTime.value_or(base::Duration(0));
  const uint32_t Ahead =
      Load.InProgress < Load.Slots ? 0 : Load.InProgress - Load.Slots + 1;
  // The request and its answer each take as long as the handshake.
  const base::Duration Needed =
      Load.Handshake * 2 + Work * Ahead / Load.Slots + Work;
  return Left->ToLatencyTarget > Needed ? Urgency::OnTime : Urgency::Late;
}

bool admits(const TargetLoad &Load, Urgency Urgency) {
  switch (Urgency) {
  case Urgency::Expired:
    return false;
  case Urgency::Late:
    return Load.InProgress < Load.Slots;
  case Urgency::OnTime:
    return Load.InProgress < workToKeepBusy(Load);
  case Urgency::NoDeadline:
    return Load.InProgress < RequestsPerSlot * Load.Slots;
  }
  return false;
}

} // namespace burdockstream::flows
