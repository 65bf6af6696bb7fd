#include "burdockstream/bench/LoopbackSocket.h"

#include <glog/logging.h>

namespace burdockstream::bench {

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

} // namespace burdockstream::bench
