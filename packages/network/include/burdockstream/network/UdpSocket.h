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

// Datagrams taken from or given to the kernel in one system call.
inline constexpr size_t MaxBatch = 64;

// Towards callers a datagram fits an Ethernet frame even with message framing.
inline constexpr size_t CallerDatagramBytes = 2048;

// An endpoint may answer with a body of 60,000 bytes in one datagram.
inline constexpr size_t EndpointDatagramBytes = 65'536;

struct UdpOptions {
  size_t DatagramBytes = CallerDatagramBytes;
  size_t SendQueueLength = 1024; // datagrams; at least 1

  // Requested from the kernel, which may grant less. At 100,000 datagrams per
  // second, 4 MB of about 2 KB each hold 20 ms of traffic.
  int KernelBufferBytes = 4 << 20;

  // Tests replace the system call to refuse datagrams.
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
  uint64_t SendBlocked = 0;   // the kernel took no more; kept in the queue
  uint64_t SendQueueFull = 0; // dropped
  uint64_t SendErrors = 0;    // refused for good, dropped
};

// Sets one gauge with Tags for each counter. Thread safety: loop thread only.
void exportCounters(base::Metrics &Registry, const UdpCounters &Counters,
                    const base::Labels &Tags = {});

class UdpSocket {
public:
  // Receives one datagram. The span is valid, and may be written, until the
  // handler returns. The handler must not destroy the socket, but may detach
  // it.
  using Handler = std::function<void(std::span<uint8_t> Datagram,
                                     base::SocketAddress From)>;

  // Binds to Local; port 0 lets the kernel choose. Thread safety: any thread.
  static base::Result<std::unique_ptr<UdpSocket>>
  open(base::SocketAddress Local, const UdpOptions &Options = {});

  ~UdpSocket();
  UdpSocket(const UdpSocket &) = delete;
  UdpSocket &operator=(const UdpSocket &) = delete;

  // Thread safety: any thread.
  base::SocketAddress localAddress() const { return Local; }

  // Delivers datagrams to OnDatagram from Context's loop, and flushes the send
  // queue before the loop waits. A null Context is the default one. Must not be
  // attached already. Thread safety: loop thread only.
  void attach(GMainContext *Context, Handler OnDatagram);

  // Ends the delivery. Called from the handler, it leaves the rest of the
  // current batch to be delivered. Thread safety: loop thread only.
  void detach();

  // Takes up to MaxBatch datagrams from the kernel without waiting. Returns
  // their number, including those dropped for their size. Thread safety: loop
  // thread only.
  size_t receiveBatch(const Handler &OnDatagram);

  // Returns the queue's next free buffer of DatagramBytes, to be filled and
  // given to commitSend. If the queue is full even after a flush, returns an
  // empty span and counts a drop. Thread safety: loop thread only.
  std::span<uint8_t> sendBuffer();

  // Queues the first Size bytes of the last sendBuffer. Thread safety: loop
  // thread only.
  void commitSend(size_t Size, base::SocketAddress To);

  // Queues a copy of Datagram. Returns false, and counts a drop, if the queue
  // is full or Datagram is longer than DatagramBytes. Thread safety: loop
  // thread only.
  bool send(std::span<const uint8_t> Datagram, base::SocketAddress To);

  // Gives queued datagrams to the kernel. Returns whether the queue is empty
  // now. Thread safety: loop thread only.
  bool flush();

  // Thread safety: loop thread only.
  size_t queued() const { return QueueCount; }

  // Reads the kernel's drop counter too, at the cost of one system call. Thread
  // safety: loop thread only.
  UdpCounters counters() const;

private:
  // Buffers and headers of one direction, in the form the system calls take.
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
  Slots Queue; // ring: QueueCount datagrams from QueueHead on
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
