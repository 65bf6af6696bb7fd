// A non-blocking UDP socket on IPv4 with batched receive and send, attached to
// a GLib main context. All buffers are allocated when the socket is opened.
#ifndef BURDOCKSTREAM_NETWORK_UDPSOCKET_H
#define BURDOCKSTREAM_NETWORK_UDPSOCKET_H

#include "burdockstream/base/Error.h"
#include "burdockstream/base/Metrics.h"
#include "burdockstream/base/SocketAddress.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <glib.h>
#include <memory>
#include <netinet/in.h>
#include <span>
#include <sys/socket.h>
#include <vector>

namespace burdockstream::network {

// Maximum number of datagrams received or sent in one system call.
inline constexpr size_t MaxBatch = 64;

// Buffer size for datagrams exchanged with callers, which fit into an Ethernet
// frame even with message framing.
inline constexpr size_t CallerDatagramBytes = 2048;

// Buffer size for datagrams from endpoints, which may send a response body of
// 60,000 bytes in one datagram.
inline constexpr size_t EndpointDatagramBytes = 65'536;

struct UdpOptions {
  size_t DatagramBytes = CallerDatagramBytes; // longest datagram accepted
  size_t SendQueueLength = 1024;              // datagrams; at least 1

  // Requested from the kernel, which may grant less. At 100,000 datagrams per
  // second, 4 MB of about 2 KB each hold 20 ms of traffic.
  int KernelBufferBytes = 4 << 20;

  // The system call that sends datagrams. Tests replace it to simulate errors.
  int (*SendMany)(int, mmsghdr *, unsigned, int) = ::sendmmsg;
};

struct UdpCounters {
  uint64_t Received = 0;
  uint64_t ReceivedBytes = 0;
  uint64_t ReceiveTruncated = 0; // longer than DatagramBytes, dropped
  uint64_t ReceiveErrors = 0;
  uint64_t KernelDrops = 0; // the kernel's receive buffer was full
  uint64_t Sent = 0;
  uint64_t SentBytes = 0;
  // System calls that sent nothing because the kernel's send buffer was full or
  // the call was interrupted; the datagrams stay queued.
  uint64_t SendBlocked = 0;
  uint64_t SendQueueFull = 0; // dropped
  uint64_t SendErrors = 0;    // permanent errors or too long; dropped
};

// Sets one gauge labelled with Tags for each exported counter. Thread safety:
// loop thread only.
void exportCounters(base::Metrics &Registry, const UdpCounters &Counters,
                    const base::Labels &Tags = {});

class UdpSocket {
public:
  // Receives one datagram. The span is valid, and may be written, until the
  // handler returns. The handler must not destroy the socket, but may detach
  // it.
  using Handler = std::function<void(std::span<uint8_t> Datagram,
                                     base::SocketAddress From)>;

  // Opens a socket bound to Local; the kernel chooses the port if it is 0.
  // Precondition: Options.SendQueueLength is at least 1. Errors: Unavailable if
  // the socket cannot be created or bound. Thread safety: any thread.
  static base::Result<std::unique_ptr<UdpSocket>>
  open(base::SocketAddress Local, const UdpOptions &Options = {});

  ~UdpSocket();
  UdpSocket(const UdpSocket &) = delete;
  UdpSocket &operator=(const UdpSocket &) = delete;

  // Thread safety: any thread.
  base::SocketAddress localAddress() const { return Local; }

  // Delivers datagrams to OnDatagram from the loop of Context and flushes the
  // send queue before the loop waits. A null Context selects the default one.
  // Precondition: not attached. Thread safety: loop thread only.
  void attach(GMainContext *Context, Handler OnDatagram);

  // Stops the delivery; has no effect if not attached. If the handler calls it,
  // the rest of the current batch is still delivered. Thread safety: loop
  // thread only.
  void detach();

  // Receives up to MaxBatch datagrams without waiting and passes them to
  // OnDatagram. Returns their number, including those dropped as too long, or 0
  // on an error. Thread safety: loop
  // thread only.
  size_t receiveBatch(const Handler &OnDatagram);

  // Returns the next free buffer of the send queue, DatagramBytes long, to be
  // filled before commitSend(). If the queue is full even after a flush,
  // returns an empty span and counts a drop. Thread safety: loop thread only.
  std::span<uint8_t> sendBuffer();

  // Queues the first Size bytes of the buffer from the last sendBuffer() call.
  // Precondition: that call returned a buffer of at least Size bytes. Thread
  // safety: loop thread only.
  void commitSend(size_t Size, base::SocketAddress To);

  // Queues a copy of Datagram. Returns false, and counts a drop, if the queue
  // is full or Datagram is longer than DatagramBytes. Thread safety: loop
  // thread only.
  bool send(std::span<const uint8_t> Datagram, base::SocketAddress To);

  // Sends queued datagrams until the queue is empty or the kernel accepts no
  // more. Returns whether the queue is empty. Thread safety: loop thread only.
  bool flush();

  // Returns the number of queued datagrams. Thread safety: loop thread only.
  size_t queued() const { return QueueCount; }

  // Returns the counters, including the kernel's drop counter, which costs one
  // system call. Thread
  // safety: loop thread only.
  UdpCounters counters() const;

private:
  // Buffers and message headers of one direction in the layout that recvmmsg()
  // and sendmmsg() expect.
  struct Slots {
    Slots(size_t Count, size_t SlotBytes);
    std::span<uint8_t> buffer(size_t Index) const {
      return {Memory.get() + Index * SlotBytes, SlotBytes};
    }
    size_t SlotBytes;
    std::unique_ptr<uint8_t[]> Memory;
    std::vector<sockaddr_in> Peers;
    std::vector<iovec> Vectors;
    std::vector<mmsghdr> Headers;
  };

  UdpSocket(int Descriptor, base::SocketAddress Local,
            const UdpOptions &Options);
  void deliver(size_t Count, const Handler &OnDatagram);
  size_t flushRun(size_t Count);
  void releaseQueued(size_t Count);

  static gboolean prepareSource(GSource *Source, gint *Timeout);
  static gboolean checkSource(GSource *Source);
  static gboolean dispatchSource(GSource *Source, GSourceFunc, gpointer);

  int Descriptor;
  base::SocketAddress Local;
  UdpOptions Options;
  Slots Receive;
  Slots Queue; // ring buffer of QueueCount datagrams that starts at QueueHead
  size_t QueueHead = 0;
  size_t QueueCount = 0;
  UdpCounters Counters;
  Handler OnDatagram;
  GSource *Source = nullptr;
  gpointer SourceTag = nullptr;
  bool WatchesWrite = false;
};

} // namespace burdockstream::network

#endif
