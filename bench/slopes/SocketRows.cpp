#include "Row.h"

#include "DataSocket.h"

#include <cstdio>
#include <glog/logging.h>
#include <unistd.h>

namespace burdockstream::bench {

namespace {

constexpr base::SocketAddress AnyLoopbackPort{0x7f000001, 0};
// Enough to use every buffer of each ring.
constexpr uint64_t Datagrams = 4096;
constexpr size_t DatagramBytes = 200;

double residentBytes() {
  long Total = 0;
  long Resident = 0;
  std::FILE *File = std::fopen("/proc/self/statm", "r");
  PCHECK(File != nullptr);
  CHECK_EQ(std::fscanf(File, "%ld %ld", &Total, &Resident), 2);
  std::fclose(File);
  return static_cast<double>(Resident * ::sysconf(_SC_PAGESIZE));
}

} // namespace

void addSocketRows(Rows &Out) {
  Row Memory{"resident memory of the data socket's buffers",
             "bytes",
             "datagrams of 200 bytes sent to itself",
             {}};
  const double Before = residentBytes();
  network::UdpOptions Options;
  Options.DatagramBytes = daemon::DataBufferBytes;
  const auto Opened = network::UdpSocket::open(AnyLoopbackPort, Options);
  CHECK(Opened.has_value()) << Opened.error().Message;
  network::UdpSocket &Socket = *Opened.value();
  Memory.Points.emplace_back(0, residentBytes() - Before);
  const std::vector<uint8_t> Datagram(DatagramBytes, 1);
  for (uint64_t I = 0; I < Datagrams; ++I) {
    CHECK(Socket.send(Datagram, Socket.localAddress()));
    Socket.flush();
    Socket.receiveBatch([](std::span<uint8_t>, base::SocketAddress) {});
  }
  Memory.Points.emplace_back(Datagrams, residentBytes() - Before);
  Out.push_back(Memory);
}

} // namespace burdockstream::bench
