// Timers on the default GLib main context that call a std::function. Resolution
// is one millisecond.
#ifndef BURDOCKSTREAM_NETWORK_LOOPTIMER_H
#define BURDOCKSTREAM_NETWORK_LOOPTIMER_H

#include "burdockstream/base/Time.h"

#include <functional>
#include <glib.h>

namespace burdockstream::network {

// Calls Run once after Delay. Returns the id of the GLib source, which may be
// removed with g_source_remove() until Run has been called. Thread safety: loop
// thread only.
guint callLater(base::Duration Delay, std::function<void()> Run);

// Calls Run every Interval until the source with the returned id is removed
// with g_source_remove(). Thread safety: loop thread only.
guint callEvery(base::Duration Interval, std::function<void()> Run);

} // namespace burdockstream::network

#endif
