// Decides when a response has timed out.
//
// Load pattern: a stored value of a megabyte takes a second on the link of a
// small VM, and longer beside its other traffic. With one limit for the whole
// call, such a response fails however often the call is repeated, while a
// limit that admits it would detect a server that has stopped only late.
// Therefore a response may take longer as long as it keeps arriving.
#ifndef BURDOCKSTREAM_HTTP_RESPONSEDEADLINE_H
#define BURDOCKSTREAM_HTTP_RESPONSEDEADLINE_H

#include "burdockstream/base/Time.h"

#include <algorithm>
#include <cstddef>

namespace burdockstream::http {

// Part of a body that must arrive within each stall timeout. It bounds the time
// that a server can occupy a call: a body of 1 MB takes 64 such timeouts at
// most.
inline constexpr size_t MinProgressBytes = size_t{16} * 1024;

// Thread safety, for all methods: one thread at a time.
class ResponseDeadline {
public:
  // The response must be complete at InitLatest, or later if at least
  // MinProgressBytes of it arrive in each InitStallTimeout. With a stall
  // timeout of zero, InitLatest is final.
  ResponseDeadline(base::TimePoint InitLatest, base::Duration InitStallTimeout)
      : Latest(InitLatest), StallTimeout(InitStallTimeout) {}

  // Records that the response has begun.
  void onHeaders(base::TimePoint Now) { extend(Now); }

  // Records that Count further bytes of the body have arrived.
  void onBytes(size_t Count, base::TimePoint Now) {
    Unaccounted += Count;
    if (Unaccounted < MinProgressBytes)
      return;
    Unaccounted = 0;
    extend(Now);
  }

  // The time at which the response fails unless more of it arrives.
  base::TimePoint latest() const { return Latest; }

private:
  void extend(base::TimePoint Now) {
    if (StallTimeout > base::Duration::zero())
      Latest = std::max(Latest, Now + StallTimeout);
  }

  base::TimePoint Latest;
  base::Duration StallTimeout;
  size_t Unaccounted = 0; // bytes since the last extension
};

} // namespace burdockstream::http

#endif
