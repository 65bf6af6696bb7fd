// UDP sockets on the loopback interface for the benchmarks.
#ifndef BURDOCKSTREAM_BENCH_LOOPBACKSOCKET_H
#define BURDOCKSTREAM_BENCH_LOOPBACKSOCKET_H

#include "burdockstream/network/UdpSocket.h"

#include <cstdint>
#include <memory>

namespace burdockstream::bench {

// Binds to 127.0.0.1 at a port that the kernel chooses.
inline constexpr base::SocketAddress AnyLoopbackPort{0x7f000001, 0};

// Opens a socket bound to Local; aborts the program on failure. Thread safety:
// any thread.
std::unique_ptr<network::UdpSocket>
openSocket(const network::UdpOptions &Options = {},
           base::SocketAddress Local = AnyLoopbackPort);

// Receives and discards all datagrams that wait at Sink and returns their
// number. Thread safety: as UdpSocket.
uint64_t discardReceived(network::UdpSocket &Sink);

} // namespace burdockstream::bench

#endif
