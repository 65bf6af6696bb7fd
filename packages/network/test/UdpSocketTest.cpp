#include "burdockstream/network/UdpSocket.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cerrno>
#include <vector>

namespace burdockstream::network {
namespace {

using Bytes = std::vector<uint8_t>;

constexpr base::SocketAddress AnyLoopbackPort{0x7f000001, 0};

std::unique_ptr<UdpSocket> openSocket(const UdpOptions &Options = {}) {
  auto Opened = UdpSocket::open(AnyLoopbackPort, Options);
  EXPECT_TRUE(Opened.has_value());
  return std::move(Opened.value());
}

// Receives datagrams until none is left. Loopback delivers before sendmmsg()
// returns, so no waiting is needed.
std::vector<Bytes> drain(UdpSocket &Socket) {
  std::vector<Bytes> Received;
  while (Socket.receiveBatch(
             [&](std::span<uint8_t> Datagram, base::SocketAddress) {
               Received.emplace_back(Datagram.begin(), Datagram.end());
             }) > 0) {
  }
  return Received;
}

// Guards against losing or reordering datagrams between batches.
TEST(UdpSocketTest, BatchesKeepOrderAndContent) {
  const auto Out = openSocket();
  const auto In = openSocket();
  for (uint8_t I = 0; I < 150; ++I)
    ASSERT_TRUE(Out->send(Bytes(I + size_t{1}, I), In->localAddress()));
  ASSERT_TRUE(Out->flush());
  const auto Received = drain(*In);
  ASSERT_EQ(Received.size(), 150U);
  for (uint8_t I = 0; I < 150; ++I)
    EXPECT_EQ(Received[I], Bytes(I + size_t{1}, I));
  EXPECT_EQ(Out->counters().Sent, 150U);
  EXPECT_EQ(In->counters().Received, 150U);
  EXPECT_EQ(In->counters().ReceivedBytes, Out->counters().SentBytes);
}

// Guards against delivering a truncated datagram as if it were complete.
TEST(UdpSocketTest, OverlongDatagramsAreDropped) {
  const auto Out = openSocket(
      {.DatagramBytes = EndpointDatagramBytes, .SendQueueLength = 4});
  const auto In = openSocket({.DatagramBytes = 100, .SendQueueLength = 4});
  EXPECT_TRUE(Out->send(Bytes(101), In->localAddress()));
  EXPECT_TRUE(Out->send(Bytes(100), In->localAddress()));
  EXPECT_TRUE(Out->send(Bytes(60'000), Out->localAddress()));
  ASSERT_TRUE(Out->flush());
  EXPECT_EQ(drain(*In).size(), 1U);
  EXPECT_EQ(In->counters().ReceiveTruncated, 1U);
  EXPECT_EQ(drain(*Out).at(0).size(), 60'000U);
  EXPECT_FALSE(In->send(Bytes(101), Out->localAddress()));
  EXPECT_EQ(In->counters().SendErrors, 1U);
}

int sendTwoOrBlock(int Descriptor, mmsghdr *Headers, unsigned Count,
                   int Flags) {
  static int Calls = 0;
  if (++Calls % 2 == 0) {
    errno = EAGAIN;
    return -1;
  }
  return ::sendmmsg(Descriptor, Headers, std::min(Count, 2U), Flags);
}

// Guards against losing or duplicating datagrams that the kernel did not
// accept, including where the ring wraps around.
TEST(UdpSocketTest, RefusedDatagramsStayQueued) {
  const auto In = openSocket();
  const auto Out =
      openSocket({.SendQueueLength = 5, .SendMany = sendTwoOrBlock});
  std::vector<Bytes> Accepted;
  for (uint8_t I = 0; I < 40; ++I) {
    if (Out->send(Bytes(1, I), In->localAddress()))
      Accepted.emplace_back(1, I);
    if (I % 3 == 0) {
      const bool Empty = Out->flush();
      EXPECT_EQ(Empty, Out->queued() == 0);
    }
  }
  while (!Out->flush()) {
  }
  EXPECT_EQ(drain(*In), Accepted);
  EXPECT_EQ(Out->counters().Sent, Accepted.size());
  EXPECT_EQ(Out->counters().SendQueueFull, 40 - Accepted.size());
  EXPECT_GT(Out->counters().SendBlocked, 0U);
}

int refuseEmpty(int Descriptor, mmsghdr *Headers, unsigned Count, int Flags) {
  for (unsigned I = 0; I < Count; ++I) {
    if (Headers[I].msg_hdr.msg_iov->iov_len > 0)
      continue;
    if (I > 0)
      return ::sendmmsg(Descriptor, Headers, I, Flags);
    errno = ENETUNREACH;
    return -1;
  }
  return ::sendmmsg(Descriptor, Headers, Count, Flags);
}

// Guards against an unsendable datagram that blocks all later ones.
TEST(UdpSocketTest, UnsendableDatagramIsSkipped) {
  const auto In = openSocket();
  const auto Out = openSocket({.SendMany = refuseEmpty});
  for (const size_t Size : {3U, 0U, 0U, 4U})
    ASSERT_TRUE(Out->send(Bytes(Size), In->localAddress()));
  EXPECT_TRUE(Out->flush());
  EXPECT_EQ(drain(*In).size(), 2U);
  EXPECT_EQ(Out->counters().SendErrors, 2U);
}

// Guards against datagrams that stay in the send queue while the loop waits.
TEST(UdpSocketTest, LoopDeliversAndFlushes) {
  GMainContext *Context = g_main_context_new();
  const auto Server = openSocket();
  const auto Client = openSocket();
  int Answers = 0;
  Server->attach(Context,
                 [&](std::span<uint8_t> Datagram, base::SocketAddress From) {
                   Server->send(Datagram, From);
                 });
  Client->attach(Context, [&](std::span<uint8_t>, base::SocketAddress From) {
    EXPECT_EQ(From, Server->localAddress());
    if (++Answers == 100)
      Client->detach();
  });
  for (int I = 0; I < 120; ++I)
    Client->send(Bytes(10), Server->localAddress());
  while (Answers < 100)
    g_main_context_iteration(Context, TRUE);
  EXPECT_EQ(Server->counters().Received, 120U);
  Server->detach();
  g_main_context_unref(Context);
}

// Guards against an error message that does not tell the operator how to
// resolve the conflict.
TEST(UdpSocketTest, OccupiedPortIsReported) {
  const auto First = openSocket();
  const auto Second = UdpSocket::open(First->localAddress());
  ASSERT_TRUE(Second.has_error());
  EXPECT_EQ(Second.error().Kind, base::ErrorKind::Unavailable);
  EXPECT_NE(Second.error().Message.find("no other process uses the port"),
            std::string::npos);
}

} // namespace
} // namespace burdockstream::network
