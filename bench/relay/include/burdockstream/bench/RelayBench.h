// Measures how many datagrams per second one CPU core can relay over loopback.
// The bare relay is the baseline for the balancer's data path: it makes the
// same system calls without any logic.
#ifndef BURDOCKSTREAM_BENCH_RELAYBENCH_H
#define BURDOCKSTREAM_BENCH_RELAYBENCH_H

#include "burdockstream/network/UdpSocket.h"

#include <cstdint>
#include <functional>
#include <span>

namespace burdockstream::bench {

struct RelayResult {
  uint64_t Offered = 0;   // datagrams sent to the path
  uint64_t Delivered = 0; // datagrams that the path relayed to the sink
  double CpuSeconds = 0;  // thread CPU time of the path alone

  // Returns the datagrams delivered per CPU second, which is the throughput of
  // a core that does nothing else; zero if no CPU time was measured.
  double datagramsPerSecond() const {
    return CpuSeconds > 0 ? static_cast<double>(Delivered) / CpuSeconds : 0;
  }
};

// A relay path under test. Step receives one batch of at most network::MaxBatch
// datagrams from the socket bound to Input and sends them to the sink.
struct RelayPath {
  base::SocketAddress Input;
  std::function<void()> Step;
};

// Sends Count copies of Datagram to Path in batches and calls Step after each
// batch. Everything runs on the calling thread, and only the CPU time of Step
// is counted. On loopback a send includes the kernel's delivery to the
// receiving socket: Step is charged for the delivery to the sink, but not for
// the delivery to its own input. Thread safety: as Path.
RelayResult measurePath(const RelayPath &Path, network::UdpSocket &Sink,
                        std::span<const uint8_t> Datagram, uint64_t Count);

// Measures recvmmsg and sendmmsg alone, without UdpSocket. Thread safety: any
// thread.
RelayResult measureBareRelay(std::span<const uint8_t> Datagram, uint64_t Count);

// Measures the receive and send queues of UdpSocket, without parsing the
// datagrams. Thread safety: any thread.
RelayResult measureSocketRelay(std::span<const uint8_t> Datagram,
                               uint64_t Count);

// Measures what a balancer does except for routing: it parses the PROXY header
// and sends a Forward message. Payload is the caller's datagram without the
// header. Thread safety: any thread.
RelayResult measureForwardRelay(std::span<const uint8_t> Payload,
                                uint64_t Count);

} // namespace burdockstream::bench

#endif
