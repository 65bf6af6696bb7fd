// The clocks of a daemon of flow services.
#ifndef BURDOCKSTREAM_FLOWD_BOOTCLOCK_H
#define BURDOCKSTREAM_FLOWD_BOOTCLOCK_H

#include "burdockstream/base/Time.h"

namespace burdockstream::flowd {

// Reads the clocks. The monotonic one also counts the time for which the VM was
// suspended, so that ages are true after it. Thread safety: any thread.
base::Now readClocks();

} // namespace burdockstream::flowd

#endif
