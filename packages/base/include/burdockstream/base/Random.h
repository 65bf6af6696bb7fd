// The random source of the decision core. It is injected and seeded, so runs
// can be repeated.
#ifndef BURDOCKSTREAM_BASE_RANDOM_H
#define BURDOCKSTREAM_BASE_RANDOM_H

#include <cstdint>
#include <random>

namespace burdockstream::base {

using RandomSource = std::mt19937_64;

// Returns a number below Bound, which must not be zero. The modulo bias is
// below 2^-32 for the small bounds used here, and unlike
// std::uniform_int_distribution the result is the same with every standard
// library. Thread safety: as the source.
inline uint64_t randomBelow(RandomSource &Source, uint64_t Bound) {
  return Source() % Bound;
}

// Draws a source from the system's entropy. Thread safety: any thread.
inline RandomSource newRandomSource() {
  std::random_device Entropy;
  return RandomSource(uint64_t{Entropy()} << 32 | Entropy());
}

} // namespace burdockstream::base

#endif
