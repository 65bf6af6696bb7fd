// A packet of a flow: the decoded header fields and a view of the raw bytes,
// which are forwarded unchanged. The packet layout is known only to
// PacketCodec, which the platform provides.
#ifndef BURDOCKSTREAM_FLOWS_PACKET_H
#define BURDOCKSTREAM_FLOWS_PACKET_H

#include "burdockstream/base/Time.h"
#include "burdockstream/flows/FlowKey.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <vector>

namespace burdockstream::flows {

struct Packet {
  FlowKey Flow;
  bool Opens = false;   // SYN without ACK
  bool Accepts = false; // SYN with ACK
  bool Finishes = false;
  bool Aborts = false;   // RST
  bool Returned = false; // sent back by a target, see Tag
  uint32_t Sequence = 0;
  // Acknowledgement number; in an opening packet, how many times the client has
  // already sent it (0 in the first copy).
  uint32_t Acknowledged = 0;
  uint16_t DataBytes = 0;
  // Opening packets only: time since the client sent the first copy.
  base::Duration SinceFirstCopy{0};
  // Opaque value that an agent stamps into a packet for its target. A target
  // that returns the packet sends it back unchanged.
  uint32_t Tag = 0;
  std::span<uint8_t> Bytes; // the whole datagram, not owned
};

// A packet that owns a copy of its bytes, so that it outlives the receive
// buffer. Not thread-safe.
class OwnedPacket {
public:
  explicit OwnedPacket(const Packet &Original)
      : Value(Original), Bytes(Original.Bytes.begin(), Original.Bytes.end()) {}

  const FlowKey &flow() const { return Value.Flow; }
  bool opens() const { return Value.Opens; }
  uint32_t sequence() const { return Value.Sequence; }
  uint32_t acknowledged() const { return Value.Acknowledged; }
  uint16_t dataBytes() const { return Value.DataBytes; }

  // Returns the packet as a view; its bytes are valid while this object lives.
  Packet packet() {
    Packet Result = Value;
    Result.Bytes = Bytes;
    return Result;
  }

private:
  Packet Value; // Bytes refers to the original datagram; use packet()
  std::vector<uint8_t> Bytes;
};

// Which end of the flow sent a packet. The header holds the sender's address
// first, so a decoder needs this to tell client and service apart.
enum class Sender : uint8_t { Client, Target };

// Reads and writes the platform's packet layout. All functions must be set.
struct PacketCodec {
  // Decodes a datagram from Sender, or one that a target returned. Returns
  // nullopt if it is malformed.
  std::function<std::optional<Packet>(std::span<uint8_t>, Sender)> Decode;
  // Decodes a packet of a client that may be truncated to its header. Returns
  // nullopt if it is malformed.
  std::function<std::optional<Packet>(std::span<uint8_t>)> DecodeHeader;
  // Writes Tag into the datagram and clears its "returned" flag.
  std::function<void(std::span<uint8_t>, uint32_t Tag)> Stamp;
  // Builds a reset (RST) packet for the client of the flow, with Sequence as
  // its sequence number.
  std::function<std::vector<uint8_t>(const FlowKey &, uint32_t Sequence)>
      MakeReset;
  // When a client sends the copies of an opening packet, after the first one;
  // the first time is 0.
  std::vector<base::Duration> CopyTimes;
  // Length of a packet header, which is enough to identify the flow.
  size_t HeaderBytes = 0;
};

// Decodes the concatenated packet headers in the body of a search or of its
// answer. Returns an empty vector if any header is malformed. Thread safety:
// any thread.
inline std::vector<Packet> decodeHeaders(const PacketCodec &Codec,
                                         std::span<uint8_t> Bytes) {
  std::vector<Packet> Result;
  for (; !Bytes.empty(); Bytes = Bytes.subspan(Codec.HeaderBytes)) {
    const auto Packet =
        Bytes.size() < Codec.HeaderBytes
            ? std::nullopt
            : Codec.DecodeHeader(Bytes.first(Codec.HeaderBytes));
    if (!Packet)
      return {};
    Result.push_back(*Packet);
  }
  return Result;
}

} // namespace burdockstream::flows

#endif
