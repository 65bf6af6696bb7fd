#include "FlowFixture.h"

#include <cstring>
#include <utility>

namespace burdockstream::flows::test {

namespace {

constexpr uint8_t DataByte = 0xFF; // four of them are not a valid index

} // namespace

Packet PacketRegistry::write(Packet Value, Sender Writer) {
  const auto Index = static_cast<uint32_t>(Packets.size());
  Storage.emplace_back(sizeof(Index) + Value.DataBytes, DataByte);
  std::memcpy(Storage.back().data(), &Index, sizeof(Index));
  Packets.push_back(Value);
  Writers.push_back(Writer);
  Value.Bytes = Storage.back();
  return Value;
}

Packet PacketRegistry::read(std::span<uint8_t> Bytes) const {
  uint32_t Index = 0;
  std::memcpy(&Index, Bytes.data(), sizeof(Index));
  Packet Value = Packets[Index];
  Value.Bytes = Bytes;
  return Value;
}

std::optional<Packet>
PacketRegistry::readClientHeader(std::span<uint8_t> Bytes) const {
  uint32_t Index = 0;
  std::memcpy(&Index, Bytes.data(), sizeof(Index));
  if (Index >= Packets.size())
    return std::nullopt;
  Packet Value = read(Bytes);
  if (Writers[Index] == Sender::Target)
    std::swap(Value.Flow.Client, Value.Flow.Service);
  return Value;
}

void PacketRegistry::stamp(std::span<uint8_t> Bytes, uint32_t Tag) {
  uint32_t Index = 0;
  std::memcpy(&Index, Bytes.data(), sizeof(Index));
  Packets[Index].Tag = Tag;
  Packets[Index].Returned = false;
}

} // namespace burdockstream::flows::test
