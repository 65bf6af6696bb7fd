// The balancer's data path: forwards caller datagrams from the fabric to agents
// and the agents' replies to the fabric. It allocates no memory per datagram
// and keeps no state per flow.
#ifndef BURDOCKSTREAM_DAEMON_CALLERPATH_H
#define BURDOCKSTREAM_DAEMON_CALLERPATH_H

#include "burdockstream/base/Metrics.h"
#include "burdockstream/messages/MessageCodec.h"
#include "burdockstream/network/UdpSocket.h"
#include "burdockstream/routing/Router.h"

#include <span>

namespace burdockstream::daemon {

class CallerPath {
public:
  // Every reference must outlive the object. InitSelf is the balancer's data
  // address. Thread safety: loop thread only, for all methods.
  CallerPath(base::SocketAddress InitSelf, network::UdpSocket &InitSocket,
             messages::MessageCodec &InitCodec, routing::Router &InitRouter,
             base::Metrics &Registry);

  // Forwards or drops Datagram if it is a caller datagram or a Reply, and
  // returns whether it was one.
  bool handle(std::span<uint8_t> Datagram, base::SocketAddress From);

private:
  void forward(std::span<const uint8_t> Datagram, base::SocketAddress From);
  void reply(std::span<const uint8_t> Datagram);

  base::SocketAddress Self;
  network::UdpSocket &Socket;
  messages::MessageCodec &Codec;
  routing::Router &Router;
  base::SocketAddress Fabric; // sender of the latest caller datagram
  base::Counter &Forwarded;
  base::Counter &Replied;
  base::Counter &BadProxyHeader;
  base::Counter &NoRoute;
  base::Counter &NoFabric;
  base::Counter &BadReply;
};

} // namespace burdockstream::daemon

#endif
