// Timers with callbacks on a GLib main context. All timers share one GSource,
// so the cost of a main loop iteration does not grow with their number.
#ifndef BURDOCKSTREAM_STANDINS_TIMERQUEUE_H
#define BURDOCKSTREAM_STANDINS_TIMERQUEUE_H

#include "burdockstream/base/Time.h"

#include <cstdint>
#include <functional>
#include <glib.h>
#include <map>
#include <unordered_map>
#include <utility>

namespace burdockstream::standins {

class TimerQueue {
public:
  using TimerId = uint64_t; // zero is never the id of a timer
  using Callback = std::function<void()>;

  // A null Context selects the default main context.
  explicit TimerQueue(GMainContext *Context);
  ~TimerQueue();
  TimerQueue(const TimerQueue &) = delete;
  TimerQueue &operator=(const TimerQueue &) = delete;

  // Calls Action once, from the main loop, after Delay. Thread safety: loop
  // thread only.
  TimerId after(base::Duration Delay, Callback Action);

  // Removes the timer; a timer that has fired or an unknown id is ignored.
  // Thread safety: loop thread only.
  void cancel(TimerId Id);

private:
  using Key = std::pair<int64_t, TimerId>; // due time in microseconds
  static gboolean dispatch(GSource *Source, GSourceFunc, gpointer);
  void fireDue();
  void arm();

  GSource *Source;
  TimerId LastId = 0;
  std::map<Key, Callback> Timers;
  std::unordered_map<TimerId, int64_t> DueTimes;
};

// Returns the current time of the wall clock. Thread safety: any thread.
base::WallTime wallNow();

// Returns the current time of the monotonic clock. Thread safety: any thread.
base::TimePoint monotonicNow();

} // namespace burdockstream::standins

#endif
