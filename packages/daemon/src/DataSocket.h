// The daemon's data port, one UDP socket for authenticated messages of other
// daemons and, on a balancer, caller datagrams from the fabric.
#ifndef BURDOCKSTREAM_DAEMON_DATASOCKET_H
#define BURDOCKSTREAM_DAEMON_DATASOCKET_H

#include "burdockstream/messages/MessageCodec.h"
#include "burdockstream/network/UdpSocket.h"
#include "burdockstream/settings/DaemonSettings.h"

#include <functional>
#include <memory>
#include <span>

namespace burdockstream::daemon {

// Buffer size, enough for the largest message (a request body of 60,000 bytes
// moved between agents). It is an odd multiple of the cache line size, because
// buffers at multiples of 64 KB would all map to the same cache sets.
inline constexpr size_t DataBufferBytes = size_t{1025} * 64;

// Callbacks of a DataSocket, all called on the loop thread.
struct DataSocketHooks {
  // Called for each authenticated message that FastPath did not handle.
  std::function<void(const messages::Decoded &, base::SocketAddress From)>
      OnMessage;
  // Called first for every datagram, before authentication. Returns whether it
  // has handled the datagram. May be empty.
  std::function<bool(std::span<uint8_t>, base::SocketAddress From)> FastPath;
  // Called after each OnMessage. May be empty.
  std::function<void()> AfterDatagram;
};

// The socket of the data port with its message codec.
class DataSocket {
public:
  // Opens a socket at the data address of Settings. Returns an error if the
  // address cannot be used. Thread safety: loop thread only, for all methods.
  static base::Result<std::unique_ptr<DataSocket>>
  open(const settings::DaemonSettings &Settings, base::DaemonId Self,
       DataSocketHooks Hooks);

  // Sends a message. A message that does not fit in a datagram is dropped and
  // logged.
  void send(base::SocketAddress To, const messages::Message &Body);

  // The socket and the codec, for the data path and the export of counters.
  network::UdpSocket &socket() { return *Socket; }
  messages::MessageCodec &codec() { return Codec; }

private:
  DataSocket(std::unique_ptr<network::UdpSocket> InitSocket,
             base::DaemonId Self, const messages::MessageKeys &Keys,
             DataSocketHooks InitHooks);
  void onDatagram(std::span<uint8_t> Datagram, base::SocketAddress From);

  std::unique_ptr<network::UdpSocket> Socket;
  messages::MessageCodec Codec;
  DataSocketHooks Hooks;
};

} // namespace burdockstream::daemon

#endif
