// Clocks of the flow service daemons.
#ifndef BURDOCKSTREAM_FLOWD_BOOTCLOCK_H
#define BURDOCKSTREAM_FLOWD_BOOTCLOCK_H

#include "burdockstream/base/Time.h"

namespace burdockstream::flowd {

// Returns the monotonic and the wall-clock time. The monotonic clock includes
// time during which the VM was suspended, so that ages remain correct
// afterwards. Thread safety: any thread.
base::Now readClocks();

} // namespace burdockstream::flowd

#endif
