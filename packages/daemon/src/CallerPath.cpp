#include "CallerPath.h"

#include "burdockstream/network/ProxyHeader.h"

#include <cstring>

namespace burdockstream::daemon {

CallerPath::CallerPath(base::SocketAddress InitSelf,
                       network::UdpSocket &InitSocket,
                       messages::MessageCodec &InitCodec,
                       routing::Router &InitRouter, base::Metrics &Registry)
    : Self(InitSelf), Socket(InitSocket), Codec(InitCodec), Router(InitRouter),
      Forwarded(Registry.counter("datagrams_forwarded")),
      Replied(Registry.counter("datagrams_replied")),
      BadProxyHeader(Registry.counter("dropped_bad_proxy_header")),
      NoRoute(Registry.counter("dropped_no_route")),
      NoFabric(Registry.counter("dropped_no_fabric")),
      BadReply(Registry.counter("dropped_bad_reply")) {}

bool CallerPath::handle(std::span<uint8_t> Datagram, base::SocketAddress From) {
  if (network::hasProxySignature(Datagram)) {
    forward(Datagram, From);
    return true;
  }
  if (messages::MessageCodec::peekType(Datagram) == messages::ReplyType) {
    reply(Datagram);
    return true;
  }
  return false;
}

void CallerPath::forward(std::span<const uint8_t> Datagram,
                         base::SocketAddress From) {
  const auto Parsed = network::parseProxyHeader(Datagram);
  if (!Parsed) {
    BadProxyHeader.add();
    return;
  }
  Fabric = From;
  const auto Route =
      Router.route(Parsed->Header.Destination, Parsed->Header.Source);
  if (!Route) {
    NoRoute.add();
    return;
  }
  const std::span<uint8_t> Buffer = Socket.sendBuffer();
  const messages::ForwardView View{
      Route->Service, Route->Bucket, Parsed->Header.Source, Self, 0,
      Parsed->Payload};
  const size_t Size = Codec.encodeForward(Buffer, View);
  if (Size == 0) // send queue full, which the socket counts
    return;
  Socket.commitSend(Size, Route->AgentDataAddress);
  Forwarded.add();
}

void CallerPath::reply(std::span<const uint8_t> Datagram) {
  const auto Decoded = Codec.decodeReplyView(Datagram);
  if (!Decoded) {
    BadReply.add();
    return;
  }
  if (Fabric == base::SocketAddress{}) {
    NoFabric.add();
    return;
  }
  const std::span<uint8_t> Buffer = Socket.sendBuffer();
  const std::span<const uint8_t> Payload = Decoded->Body.Payload;
  const size_t Size = network::ProxyHeaderBytes + Payload.size();
  if (Buffer.size() < Size)
    return;
  network::writeProxyHeader(
      Buffer, {Decoded->Body.ServiceAddress, Decoded->Body.Caller});
  std::memcpy(Buffer.data() + network::ProxyHeaderBytes, Payload.data(),
              Payload.size());
  Socket.commitSend(Size, Fabric);
  Replied.add();
}

} // namespace burdockstream::daemon
