// Timers of the default GLib loop with std::function.
#ifndef BURDOCKSTREAM_FLOWD_LOOPTIMER_H
#define BURDOCKSTREAM_FLOWD_LOOPTIMER_H

#include "burdockstream/base/Time.h"

#include <functional>
#include <glib.h>

namespace burdockstream::flowd {

// Calls Action once after Delay and returns the source, which may be removed
// before. Thread safety: loop thread only.
guint callLater(base::Duration Delay, std::function<void()> Action);

// Calls Action every Interval until the returned source is removed. Thread
// safety: loop thread only.
guint callEvery(base::Duration Interval, std::function<void()> Action);

// Reads the clocks. The monotonic one also counts the time for which the VM was
// suspended, so that ages are true after it. Thread safety: any thread.
base::Now readClocks();

} // namespace burdockstream::flowd

#endif
