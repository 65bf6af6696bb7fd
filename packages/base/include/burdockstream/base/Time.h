// Time types of the decision core. The core never reads a clock: every call
// receives the current time from its caller, so tests can run in virtual time.
#ifndef BURDOCKSTREAM_BASE_TIME_H
#define BURDOCKSTREAM_BASE_TIME_H

#include <chrono>
#include <cstdint>

namespace burdockstream::base {

// The resolution of all intervals and of the monotonic clock.
using Duration = std::chrono::microseconds;

// Returns the whole milliseconds of Time. Thread safety: any thread.
inline int64_t toMilliseconds(Duration Time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Time).count();
}

// Tag of the process's monotonic clock. It has no now(): the daemon's loop
// supplies the time.
struct MonotonicClock {
  using rep = Duration::rep;
  using period = Duration::period;
  using duration = Duration;
  using time_point = std::chrono::time_point<MonotonicClock>;
  // The name is the one that the standard gives it.
  // NOLINTNEXTLINE(readability-identifier-naming)
  static constexpr bool is_steady = true;
};
using TimePoint = std::chrono::time_point<MonotonicClock>;

// Wall-clock time in milliseconds since the Unix epoch, as carried in caller
// requests.
struct WallTime {
  int64_t Milliseconds = 0;
  // clang-tidy 14 reports the comparison with 0 that the compiler generates.
  // NOLINTNEXTLINE(modernize-use-nullptr,readability-identifier-naming)
  friend auto operator<=>(const WallTime &, const WallTime &) = default;
};

// Both clocks, read once per loop iteration.
struct Now {
  TimePoint Monotonic;
  WallTime Wall;
};

// A deadline that never expires.
inline constexpr TimePoint Never = TimePoint::max();

} // namespace burdockstream::base

#endif
