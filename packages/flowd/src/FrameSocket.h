// UDP sockets for frames between flow service daemons.
#ifndef BURDOCKSTREAM_FLOWD_FRAMESOCKET_H
#define BURDOCKSTREAM_FLOWD_FRAMESOCKET_H

#include "burdockstream/flows/Frame.h"
#include "burdockstream/network/UdpSocket.h"

#include <functional>
#include <memory>
#include <span>

namespace burdockstream::flowd {

// Fits a packet of maximum size with a frame header, plus some spare bytes.
inline constexpr size_t FrameDatagramBytes = 1536;

// Datagrams; holds a burst of a tenth of a second on a small VM.
inline constexpr size_t FrameSendQueueLength = 256;

// Kernel buffer size; holds the datagrams that arrive while a small VM is not
// scheduled for a moment. Buffered datagrams count as memory of the process.
inline constexpr int FrameKernelBufferBytes = 1 << 20;

// Returns the socket options for frames. Thread safety: any thread.
inline network::UdpOptions frameSocketOptions() {
  network::UdpOptions Options;
  Options.DatagramBytes = FrameDatagramBytes;
  Options.SendQueueLength = FrameSendQueueLength;
  Options.KernelBufferBytes = FrameKernelBufferBytes;
  return Options;
}

// Opens a socket bound to Address and stores it in Out. On failure, returns the
// error and leaves Out unchanged. Thread safety: any thread.
inline base::Result<void>
openFrameSocket(base::SocketAddress Address,
                std::unique_ptr<network::UdpSocket> &Out) {
  auto Opened = network::UdpSocket::open(Address, frameSocketOptions());
  if (Opened.has_error())
    return Opened.error();
  Out = std::move(Opened.value());
  return boost::outcome_v2::success();
}

// Queues a frame of Header and Body, written directly into the send buffer.
// Drops the frame if the send queue is full. Thread safety: loop thread only.
inline void sendFrame(network::UdpSocket &Socket, base::SocketAddress To,
                      const flows::FrameHeader &Header,
                      std::span<const uint8_t> Body) {
  const std::span<uint8_t> Buffer = Socket.sendBuffer();
  if (Buffer.size() < flows::MaxFrameHeaderBytes + Body.size())
    return; // send queue full; counted by the socket
  const size_t HeaderBytes = flows::writeHeader(Header, Buffer);
  std::copy(Body.begin(), Body.end(),
            Buffer.begin() + static_cast<ptrdiff_t>(HeaderBytes));
  Socket.commitSend(HeaderBytes + Body.size(), To);
}

} // namespace burdockstream::flowd

#endif
