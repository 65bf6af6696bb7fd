#include "burdockstream/network/ProxyHeader.h"

#include <algorithm>
#include <array>
#include <glog/logging.h>

namespace burdockstream::network {

namespace {

constexpr std::array<uint8_t, 12> Signature{0x0d, 0x0a, 0x0d, 0x0a, 0x00, 0x0d,
                                            0x0a, 0x51, 0x55, 0x49, 0x54, 0x0a};
constexpr uint8_t VersionAndCommand = 0x21;  // version 2, command PROXY
constexpr uint8_t FamilyAndTransport = 0x12; // AF_INET, DGRAM
constexpr size_t FixedBytes = 16;            // bytes before the addresses
constexpr size_t AddressBytes = 12;
// Byte offsets of the address fields.
constexpr size_t SourceIpOffset = 16;
constexpr size_t DestinationIpOffset = 20;
constexpr size_t SourcePortOffset = 24;
constexpr size_t DestinationPortOffset = 26;

uint32_t readBigEndian(std::span<const uint8_t> In, size_t Offset,
                       size_t Width) {
  uint32_t Value = 0;
  for (size_t I = 0; I < Width; ++I)
    Value = (Value << 8) | In[Offset + I];
  return Value;
}

void writeBigEndian(std::span<uint8_t> Out, size_t Offset, size_t Width,
                    uint32_t Value) {
  for (size_t I = 0; I < Width; ++I)
    Out[Offset + I] = static_cast<uint8_t>(Value >> (8 * (Width - 1 - I)));
}

} // namespace

bool hasProxySignature(std::span<const uint8_t> Datagram) {
  return Datagram.size() >= Signature.size() &&
         std::equal(Signature.begin(), Signature.end(), Datagram.begin());
}

std::optional<ProxyDatagram>
parseProxyHeader(std::span<const uint8_t> Datagram) {
  if (Datagram.size() < ProxyHeaderBytes || !hasProxySignature(Datagram) ||
      Datagram[12] != VersionAndCommand || Datagram[13] != FamilyAndTransport)
    return std::nullopt;
  const size_t RemainingBytes = readBigEndian(Datagram, 14, 2);
  if (RemainingBytes < AddressBytes ||
      Datagram.size() < FixedBytes + RemainingBytes)
    return std::nullopt;
  const auto Port = [Datagram](size_t Offset) {
    return static_cast<uint16_t>(readBigEndian(Datagram, Offset, 2));
  };
  return ProxyDatagram{
      {{readBigEndian(Datagram, SourceIpOffset, 4), Port(SourcePortOffset)},
       {readBigEndian(Datagram, DestinationIpOffset, 4),
        Port(DestinationPortOffset)}},
      Datagram.subspan(FixedBytes + RemainingBytes)};
}

void writeProxyHeader(std::span<uint8_t> Out, const ProxyHeader &Header) {
  CHECK_GE(Out.size(), ProxyHeaderBytes);
  std::copy(Signature.begin(), Signature.end(), Out.begin());
  Out[12] = VersionAndCommand;
  Out[13] = FamilyAndTransport;
  writeBigEndian(Out, 14, 2, AddressBytes);
  writeBigEndian(Out, SourceIpOffset, 4, Header.Source.Ip);
  writeBigEndian(Out, DestinationIpOffset, 4, Header.Destination.Ip);
  writeBigEndian(Out, SourcePortOffset, 2, Header.Source.Port);
  writeBigEndian(Out, DestinationPortOffset, 2, Header.Destination.Port);
}

} // namespace burdockstream::network
