// Estimates the offset between an agent's wall clock and the balancers' clocks.
#ifndef BURDOCKSTREAM_MEMBERSHIP_CLOCKOFFSET_H
#define BURDOCKSTREAM_MEMBERSHIP_CLOCKOFFSET_H

#include <array>
#include <cstddef>
#include <cstdint>

namespace burdockstream::membership {

// Median of the newest samples, which is robust against one balancer with a
// wrong clock and against single late acknowledgments.
// Thread safety: loop thread only.
class ClockOffset {
public:
  // An agent whose median offset exceeds this in either direction must refuse
  // non-idempotent requests.
  static constexpr int64_t BoundMilliseconds = 1000;

  // Adds the sample of one exchange, in milliseconds of wall-clock time: the
  // agent's clock when it sent the announcement and when it received the
  // acknowledgment, and the balancer's clock in between. Assumes equal delays
  // in both directions.
  void add(int64_t SentMilliseconds, int64_t RemoteMilliseconds,
           int64_t ReceivedMilliseconds);

  // Returns the median of (balancer's clock - agent's clock), or 0 if there are
  // no samples.
  int64_t medianMilliseconds() const;

  // Returns whether the median is outside ±BoundMilliseconds.
  bool exceeded() const {
    const int64_t Median = medianMilliseconds();
    return Median > BoundMilliseconds || Median < -BoundMilliseconds;
  }

private:
  static constexpr size_t MaxSamples = 9;
  std::array<int64_t, MaxSamples> Samples{};
  size_t Count = 0;
  size_t Next = 0;
};

} // namespace burdockstream::membership

#endif
