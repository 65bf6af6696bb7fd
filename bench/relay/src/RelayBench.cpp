#include "burdockstream/bench/RelayBench.h"

#include "burdockstream/bench/LoopbackSocket.h"
#include "burdockstream/bench/ThreadTime.h"
#include "burdockstream/messages/MessageCodec.h"
#include "burdockstream/network/ProxyHeader.h"

#include <algorithm>
#include <array>
#include <glog/logging.h>
#include <unistd.h>
#include <vector>

namespace burdockstream::bench {

namespace {

sockaddr_in toSockaddr(base::SocketAddress Address) {
  sockaddr_in Result{};
  Result.sin_family = AF_INET;
  Result.sin_addr.s_addr = htonl(Address.Ip);
  Result.sin_port = htons(Address.Port);
  return Result;
}

// A minimal relay, which sends each datagram from the buffer that received it.
class BareRelay {
public:
  explicit BareRelay(base::SocketAddress Sink)
      : Descriptor(::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0)),
        SinkAddress(toSockaddr(Sink)) {
    sockaddr_in Local = toSockaddr(AnyLoopbackPort);
    socklen_t Length = sizeof(Local);
    auto *Generic = reinterpret_cast<sockaddr *>(&Local);
    PCHECK(Descriptor >= 0 && ::bind(Descriptor, Generic, Length) == 0 &&
           ::getsockname(Descriptor, Generic, &Length) == 0);
    Input = {ntohl(Local.sin_addr.s_addr), ntohs(Local.sin_port)};
  }
  ~BareRelay() { ::close(Descriptor); }
  BareRelay(const BareRelay &) = delete;
  BareRelay &operator=(const BareRelay &) = delete;

  // Returns the address at which the relay receives.
  base::SocketAddress input() const { return Input; }

  // Relays one batch of at most network::MaxBatch datagrams.
  void step() {
    for (size_t I = 0; I < network::MaxBatch; ++I) {
      Vectors[I] = {Buffers[I].data(), Buffers[I].size()};
      Headers[I].msg_hdr = {};
      Headers[I].msg_hdr.msg_iov = &Vectors[I];
      Headers[I].msg_hdr.msg_iovlen = 1;
    }
    const int Count = ::recvmmsg(Descriptor, Headers.data(), network::MaxBatch,
                                 MSG_DONTWAIT, nullptr);
    for (size_t I = 0; Count > 0 && I < static_cast<size_t>(Count); ++I) {
      Vectors[I].iov_len = Headers[I].msg_len;
      Headers[I].msg_hdr.msg_name = &SinkAddress;
      Headers[I].msg_hdr.msg_namelen = sizeof(SinkAddress);
    }
    if (Count > 0)
      ::sendmmsg(Descriptor, Headers.data(), static_cast<unsigned>(Count), 0);
  }

private:
  int Descriptor;
  sockaddr_in SinkAddress;
  base::SocketAddress Input;
  std::array<std::array<uint8_t, network::CallerDatagramBytes>,
             network::MaxBatch>
      Buffers{};
  std::array<iovec, network::MaxBatch> Vectors{};
  std::array<mmsghdr, network::MaxBatch> Headers{};
};

} // namespace

RelayResult measurePath(const RelayPath &Path, network::UdpSocket &Sink,
                        std::span<const uint8_t> Datagram, uint64_t Count) {
  const auto Source = openSocket();
  RelayResult Result;
  while (Result.Offered < Count) {
    const uint64_t Batch =
        std::min<uint64_t>(Count - Result.Offered, network::MaxBatch);
    for (uint64_t I = 0; I < Batch; ++I)
      Source->send(Datagram, Path.Input);
    Source->flush();
    Result.Offered += Batch;
    const double Start = threadCpuSeconds();
    Path.Step();
    Result.CpuSeconds += threadCpuSeconds() - Start;
    Result.Delivered += discardReceived(Sink);
  }
  return Result;
}

RelayResult measureBareRelay(std::span<const uint8_t> Datagram,
                             uint64_t Count) {
  const auto Sink = openSocket();
  const auto Relay = std::make_unique<BareRelay>(Sink->localAddress());
  return measurePath({Relay->input(), [&Relay] { Relay->step(); }}, *Sink,
                     Datagram, Count);
}

RelayResult measureSocketRelay(std::span<const uint8_t> Datagram,
                               uint64_t Count) {
  const auto Sink = openSocket();
  const auto Relay = openSocket();
  const network::UdpSocket::Handler Forward = [&](std::span<uint8_t> Received,
                                                  base::SocketAddress) {
    Relay->send(Received, Sink->localAddress());
  };
  return measurePath({Relay->localAddress(),
                      [&] {
                        Relay->receiveBatch(Forward);
                        Relay->flush();
                      }},
                     *Sink, Datagram, Count);
}

RelayResult measureForwardRelay(std::span<const uint8_t> Payload,
                                uint64_t Count) {
  const auto Sink = openSocket();
  const auto Relay = openSocket();
  messages::MessageCodec Codec(base::DaemonId{1}, {{1, {1, 2, 3}}, {}});
  const network::UdpSocket::Handler Forward = [&](std::span<uint8_t> Received,
                                                  base::SocketAddress) {
    const auto Proxy = network::parseProxyHeader(Received);
    const std::span<uint8_t> Out = Relay->sendBuffer();
    if (!Proxy || Out.empty())
      return;
    const size_t Size =
        Codec.encodeForward(Out, {base::ServiceId{7}, 3, Proxy->Header.Source,
                                  Relay->localAddress(), 0, Proxy->Payload});
    if (Size > 0)
      Relay->commitSend(Size, Sink->localAddress());
  };
  std::vector<uint8_t> Datagram(network::ProxyHeaderBytes);
  network::writeProxyHeader(Datagram, {{0x0a000001, 5000}, {0x0a000002, 5683}});
  Datagram.insert(Datagram.end(), Payload.begin(), Payload.end());
  return measurePath({Relay->localAddress(),
                      [&] {
                        Relay->receiveBatch(Forward);
                        Relay->flush();
                      }},
                     *Sink, Datagram, Count);
}

} // namespace burdockstream::bench
