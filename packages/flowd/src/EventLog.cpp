#include "burdockstream/flowd/EventLog.h"

#include "burdockstream/base/JsonText.h"

#include <algorithm>
#include <fcntl.h>
#include <unistd.h>
#include <utility>

namespace burdockstream::flowd {

namespace {

constexpr base::Duration DropReportInterval = std::chrono::seconds(1);

} // namespace

EventLog::EventLog(int InitDescriptor, std::string InitProcess,
                   LogLimits InitLimits)
    : Descriptor(InitDescriptor), Process(std::move(InitProcess)),
      Limits(InitLimits), Tokens(InitLimits.FlowBurst) {
  const int Flags = ::fcntl(Descriptor, F_GETFL);
  ::fcntl(Descriptor, F_SETFL, Flags | O_NONBLOCK);
}

bool EventLog::admitsFlowLine(base::Now Now) {
  const std::chrono::duration<double> Elapsed = Now.Monotonic - LastRefill;
  LastRefill = Now.Monotonic;
  Tokens = std::min(Limits.FlowBurst,
                    Tokens + Elapsed.count() * Limits.FlowLinesPerSecond);
  if (Tokens >= 1)
    return true;
  ++Dropped;
  return false;
}

void EventLog::write(LogPriority Priority, const char *Event,
                     Json::Value Fields, base::Now Now) {
  if (Priority == LogPriority::Flow)
    Tokens -= 1;
  writeLine(Event, std::move(Fields), Now);
}

void EventLog::reportDroppedLines(base::Now Now) {
  if (Dropped == ReportedDropped || Now.Monotonic < NextReport)
    return;
  NextReport = Now.Monotonic + DropReportInterval;
  Json::Value Fields;
  Fields["dropped"] = Json::UInt64(Dropped - ReportedDropped);
  Fields["dropped_total"] = Json::UInt64(Dropped);
  ReportedDropped = Dropped;
  writeLine("log_lines_dropped", std::move(Fields), Now);
}

void EventLog::writeLine(const char *Event, Json::Value Fields, base::Now Now) {
  Fields["time_ms"] = Json::Int64(Now.Wall.Milliseconds);
  Fields["process"] = Process;
  Fields["event"] = Event;
  // The rest of a partially written line goes first, so that lines stay
  // intact; the new line is dropped in that case.
  const bool HasTail = !UnwrittenTail.empty();
  std::string Text = std::move(UnwrittenTail);
  if (!HasTail)
    Text = base::compactJson(Fields) + "\n";
  else
    ++Dropped;
  const ssize_t WriteResult = ::write(Descriptor, Text.data(), Text.size());
  if (WriteResult <= 0 && !HasTail)
    ++Dropped;
  const size_t BytesWritten =
      WriteResult > 0 ? static_cast<size_t>(WriteResult) : 0;
  UnwrittenTail =
      BytesWritten == 0 && !HasTail ? std::string() : Text.substr(BytesWritten);
}

} // namespace burdockstream::flowd
