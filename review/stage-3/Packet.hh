// Packets between clients and endpoints, after the platform's page.
#ifndef STAGE_PACKET_HH
#define STAGE_PACKET_HH

#include "Loop.hh"

namespace stage {

inline constexpr size_t HeadBytes = 32;
inline constexpr uint8_t Rst = 1, Syn = 8, Ack = 16, Fin = 32, Bounced = 128;

struct Packet {
  Address From, To;
  uint32_t Echo = 0, Seq = 0, Acked = 0, Sum = 0;
  uint8_t Flags = 0, Pad = 0;
  std::string Data;

  bool has(uint8_t Flag) const { return (Flags & Flag) != 0; }

  // The keyed sum over all fields but echo, pad and BOUNCED. Never 0, which
  // marks a reset of the system.
  uint32_t sum() const {
    uint64_t Hash = 0x5EED;
    const auto Add = [&Hash](uint64_t Value) { Hash = mix(Hash ^ Value); };
    Add(uint64_t{From.Ip} << 16 | From.Port);
    Add(uint64_t{To.Ip} << 16 | To.Port);
    Add(uint64_t{Seq} << 32 | Acked);
    Add(static_cast<uint64_t>(Flags & ~Bounced));
    for (const char C : Data)
      Add(static_cast<uint8_t>(C));
    return static_cast<uint32_t>(Hash) | 1U;
  }
  bool isIntact() const { return Sum == sum(); }

  Bytes write() const {
    Bytes Out(HeadBytes + Data.size());
    const auto Put = [&Out](size_t At, uint64_t Value, size_t Width) {
      for (size_t I = 0; I < Width; ++I)
        Out[At + I] = static_cast<uint8_t>(Value >> (8 * I));
    };
    Put(0, From.Ip, 4);
    Put(4, To.Ip, 4);
    Put(8, To.Port, 2);
    Put(10, From.Port, 2);
    Put(12, Echo, 4);
    Put(16, Data.size(), 2);
    Put(18, Seq, 4);
    Put(22, Acked, 4);
    Put(26, Flags, 1);
    Put(27, Pad, 1);
    Put(28, Sum, 4);
    std::copy(Data.begin(), Data.end(), Out.begin() + HeadBytes);
    return Out;
  }
  // Completes the sum, as clients and endpoints do, and writes the packet.
  Bytes seal() {
    Sum = sum();
    return write();
  }

  static bool read(const Bytes &In, Packet &Result) {
    if (In.size() < HeadBytes)
      return false;
    const auto Get = [&In](size_t At, size_t Width) {
      uint64_t Value = 0;
      for (size_t I = 0; I < Width; ++I)
        Value |= uint64_t{In[At + I]} << (8 * I);
      return Value;
    };
    Result.From = {static_cast<uint32_t>(Get(0, 4)),
                   static_cast<uint16_t>(Get(10, 2))};
    Result.To = {static_cast<uint32_t>(Get(4, 4)),
                 static_cast<uint16_t>(Get(8, 2))};
    Result.Echo = static_cast<uint32_t>(Get(12, 4));
    Result.Seq = static_cast<uint32_t>(Get(18, 4));
    Result.Acked = static_cast<uint32_t>(Get(22, 4));
    Result.Flags = static_cast<uint8_t>(Get(26, 1));
    Result.Pad = static_cast<uint8_t>(Get(27, 1));
    Result.Sum = static_cast<uint32_t>(Get(28, 4));
    Result.Data.assign(In.begin() + HeadBytes, In.end());
    return Get(16, 2) == Result.Data.size();
  }
};

// A flow's four numbers; From is the client's end.
struct FlowKey {
  Address Client, Route;
  auto operator<=>(const FlowKey &) const = default;
  std::string text() const { return Client.text() + ">" + Route.text(); }
};

} // namespace stage

#endif
