// PROXY protocol version 2 for UDP over IPv4. The network fabric puts this
// header before each datagram to tell the balancer the addresses of the caller
// and of the service.
#ifndef BURDOCKSTREAM_NETWORK_PROXYHEADER_H
#define BURDOCKSTREAM_NETWORK_PROXYHEADER_H

#include "burdockstream/base/SocketAddress.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace burdockstream::network {

// Size of the header that writeProxyHeader() writes, which has no TLV fields.
inline constexpr size_t ProxyHeaderBytes = 28;

struct ProxyHeader {
  // In datagrams from the fabric, the caller.
  base::SocketAddress Source;
  // In datagrams from the fabric, the service address.
  base::SocketAddress Destination;
  friend bool operator==(const ProxyHeader &, const ProxyHeader &) = default;
};

struct ProxyDatagram {
  ProxyHeader Header;
  std::span<const uint8_t> Payload; // refers to the parsed datagram's memory
};

// Returns whether Datagram starts with the signature of PROXY protocol version
// 2. Messages between daemons never start with it. Thread safety: any thread.
bool hasProxySignature(std::span<const uint8_t> Datagram);

// Parses the header of Datagram without copying the payload. Skips TLV fields,
// as the protocol requires. Returns std::nullopt for a truncated header and for
// any version, command, address family or transport other than 2, PROXY, IPv4
// and UDP. Thread safety: any thread.
std::optional<ProxyDatagram>
parseProxyHeader(std::span<const uint8_t> Datagram);

// Writes Header to the first ProxyHeaderBytes of Out. The caller can build the
// payload behind it in the same buffer and so avoid a copy. Precondition: Out
// has at least ProxyHeaderBytes. Thread safety: concurrent calls must use
// different buffers.
void writeProxyHeader(std::span<uint8_t> Out, const ProxyHeader &Header);

} // namespace burdockstream::network

#endif
