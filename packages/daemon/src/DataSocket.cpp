#include "DataSocket.h"

#include <glog/logging.h>
#include <utility>

namespace burdockstream::daemon {

namespace {

messages::MessageKey
toMessageKey(const settings::SharedKey<settings::DatagramKeyBytes> &Key) {
  return {Key.Id, Key.Bytes};
}

messages::MessageKeys messageKeys(const settings::DaemonSettings &Settings) {
  messages::MessageKeys Keys;
  Keys.Sending = toMessageKey(settings::signingKey(Settings.DatagramKeys));
  for (const auto &Key : Settings.DatagramKeys)
    if (Key.Id != Keys.Sending.Id)
      Keys.AlsoAccepted = toMessageKey(Key);
  return Keys;
}

} // namespace

base::Result<std::unique_ptr<DataSocket>>
DataSocket::open(const settings::DaemonSettings &Settings, base::DaemonId Self,
                 DataSocketHooks Hooks) {
  network::UdpOptions Options;
  Options.DatagramBytes = DataBufferBytes;
  // Together with the 64 receive buffers, limits the socket's memory to 21 MB.
  Options.SendQueueLength = 256;
  auto Opened = network::UdpSocket::open(Settings.Data, Options);
  if (Opened.has_error())
    return Opened.error();
  return std::unique_ptr<DataSocket>(new DataSocket(std::move(Opened).value(),
                                                    Self, messageKeys(Settings),
                                                    std::move(Hooks)));
}

DataSocket::DataSocket(std::unique_ptr<network::UdpSocket> InitSocket,
                       base::DaemonId Self, const messages::MessageKeys &Keys,
                       DataSocketHooks InitHooks)
    : Socket(std::move(InitSocket)), Codec(Self, Keys),
      Hooks(std::move(InitHooks)) {
  Socket->attach(nullptr,
                 [this](std::span<uint8_t> Datagram, base::SocketAddress From) {
                   onDatagram(Datagram, From);
                 });
}

void DataSocket::onDatagram(std::span<uint8_t> Datagram,
                            base::SocketAddress From) {
  if (Hooks.FastPath && Hooks.FastPath(Datagram, From))
    return;
  const auto Message = Codec.decode(Datagram);
  if (Message.has_error()) // the codec counts errors by cause
    return;
  Hooks.OnMessage(Message.value(), From);
  if (Hooks.AfterDatagram)
    Hooks.AfterDatagram();
}

void DataSocket::send(base::SocketAddress To, const messages::Message &Body) {
  const messages::Bytes Datagram = Codec.encode(Body);
  if (Datagram.size() > messages::MaxDatagramBytes) {
    LOG(ERROR) << "dropped a message of " << Datagram.size() << " bytes to "
               << base::toString(To)
               << ": it exceeds the maximum datagram size";
    return;
  }
  Socket->send(Datagram, To);
}

} // namespace burdockstream::daemon
