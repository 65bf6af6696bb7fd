// Structured log: one JSON object per line. Writing never blocks. A line that
// exceeds the rate limit, or that the output cannot accept immediately, is
// dropped; the number of dropped lines is logged.
#ifndef BURDOCKSTREAM_FLOWD_EVENTLOG_H
#define BURDOCKSTREAM_FLOWD_EVENTLOG_H

#include "burdockstream/base/Time.h"

#include <cstdint>
#include <json/value.h>
#include <string>

namespace burdockstream::flowd {

// Lines about single flows are rate-limited, because their number grows with
// the load; lines about the process are rare and not limited.
enum class LogPriority : uint8_t { Flow, Process };

// Token bucket for lines about flows.
struct LogLimits {
  // Writing a line takes about 20 us of CPU time, and a VM next to a target has
  // a tenth of a core.
  double FlowLinesPerSecond = 60;
  double FlowBurst = 120; // lines
};

class EventLog {
public:
  // Writes to Descriptor, which is set to non-blocking mode. Thread safety: any
  // thread.
  EventLog(int InitDescriptor, std::string InitProcess, LogLimits InitLimits);

  // Writes one line with the time, the name of the process, Event and Fields.
  // Precondition: Fields is an object or null. A line with priority Flow also
  // needs a preceding admitsFlowLine() that returned true. Thread safety: loop
  // thread only.
  void write(LogPriority Priority, const char *Event, Json::Value Fields,
             base::Now Now);

  // Returns whether the rate limit admits a line about a flow now; otherwise
  // counts it as dropped. Callers ask before they build the fields, to save
  // that work for dropped lines. Thread safety: loop thread only.
  bool admitsFlowLine(base::Now Now);

  // Logs the number of lines dropped since the last report, at most once per
  // second and only if there are any. Thread safety: loop thread only.
  void reportDroppedLines(base::Now Now);

  // Returns the number of lines dropped so far. Thread safety: loop thread
  // only.
  uint64_t dropped() const { return Dropped; }

private:
  void writeLine(const char *Event, Json::Value Fields, base::Now Now);

  int Descriptor;
  std::string Process;
  LogLimits Limits;
  double Tokens;
  base::TimePoint LastRefill{};
  uint64_t Dropped = 0;
  uint64_t ReportedDropped = 0;
  base::TimePoint NextReport{};
  std::string UnwrittenTail; // remainder of a partially written line
};

} // namespace burdockstream::flowd

#endif
