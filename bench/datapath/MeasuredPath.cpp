#include "MeasuredPath.h"

#include "AllocationCount.h"
#include "burdockstream/bench/ThreadTime.h"

#include <glog/logging.h>

namespace burdockstream::datapath {

std::unique_ptr<network::UdpSocket>
openSocket(const network::UdpOptions &Options, base::SocketAddress Local) {
  auto Opened = network::UdpSocket::open(Local, Options);
  CHECK(Opened.has_value()) << Opened.error().Message;
  return std::move(Opened.value());
}

uint64_t drain(network::UdpSocket &Sink) {
  uint64_t Count = 0;
  const network::UdpSocket::Handler Ignore = [](std::span<uint8_t>,
                                                base::SocketAddress) {};
  while (const size_t Batch = Sink.receiveBatch(Ignore))
    Count += Batch;
  return Count;
}

void measureStep(PathFigures &Figures, const std::function<void()> &Step) {
  const uint64_t Before = bench::allocations();
  const double Start = bench::threadCpuSeconds();
  Step();
  Figures.Relay.CpuSeconds += bench::threadCpuSeconds() - Start;
  Figures.Allocations += bench::allocations() - Before;
}

} // namespace burdockstream::datapath
