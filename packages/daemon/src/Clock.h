// Clock access. No other code of the daemon reads a clock.
#ifndef BURDOCKSTREAM_DAEMON_CLOCK_H
#define BURDOCKSTREAM_DAEMON_CLOCK_H

#include "burdockstream/base/Time.h"

namespace burdockstream::daemon {

// Returns the current monotonic and wall-clock time. Thread safety: any thread.
base::Now readClocks();

} // namespace burdockstream::daemon

#endif
