// Timers of the default GLib loop with std::function.
#ifndef BURDOCKSTREAM_NETWORK_LOOPTIMER_H
#define BURDOCKSTREAM_NETWORK_LOOPTIMER_H

#include "burdockstream/base/Time.h"

#include <functional>
#include <glib.h>

namespace burdockstream::network {

// Calls Run once after Delay and returns the source, which may be removed
// before. Thread safety: loop thread only.
guint callLater(base::Duration Delay, std::function<void()> Run);

// Calls Run every Interval until the returned source is removed. Thread safety:
// loop thread only.
guint callEvery(base::Duration Interval, std::function<void()> Run);

} // namespace burdockstream::network

#endif
