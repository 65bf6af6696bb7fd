// Structured logs: one JSON object a line on standard output. Writing never
// blocks: a line that the reader does not take at once, or that is over the
// rate, is dropped and counted, and the count is logged.
#ifndef BURDOCKSTREAM_FLOWD_EVENTLOG_H
#define BURDOCKSTREAM_FLOWD_EVENTLOG_H

#include "burdockstream/base/Time.h"

#include <cstdint>
#include <json/value.h>
#include <string>

namespace burdockstream::flowd {

// Lines about single flows may be many; lines about the process are few.
enum class LogPriority : uint8_t { Flow, Process };

struct LogLimits {
  // Lines about flows a second, and how many may come at once. A line costs
  // about 20 us of a core, of which a VM beside a target has a tenth.
  double FlowLinesPerSecond = 60;
  double FlowBurst = 120;
};

class EventLog {
public:
  // Writes to Descriptor, which becomes non-blocking. Thread safety: any
  // thread.
  EventLog(int InitDescriptor, std::string InitProcess, LogLimits InitLimits);

  // Writes one line: the time, the process, Event and Fields, which must be an
  // object or null. Thread safety: loop thread only.
  void write(LogPriority Priority, const char *Event, Json::Value Fields,
             base::Now Now);

  // Whether a line about a flow would be written now; if not, it counts as
  // dropped. It saves building the fields. Thread safety: loop thread only.
  bool admitsFlowLine(base::Now Now);

  // Logs once a second how many lines were dropped, if any were. Thread safety:
  // loop thread only.
  void reportDropsAtIntervals(base::Now Now);

  uint64_t dropped() const { return Dropped; }

private:
  void emit(const char *Event, Json::Value Fields, base::Now Now);

  int Descriptor;
  std::string Process;
  LogLimits Limits;
  double Tokens;
  base::TimePoint LastRefill{};
  uint64_t Dropped = 0;
  uint64_t Reported = 0;
  base::TimePoint NextReport{};
  std::string Rest; // the part of a line that the reader has not taken yet
};

} // namespace burdockstream::flowd

#endif
