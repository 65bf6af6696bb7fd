#include "burdockstream/flows/OutlierEjection.h"

#include <algorithm>

namespace burdockstream::flows {

bool OutlierEjection::recordFailure(base::TimePoint Now) {
  if (Now < EjectedUntil)
    return false; // a request that was in progress before
  if (Now - EjectedUntil > EjectionMemory)
    LastEjectionTime = base::Duration(0);
  const bool EjectedBefore = LastEjectionTime > base::Duration(0);
  if (++Failures < FailuresToEject && !EjectedBefore)
    return false;
  Failures = 0;
  LastEjectionTime =
      std::clamp(2 * LastEjectionTime, MinEjectionTime, MaxEjectionTime);
  EjectedUntil = Now + LastEjectionTime;
  return true;
}

base::Duration OutlierEjection::remaining(base::TimePoint Now) const {
  return std::max(EjectedUntil - Now, base::Duration(0));
}

} // namespace burdockstream::flows
