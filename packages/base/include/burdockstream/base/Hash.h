// Keyed 64-bit hashing (XXH3). Equal inputs and seeds give equal results in
// every daemon.
#ifndef BURDOCKSTREAM_BASE_HASH_H
#define BURDOCKSTREAM_BASE_HASH_H

#include <cstdint>
#include <string_view>

namespace burdockstream::base {

// Hashes Bytes under Seed. Thread safety: any thread.
uint64_t hashBytes(std::string_view Bytes, uint64_t Seed);

// Hashes the pair (First, Second) under Seed. Thread safety: any thread.
uint64_t hashPair(uint64_t First, uint64_t Second, uint64_t Seed);

} // namespace burdockstream::base

#endif
