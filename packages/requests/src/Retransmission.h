// Timing of confirmable messages (RFC 7252, section 4.2).
#ifndef BURDOCKSTREAM_REQUESTS_RETRANSMISSION_H
#define BURDOCKSTREAM_REQUESTS_RETRANSMISSION_H

#include "burdockstream/base/Random.h"
#include "burdockstream/base/Time.h"

namespace burdockstream::requests {

// EXCHANGE_LIFETIME: time during which a message id must not be reused.
inline constexpr base::Duration ExchangeLifetime = std::chrono::seconds(247);

// ACK_TIMEOUT, and ACK_RANDOM_FACTOR of 1.5 as a number of steps of 0.1%.
inline constexpr base::Duration AckTimeout = std::chrono::seconds(2);
inline constexpr uint64_t RandomSteps = 500;

// MAX_RETRANSMIT.
inline constexpr uint8_t MaxRetransmit = 4;

// Retransmission state of one confirmable message.
struct Retransmission {
  base::Duration Timeout{0};
  uint8_t Sent = 0; // retransmissions so far
};

// Returns a first timeout drawn uniformly from Initial to 1.5 times Initial.
inline Retransmission startRetransmission(base::Duration Initial,
                                          base::RandomSource &Random) {
  const auto Extra = base::randomBelow(Random, RandomSteps + 1);
  return {Initial + Initial * static_cast<int64_t>(Extra) / 1000, 0};
}

} // namespace burdockstream::requests

#endif
