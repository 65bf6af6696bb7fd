#include "burdockstream/bench/LoopbackSocket.h"

#include <glog/logging.h>

namespace burdockstream::bench {

std::unique_ptr<network::UdpSocket>
openSocket(const network::UdpOptions &Options, base::SocketAddress Local) {
  auto Opened = network::UdpSocket::open(Local, Options);
  CHECK(Opened.has_value()) << Opened.error().Message;
  return std::move(Opened.value());
}

uint64_t discardReceived(network::UdpSocket &Sink) {
  uint64_t Count = 0;
  const network::UdpSocket::Handler Discard = [](std::span<uint8_t>,
                                                 base::SocketAddress) {};
  while (const size_t Batch = Sink.receiveBatch(Discard))
    Count += Batch;
  return Count;
}

} // namespace burdockstream::bench
