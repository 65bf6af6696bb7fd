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
  emit(Event, std::move(Fields), Now);
}

void EventLog::reportDropsAtIntervals(base::Now Now) {
  if (Dropped == Reported || Now.Monotonic < NextReport)
    return;
  NextReport = Now.Monotonic + DropReportInterval;
  Json::Value Fields;
  Fields["dropped"] = Json::UInt64(Dropped - Reported);
  Fields["dropped_total"] = Json::UInt64(Dropped);
  Reported = Dropped;
  emit("log_lines_dropped", std::move(Fields), Now);
}

void EventLog::emit(const char *Event, Json::Value Fields, base::Now Now) {
  Fields["time_ms"] = Json::Int64(Now.Wall.Milliseconds);
  Fields["process"] = Process;
  Fields["event"] = Event;
  // A line that was taken in part is finished first, so that lines stay whole.
  const bool Pending = !Rest.empty();
  std::string Text = std::move(Rest);
  if (!Pending)
    Text = base::compactJson(Fields) + "\n";
  else
    ++Dropped;
  const ssize_t Written = ::write(Descriptor, Text.data(), Text.size());
  if (Written <= 0 && !Pending)
    ++Dropped;
  const size_t Taken = Written > 0 ? static_cast<size_t>(Written) : 0;
  Rest = Taken == 0 && !Pending ? std::string() : Text.substr(Taken);
}

} // namespace burdockstream::flowd
