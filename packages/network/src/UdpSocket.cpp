#include "burdockstream/network/UdpSocket.h"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <glib-unix.h>
#include <glog/logging.h>
#include <linux/sock_diag.h>
#include <unistd.h>

namespace burdockstream::network {

namespace {

// Maximum number of batches received per loop iteration, so that a busy socket
// does not delay the timers of the loop.
constexpr int BatchesPerDispatch = 4;

struct UdpSource {
  GSource Base;
  UdpSocket *Socket;
};

sockaddr_in toSockaddr(base::SocketAddress Address) {
  sockaddr_in Result{};
  Result.sin_family = AF_INET;
  Result.sin_addr.s_addr = htonl(Address.Ip);
  Result.sin_port = htons(Address.Port);
  return Result;
}

base::SocketAddress fromSockaddr(const sockaddr_in &Address) {
  return {ntohl(Address.sin_addr.s_addr), ntohs(Address.sin_port)};
}

base::Error systemError(const std::string &Action, base::SocketAddress Local) {
  return base::makeError(base::ErrorKind::Unavailable,
                         Action + " " + base::toString(Local) +
                             " failed: " + std::strerror(errno) +
                             "; check that the address belongs to this VM and "
                             "that no other process uses the port");
}

} // namespace

UdpSocket::Slots::Slots(size_t Count, size_t InitSlotBytes)
    : SlotBytes(InitSlotBytes), Memory(new uint8_t[Count * SlotBytes]),
      Peers(Count), Vectors(Count), Headers(Count) {
  for (size_t I = 0; I < Count; ++I) {
    Vectors[I] = {buffer(I).data(), SlotBytes};
    Headers[I].msg_hdr.msg_iov = &Vectors[I];
    Headers[I].msg_hdr.msg_iovlen = 1;
    Headers[I].msg_hdr.msg_name = &Peers[I];
    Headers[I].msg_hdr.msg_namelen = sizeof(sockaddr_in);
  }
}

base::Result<std::unique_ptr<UdpSocket>>
UdpSocket::open(base::SocketAddress Local, const UdpOptions &Options) {
  CHECK_GT(Options.SendQueueLength, 0U);
  const int Descriptor =
      ::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (Descriptor < 0)
    return systemError("creating a socket for", Local);
  const int Bytes = Options.KernelBufferBytes;
  ::setsockopt(Descriptor, SOL_SOCKET, SO_RCVBUF, &Bytes, sizeof(Bytes));
  ::setsockopt(Descriptor, SOL_SOCKET, SO_SNDBUF, &Bytes, sizeof(Bytes));
  sockaddr_in Address = toSockaddr(Local);
  socklen_t Length = sizeof(Address);
  auto *Generic = reinterpret_cast<sockaddr *>(&Address);
  if (::bind(Descriptor, Generic, Length) != 0 ||
      ::getsockname(Descriptor, Generic, &Length) != 0) {
    const base::Error Failure = systemError("binding", Local);
    ::close(Descriptor);
    return Failure;
  }
  return std::unique_ptr<UdpSocket>(
      new UdpSocket(Descriptor, fromSockaddr(Address), Options));
}

UdpSocket::UdpSocket(int InitDescriptor, base::SocketAddress InitLocal,
                     const UdpOptions &InitOptions)
    : Descriptor(InitDescriptor), Local(InitLocal), Options(InitOptions),
      Receive(MaxBatch, Options.DatagramBytes),
      Queue(Options.SendQueueLength, Options.DatagramBytes) {}

UdpSocket::~UdpSocket() {
  detach();
  ::close(Descriptor);
}

size_t UdpSocket::receiveBatch(const Handler &Receiver) {
  for (mmsghdr &Header : Receive.Headers)
    Header.msg_hdr.msg_namelen = sizeof(sockaddr_in);
  const int Count = ::recvmmsg(Descriptor, Receive.Headers.data(), MaxBatch,
                               MSG_DONTWAIT, nullptr);
  if (Count < 0) {
    if (errno != EAGAIN && errno != EINTR)
      ++Counters.ReceiveErrors;
    return 0;
  }
  deliver(static_cast<size_t>(Count), Receiver);
  return static_cast<size_t>(Count);
}

void UdpSocket::deliver(size_t Count, const Handler &Receiver) {
  for (size_t I = 0; I < Count; ++I) {
    if ((Receive.Headers[I].msg_hdr.msg_flags & MSG_TRUNC) != 0) {
      ++Counters.ReceiveTruncated;
      continue;
    }
    const size_t Size = Receive.Headers[I].msg_len;
    ++Counters.Received;
    Counters.ReceivedBytes += Size;
    Receiver(Receive.buffer(I).first(Size), fromSockaddr(Receive.Peers[I]));
  }
}

std::span<uint8_t> UdpSocket::sendBuffer() {
  const size_t Capacity = Queue.Headers.size();
  if (QueueCount == Capacity)
    flush();
  if (QueueCount == Capacity) {
    ++Counters.SendQueueFull;
    return {};
  }
  return Queue.buffer((QueueHead + QueueCount) % Capacity);
}

void UdpSocket::commitSend(size_t Size, base::SocketAddress To) {
  CHECK_LE(Size, Queue.SlotBytes);
  CHECK_LT(QueueCount, Queue.Headers.size());
  const size_t Index = (QueueHead + QueueCount) % Queue.Headers.size();
  Queue.Vectors[Index].iov_len = Size;
  Queue.Peers[Index] = toSockaddr(To);
  ++QueueCount;
}

bool UdpSocket::send(std::span<const uint8_t> Datagram,
                     base::SocketAddress To) {
  if (Datagram.size() > Queue.SlotBytes) {
    ++Counters.SendErrors;
    return false;
  }
  const std::span<uint8_t> Buffer = sendBuffer();
  if (Buffer.empty())
    return false;
  std::copy(Datagram.begin(), Datagram.end(), Buffer.begin());
  commitSend(Datagram.size(), To);
  return true;
}

void UdpSocket::releaseQueued(size_t Count) {
  QueueHead = (QueueHead + Count) % Queue.Headers.size();
  QueueCount -= Count;
  // Restarting an empty ring at its first buffer confines a lightly loaded
  // socket to a few buffers, which stay in the processor's caches.
  if (QueueCount == 0)
    QueueHead = 0;
}

// Sends Count datagrams that are contiguous in the ring. Returns how many to
// remove from the queue, sent or dropped; 0 means that the kernel accepts no
// more for now.
size_t UdpSocket::flushRun(size_t Count) {
  const int Sent = Options.SendMany(Descriptor, &Queue.Headers[QueueHead],
                                    static_cast<unsigned>(Count), MSG_DONTWAIT);
  if (Sent > 0) {
    for (size_t I = 0; I < static_cast<size_t>(Sent); ++I)
      Counters.SentBytes += Queue.Headers[QueueHead + I].msg_len;
    Counters.Sent += static_cast<uint64_t>(Sent);
    return static_cast<size_t>(Sent);
  }
  if (errno == EAGAIN || errno == ENOBUFS || errno == EINTR) {
    ++Counters.SendBlocked;
    return 0;
  }
  // Other errors concern only the first datagram, for example its size or
  // route.
  ++Counters.SendErrors;
  return 1;
}

bool UdpSocket::flush() {
  while (QueueCount > 0) {
    const size_t Run =
        std::min({QueueCount, Queue.Headers.size() - QueueHead, MaxBatch});
    const size_t Done = flushRun(Run);
    if (Done == 0)
      return false;
    releaseQueued(Done);
  }
  return true;
}

UdpCounters UdpSocket::counters() const {
  UdpCounters Result = Counters;
  uint32_t Information[SK_MEMINFO_VARS] = {};
  socklen_t Length = sizeof(Information);
  if (::getsockopt(Descriptor, SOL_SOCKET, SO_MEMINFO, Information, &Length) ==
      0)
    Result.KernelDrops = Information[SK_MEMINFO_DROPS];
  return Result;
}

// Runs in every loop iteration before the loop waits, so that datagrams queued
// by several event sources are sent in one batch.
gboolean UdpSocket::prepareSource(GSource *Source, gint *Timeout) {
  UdpSocket &Self = *reinterpret_cast<UdpSource *>(Source)->Socket;
  *Timeout = -1;
  const bool NeedsWrite = !Self.flush();
  if (NeedsWrite != Self.WatchesWrite) {
    Self.WatchesWrite = NeedsWrite;
    const int Events = NeedsWrite ? G_IO_IN | G_IO_OUT : G_IO_IN;
    g_source_modify_unix_fd(Source, Self.SourceTag,
                            static_cast<GIOCondition>(Events));
  }
  return FALSE;
}

gboolean UdpSocket::checkSource(GSource *Source) {
  const UdpSocket &Self = *reinterpret_cast<UdpSource *>(Source)->Socket;
  return g_source_query_unix_fd(Source, Self.SourceTag) != 0 ? TRUE : FALSE;
}

gboolean UdpSocket::dispatchSource(GSource *Source, GSourceFunc, gpointer) {
  UdpSocket &Self = *reinterpret_cast<UdpSource *>(Source)->Socket;
  for (int I = 0; I < BatchesPerDispatch && Self.Source; ++I)
    if (Self.receiveBatch(Self.OnDatagram) < MaxBatch)
      break;
  Self.flush();
  return G_SOURCE_CONTINUE;
}

void UdpSocket::attach(GMainContext *Context, Handler Receiver) {
  CHECK(!Source) << "the UDP socket is already attached to a main context";
  static GSourceFuncs Functions = {prepareSource, checkSource, dispatchSource,
                                   nullptr,       nullptr,     nullptr};
  OnDatagram = std::move(Receiver);
  Source = g_source_new(&Functions, sizeof(UdpSource));
  reinterpret_cast<UdpSource *>(Source)->Socket = this;
  SourceTag = g_source_add_unix_fd(Source, Descriptor, G_IO_IN);
  WatchesWrite = false;
  g_source_attach(Source, Context);
}

void UdpSocket::detach() {
  if (!Source)
    return;
  g_source_destroy(Source);
  g_source_unref(Source);
  Source = nullptr;
}

} // namespace burdockstream::network
