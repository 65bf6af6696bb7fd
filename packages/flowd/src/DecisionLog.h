// Exports the decisions of the protocol cores as counters and log lines.
#ifndef BURDOCKSTREAM_FLOWD_DECISIONLOG_H
#define BURDOCKSTREAM_FLOWD_DECISIONLOG_H

#include "burdockstream/base/Metrics.h"
#include "burdockstream/flowd/EventLog.h"
#include "burdockstream/flows/FlowDecision.h"

#include <array>

namespace burdockstream::flowd {

// Thread safety, for all methods: loop thread only.
class DecisionLog {
public:
  // Registers the counters in Registry. Both arguments must outlive the
  // object.
  DecisionLog(EventLog &InitLog, base::Metrics &Registry);

  // Counts Decision, and logs it if the rate limit of Log admits it.
  void record(const flows::FlowDecision &Decision, base::Now Now);

private:
  EventLog &Log;
  std::array<std::array<base::Counter *, flows::WorkClasses>,
             flows::DecisionKinds>
      Counters{};
};

} // namespace burdockstream::flowd

#endif
