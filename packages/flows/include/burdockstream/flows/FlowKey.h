// Names one flow by its two ends. A client opens each flow from a new port, so
// a key names one flow for as long as the flow lives.
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

// Formats as "client>service", the id of a flow in logs. Thread safety: any
// thread.
inline std::string toString(const FlowKey &Key) {
  return base::toString(Key.Client) + ">" + base::toString(Key.Service);
}

// Mixes two addresses into 64 bits (finalizer of SplitMix64). Thread safety:
// any thread.
inline uint64_t hashOf(base::SocketAddress First, base::SocketAddress Second) {
  uint64_t Value = base::packAddress(First) * 0x9E3779B97F4A7C15ULL ^
                   base::packAddress(Second);
  Value = (Value ^ (Value >> 30)) * 0xBF58476D1CE4E5B9ULL;
  Value = (Value ^ (Value >> 27)) * 0x94D049BB133111EBULL;
  return Value ^ (Value >> 31);
}

// Thread safety: any thread.
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
