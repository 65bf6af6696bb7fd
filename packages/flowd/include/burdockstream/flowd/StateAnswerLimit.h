// Limits the answers with routes that a balancer sends to its peers.
//
// Load pattern: the store is away and a fleet restarts. Each balancer without
// routes queries the few peers in its settings. With a configuration of a
// megabyte, a few answers at once fill the link of a small VM for seconds, its
// clients' packets with them, and none of the answers is complete in time.
// Therefore the answers have a part of the link; others are refused at once,
// and the peer queries the next balancer.
#ifndef BURDOCKSTREAM_FLOWD_STATEANSWERLIMIT_H
#define BURDOCKSTREAM_FLOWD_STATEANSWERLIMIT_H

#include "burdockstream/flows/TokenBucket.h"

#include <algorithm>

namespace burdockstream::flowd {

// Part of the link that the answers may take on average.
inline constexpr double StateAnswersShare = 0.5;

// Thread safety: one thread at a time.
class StateAnswerLimit {
public:
  // LinkBytesPerSecond is the bandwidth of the VM's link.
  explicit StateAnswerLimit(double LinkBytesPerSecond)
      : Burst(LinkBytesPerSecond),
        Bucket(StateAnswersShare * LinkBytesPerSecond, Burst) {}

  // Returns whether an answer of Bytes may be sent, and counts it if so. One
  // that takes longer than a second of the link counts as that. Precondition:
  // Now does not decrease between calls.
  bool admit(size_t Bytes, base::TimePoint Now) {
    return Bucket.consume(std::min(static_cast<double>(Bytes), Burst), Now);
  }

private:
  double Burst; // what the link carries in a second
  flows::TokenBucket Bucket;
};

} // namespace burdockstream::flowd

#endif
