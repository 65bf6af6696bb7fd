// Batches the searches that a balancer sends at one moment, so that searches
// for several flows share a frame to each agent.
//
// Load pattern: after a restart of all balancers every long-lived flow is
// searched at once. With one frame per flow and agent, 140 flows and 56 agents
// need 7,800 frames, which a VM with an eighth of a core and 10 Mbit/s
// processes in a second, losing statuses of agents meanwhile. With shared
// frames it is 280.
#ifndef BURDOCKSTREAM_FLOWS_SEARCHBATCH_H
#define BURDOCKSTREAM_FLOWS_SEARCHBATCH_H

#include "burdockstream/flows/Frame.h"

#include <cstdint>
#include <functional>
#include <map>
#include <span>
#include <vector>

namespace burdockstream::flows {

// Packet headers per frame, so that a frame is no larger than one that carries
// a packet of 1,200 bytes.
inline constexpr size_t HeadersPerFrame = 36;

// Not thread-safe.
class SearchBatch {
public:
  using Sender =
      std::function<void(base::SocketAddress Agent, const FrameHeader &,
                         std::span<const uint8_t> Body)>;

  // Adds a search for the flow of PacketHeader, a packet header that is copied.
  void add(base::SocketAddress Agent, base::ServiceId Service,
           std::span<const uint8_t> PacketHeader);

  // Sends all added searches with Send and clears the batch. Precondition: all
  // added headers have the same length.
  void flush(base::Revision Routes, const Sender &Send);

private:
  struct Bodies {
    base::ServiceId Service;
    size_t HeaderBytes = 0;
    std::vector<uint8_t> Bytes;
  };
  // Keyed by agent and service.
  std::map<std::pair<base::SocketAddress, uint64_t>, Bodies> Pending;
};

} // namespace burdockstream::flows

#endif
