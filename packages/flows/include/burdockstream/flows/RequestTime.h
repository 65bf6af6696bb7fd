// The time left until the deadlines of a request, and its one-byte encoding in
// a frame.
#ifndef BURDOCKSTREAM_FLOWS_REQUESTTIME_H
#define BURDOCKSTREAM_FLOWS_REQUESTTIME_H

#include "burdockstream/base/Time.h"

#include <cstdint>

namespace burdockstream::flows {

// Time left until the deadlines of a request. In a route, the times that a new
// request has.
struct RequestTime {
  base::Duration ToLatencyTarget{0}; // negative: the latency target is missed
  base::Duration ToTimeLimit{0};     // negative: the client has given up

  // Returns the time that is left after Elapsed. Thread safety: any thread.
  RequestTime after(base::Duration Elapsed) const {
    return {ToLatencyTarget - Elapsed, ToTimeLimit - Elapsed};
  }

  friend bool operator==(const RequestTime &, const RequestTime &) = default;
};

// Encodes a time in one byte on a logarithmic scale: zero and negative times
// are 0, and each doubling of (1 + milliseconds) has 16 steps. This covers 1 ms
// to more than 60 s with an error of 3%. Thread safety, also of unpackTime: any
// thread.
uint8_t packTime(base::Duration Time);
base::Duration unpackTime(uint8_t Value);

} // namespace burdockstream::flows

#endif
