// Packets as the platform's clients and targets write them, with a sum that
// shows whether a packet was changed on its way. The product's codec writes
// none of them.
#ifndef BURDOCKSTREAM_TESTING_PLATFORMPACKETWRITER_H
#define BURDOCKSTREAM_TESTING_PLATFORMPACKETWRITER_H

#include "burdockstream/base/SocketAddress.h"

#include <cstdint>
#include <span>
#include <vector>

namespace burdockstream::testing {

inline constexpr uint8_t SynFlag = 8;
inline constexpr uint8_t AckFlag = 16;
inline constexpr uint8_t FinFlag = 32;

struct PacketText {
  base::SocketAddress From;
  base::SocketAddress To;
  uint8_t Flags = 0;
  uint32_t Acknowledged = 0;
  uint32_t Request = 0;  // number of a request or its answer; 0: no data
  size_t DataBytes = 4;  // of a packet with a request; at least 4
  uint32_t Sequence = 0; // at which the sender starts the flow
};

// Thread safety, for all functions: any thread.
std::vector<uint8_t> writePacket(const PacketText &Text);

// Replaces the ends of a packet and leaves its sum. Precondition: Bytes has a
// header.
void writeEnds(std::span<uint8_t> Bytes, base::SocketAddress From,
               base::SocketAddress To);

// Whether only the fields differ that the way may change.
bool isIntact(std::span<const uint8_t> Bytes);

// Returns the number in the data, 0 if there is none.
uint32_t requestOf(std::span<const uint8_t> Bytes);

// Marks the packet as given back by the target. Precondition: it has a header.
void markReturned(std::span<uint8_t> Bytes);

} // namespace burdockstream::testing

#endif
