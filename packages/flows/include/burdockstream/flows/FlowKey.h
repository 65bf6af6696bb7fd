// Identifies a flow by its two endpoint addresses. A client opens each flow
// from a new port, so a key is unique for the lifetime of its flow.
#ifndef BURDOCKSTREAM_FLOWS_FLOWKEY_H
#define BURDOCKSTREAM_FLOWS_FLOWKEY_H

#include "burdockstream/base/SocketAddress.h"

#include <cstddef>
#include <string>

namespace burdockstream::flows {

struct FlowKey {
  base::SocketAddress Client;
  base::SocketAddress Service; // the address that the client connects to

  friend bool operator==(const FlowKey &, const FlowKey &) = default;
};

// Returns "client>service", the identifier of a flow in log lines. Thread
// safety: any thread.
inline std::string toString(const FlowKey &Key) {
  return base::toString(Key.Client) + ">" + base::toString(Key.Service);
}

// Hashes two addresses to 64 bits with the SplitMix64 finalizer. The result is
// the same in every process. Thread safety: any thread.
inline uint64_t hashOf(base::SocketAddress First, base::SocketAddress Second) {
  uint64_t Value = base::packAddress(First) * 0x9E3779B97F4A7C15ULL ^
                   base::packAddress(Second);
  Value = (Value ^ (Value >> 30)) * 0xBF58476D1CE4E5B9ULL;
  Value = (Value ^ (Value >> 27)) * 0x94D049BB133111EBULL;
  return Value ^ (Value >> 31);
}

// Hashes both addresses of a flow. Thread safety: any thread.
inline uint64_t hashOf(const FlowKey &Key) {
  return hashOf(Key.Client, Key.Service);
}

} // namespace burdockstream::flows

template <> struct std::hash<burdockstream::flows::FlowKey> {
  size_t operator()(const burdockstream::flows::FlowKey &Key) const noexcept {
    return burdockstream::flows::hashOf(Key);
  }
};

#endif
