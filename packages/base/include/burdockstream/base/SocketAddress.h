// An IPv4 address and a UDP or TCP port. Daemons, endpoints and callers are
// named by IP number.
#ifndef BURDOCKSTREAM_BASE_SOCKETADDRESS_H
#define BURDOCKSTREAM_BASE_SOCKETADDRESS_H

#include "burdockstream/base/Error.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace burdockstream::base {

// Both fields are in host byte order.
struct SocketAddress {
  uint32_t Ip = 0;
  uint16_t Port = 0;

  // clang-tidy 14 reports the comparison with 0 that the compiler generates.
  // NOLINTBEGIN(modernize-use-nullptr,readability-identifier-naming)
  friend auto operator<=>(const SocketAddress &,
                          const SocketAddress &) = default;
  // NOLINTEND(modernize-use-nullptr,readability-identifier-naming)
};

// Packs the address into one integer, for hashing and as a map key.
inline uint64_t packAddress(SocketAddress Address) {
  return (uint64_t{Address.Ip} << 16) | Address.Port;
}

// Parses "a.b.c.d:port". Thread safety: any thread.
Result<SocketAddress> parseSocketAddress(std::string_view Text);

// Formats as "a.b.c.d:port". Thread safety: any thread.
std::string toString(SocketAddress Address);

} // namespace burdockstream::base

template <> struct std::hash<burdockstream::base::SocketAddress> {
  size_t operator()(burdockstream::base::SocketAddress Address) const noexcept {
    return std::hash<uint64_t>{}(burdockstream::base::packAddress(Address));
  }
};

#endif
