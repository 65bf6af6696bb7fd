// Sockets on loopback, between which the benches pass datagrams.
#ifndef BURDOCKSTREAM_BENCH_LOOPBACKSOCKET_H
#define BURDOCKSTREAM_BENCH_LOOPBACKSOCKET_H

#include "burdockstream/network/UdpSocket.h"

#include <cstdint>
#include <memory>

namespace burdockstream::bench {

inline constexpr base::SocketAddress AnyLoopbackPort{0x7f000001, 0};

// Opens a socket or ends the program. Thread safety: any thread.
std::unique_ptr<network::UdpSocket>
openSocket(const network::UdpOptions &Options = {},
           base::SocketAddress Local = AnyLoopbackPort);

// Takes all that waits at Sink and returns how many datagrams. Thread safety:
// as UdpSocket.
uint64_t drain(network::UdpSocket &Sink);

} // namespace burdockstream::bench

#endif
