#include "Clock.h"

#include <glib.h>

namespace burdockstream::daemon {

base::Now readClocks() {
  base::Now Now;
  Now.Monotonic = base::TimePoint(base::Duration(g_get_monotonic_time()));
  Now.Wall = base::WallTime{g_get_real_time() / 1000};
  return Now;
}

} // namespace burdockstream::daemon
