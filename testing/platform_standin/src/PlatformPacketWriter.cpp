#include "burdockstream/testing/PlatformPacketWriter.h"

#include "burdockstream/base/Hash.h"

#include <cstring>
#include <string>

namespace burdockstream::testing {

namespace {

constexpr size_t HeaderBytes = 32;
constexpr size_t EchoAt = 12;
constexpr size_t LengthAt = 16;
constexpr size_t SequenceAt = 18;
constexpr size_t AcknowledgedAt = 22;
constexpr size_t FlagsAt = 26;
constexpr size_t PadAt = 27;
constexpr size_t SumAt = 28;
constexpr uint8_t BouncedFlag = 128;

template <typename ValueT>
void put(std::span<uint8_t> Out, size_t At, ValueT Value) {
  std::memcpy(Out.data() + At, &Value, sizeof(Value));
}

// Covers all fields but echo, pad and the bounced mark.
uint32_t sumOf(std::span<const uint8_t> Bytes) {
  std::string Copy(Bytes.begin(), Bytes.end());
  std::memset(Copy.data() + EchoAt, 0, 4);
  Copy[PadAt] = 0;
  Copy[FlagsAt] = static_cast<char>(Copy[FlagsAt] & ~BouncedFlag);
  std::memset(Copy.data() + SumAt, 0, 4);
  return static_cast<uint32_t>(base::hashBytes(Copy, 77));
}

} // namespace

std::vector<uint8_t> writePacket(const PacketText &Text) {
  const size_t Length = Text.Request == 0 ? 0 : Text.DataBytes;
  std::vector<uint8_t> Bytes(HeaderBytes + Length);
  writeEnds(Bytes, Text.From, Text.To);
  put(Bytes, LengthAt, static_cast<uint16_t>(Length));
  put(Bytes, SequenceAt,
      Text.Sequence + static_cast<uint32_t>(Text.Request * Text.DataBytes));
  put(Bytes, AcknowledgedAt, Text.Acknowledged);
  Bytes[FlagsAt] = Text.Flags;
  if (Length != 0)
    put<uint32_t>(Bytes, HeaderBytes, Text.Request);
  put(Bytes, SumAt, sumOf(Bytes));
  return Bytes;
}

void writeEnds(std::span<uint8_t> Bytes, base::SocketAddress From,
               base::SocketAddress To) {
  put(Bytes, 0, From.Ip);
  put(Bytes, 4, To.Ip);
  put(Bytes, 8, To.Port);
  put(Bytes, 10, From.Port);
}

bool isIntact(std::span<const uint8_t> Bytes) {
  uint32_t Sum = 0;
  std::memcpy(&Sum, Bytes.data() + SumAt, sizeof(Sum));
  return Sum == sumOf(Bytes);
}

uint32_t requestOf(std::span<const uint8_t> Bytes) {
  uint32_t Request = 0;
  if (Bytes.size() >= HeaderBytes + sizeof(Request))
    std::memcpy(&Request, Bytes.data() + HeaderBytes, sizeof(Request));
  return Request;
}

void markReturned(std::span<uint8_t> Bytes) {
  Bytes[FlagsAt] |= BouncedFlag;
  Bytes[PadAt] = 0;
}

} // namespace burdockstream::testing
