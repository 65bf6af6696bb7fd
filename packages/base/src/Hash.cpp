#include "burdockstream/base/Hash.h"

#include <array>
#include <xxhash.h>

namespace burdockstream::base {

uint64_t hashBytes(std::string_view Bytes, uint64_t Seed) {
  return XXH3_64bits_withSeed(Bytes.data(), Bytes.size(), Seed);
}

uint64_t hashPair(uint64_t First, uint64_t Second, uint64_t Seed) {
  const std::array<uint64_t, 2> Pair{First, Second};
  return XXH3_64bits_withSeed(Pair.data(), sizeof(Pair), Seed);
}

} // namespace burdockstream::base
