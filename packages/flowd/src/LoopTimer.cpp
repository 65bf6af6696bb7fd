#include "LoopTimer.h"

#include <ctime>
#include <memory>
#include <utility>

namespace burdockstream::flowd {

namespace {

using Action = std::function<void()>;

guint toMilliseconds(base::Duration Value) {
  return static_cast<guint>(
      std::chrono::duration_cast<std::chrono::milliseconds>(Value).count());
}

gboolean runOnce(gpointer Data) {
  (*static_cast<Action *>(Data))();
  return G_SOURCE_REMOVE;
}

gboolean runAgain(gpointer Data) {
  (*static_cast<Action *>(Data))();
  return G_SOURCE_CONTINUE;
}

void destroyAction(gpointer Data) { delete static_cast<Action *>(Data); }

} // namespace

guint callLater(base::Duration Delay, std::function<void()> Run) {
  return g_timeout_add_full(G_PRIORITY_DEFAULT, toMilliseconds(Delay), runOnce,
                            new Action(std::move(Run)), destroyAction);
}

guint callEvery(base::Duration Interval, std::function<void()> Run) {
  return g_timeout_add_full(G_PRIORITY_DEFAULT, toMilliseconds(Interval),
                            runAgain, new Action(std::move(Run)),
                            destroyAction);
}

base::Now readClocks() {
  timespec Time{};
  ::clock_gettime(CLOCK_BOOTTIME, &Time);
  base::Now Now;
  Now.Monotonic = base::TimePoint(std::chrono::seconds(Time.tv_sec) +
                                  std::chrono::duration_cast<base::Duration>(
                                      std::chrono::nanoseconds(Time.tv_nsec)));
  Now.Wall = base::WallTime{g_get_real_time() / 1000};
  return Now;
}

} // namespace burdockstream::flowd
