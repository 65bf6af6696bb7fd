// What the measured data paths share: their figures, loopback sockets, and one
// measured step.
#ifndef BURDOCKSTREAM_BENCH_DATAPATH_MEASUREDPATH_H
#define BURDOCKSTREAM_BENCH_DATAPATH_MEASUREDPATH_H

#include "burdockstream/bench/RelayBench.h"
#include "burdockstream/network/UdpSocket.h"

#include <functional>
#include <memory>

namespace burdockstream::datapath {

inline constexpr base::SocketAddress AnyLoopbackPort{0x7f000001, 0};

struct PathFigures {
  bench::RelayFigures Relay;
  uint64_t Allocations = 0; // during the measured steps
  double BytesPerFlow = 0;  // held by a path that keeps flows
};

// Opens a socket or ends the program. Thread safety: any thread.
std::unique_ptr<network::UdpSocket>
openSocket(const network::UdpOptions &Options = {},
           base::SocketAddress Local = AnyLoopbackPort);

// Takes all that waits at Sink and returns how many datagrams. Thread safety:
// as UdpSocket.
uint64_t drain(network::UdpSocket &Sink);

// Adds the processor time and the allocations of Step to Figures. Thread
// safety: one thread.
void measureStep(PathFigures &Figures, const std::function<void()> &Step);

} // namespace burdockstream::datapath

#endif
