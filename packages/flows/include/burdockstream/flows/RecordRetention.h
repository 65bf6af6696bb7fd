// Decides how long an agent keeps the records of idle flows, and whether it can
// deny a flow without a record.
//
// Load pattern: clients keep flows open and pause for as long as the
// configuration allows. After the planned restart of a balancer, packets of
// these flows reach one that does not know them. An agent that has dropped a
// record before its target may drop the flow would deny it, and the balancer
// would reset it; an agent that denies nothing would get a trial packet of each
// flow that is searched. Therefore records last as long as the configured idle
// timeout, and flows are denied unless a record was dropped earlier.
#ifndef BURDOCKSTREAM_FLOWS_RECORDRETENTION_H
#define BURDOCKSTREAM_FLOWS_RECORDRETENTION_H

#include "burdockstream/base/Ids.h"
#include "burdockstream/base/Time.h"

#include <algorithm>
#include <cstddef>
#include <optional>

namespace burdockstream::flows {

// Records of idle flows are kept for one to two periods, of this length or of
// the idle timeout if that is longer. The minimum outlasts the packets of a
// closed flow that are still in transit.
inline constexpr base::Duration MinRecordRetention = std::chrono::seconds(30);
inline constexpr base::Duration MaxRecordRetention = std::chrono::minutes(10);

// Largest number of records, which take 6 MB; beyond it, idle ones are dropped
// early.
inline constexpr size_t MaxFlowRecords = 65'536;

// Thread safety, for all methods: one thread at a time. Precondition: Now does
// not decrease between calls.
class RecordRetention {
public:
  // Records the idle timeout of the routes of Revision; ignored if newer routes
  // are known. Zero: the sender does not know it.
  void setIdleTimeout(base::Duration Timeout, base::Revision Revision,
                      base::TimePoint Now) {
    if (Timeout <= base::Duration::zero() || Revision < Routes)
      return;
    Routes = Revision;
    if (IdleTimeout == Timeout)
      return;
    // What was dropped by a shorter timeout may be open by the new one.
    if (LastDropAt && LastDropAfter < Timeout)
      EarlyDropAt = std::max(EarlyDropAt.value_or(*LastDropAt), *LastDropAt);
    IdleTimeout = Timeout;
    // No record is dropped before it has been idle for the new period.
    NextAging = Now + period();
  }

  // Returns whether to age the records now, of which there are Count: those
  // that were idle for a whole period are dropped.
  bool isAgingDue(size_t Count, base::TimePoint Now) const {
    return Now >= NextAging || Count > MaxFlowRecords;
  }

  // Records that the records have been aged. DroppedOpen: among those dropped
  // were flows that the target may hold.
  void recordAging(bool DroppedOpen, base::TimePoint Now) {
    const base::Duration Idle =
        Now >= NextAging ? period() : base::Duration::zero();
    NextAging = Now + period();
    if (!DroppedOpen)
      return;
    LastDropAt = Now;
    LastDropAfter = Idle;
    if (!IdleTimeout || Idle < *IdleTimeout)
      EarlyDropAt = Now;
  }

  // Returns whether the target holds no flow without a record, as far as the
  // agent has observed all its flows.
  bool coversAllFlows(base::TimePoint Now) const {
    return !EarlyDropAt ||
           Now - *EarlyDropAt > IdleTimeout.value_or(MaxRecordRetention);
  }

private:
  base::Duration period() const {
    return std::clamp<base::Duration>(IdleTimeout.value_or(MinRecordRetention),
                                      MinRecordRetention, MaxRecordRetention);
  }

  std::optional<base::Duration> IdleTimeout;
  base::Revision Routes = 0; // that IdleTimeout belongs to
  base::TimePoint NextAging{};
  // The last drop of a flow that the target may hold, and the idle time at
  // least of those dropped.
  std::optional<base::TimePoint> LastDropAt;
  base::Duration LastDropAfter{0};
  // The last drop before the idle timeout had passed.
  std::optional<base::TimePoint> EarlyDropAt;
};

} // namespace burdockstream::flows

#endif
