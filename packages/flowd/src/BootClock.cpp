#include "BootClock.h"

#include <ctime>
#include <glib.h>

namespace burdockstream::flowd {

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
