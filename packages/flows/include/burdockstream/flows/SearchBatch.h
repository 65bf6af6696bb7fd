// Searches that leave a balancer at one moment: those to one agent share
// frames.
//
// Load pattern: after a restart of all balancers every long flow is searched at
// once. With a frame for each flow and agent, 140 flows and 56 agents are 7,800
// frames, which take a VM with an eighth of a core and 10 Mbit/s a second;
// statuses of the agents are lost meanwhile. With shared frames they are 280.
#ifndef BURDOCKSTREAM_FLOWS_SEARCHBATCH_H
#define BURDOCKSTREAM_FLOWS_SEARCHBATCH_H

#include "burdockstream/flows/Frame.h"

#include <cstdint>
#include <functional>
#include <map>
#include <span>
#include <vector>

namespace burdockstream::flows {

// Packet headers in one frame, which then is not larger than one that carries a
// packet of 1,200 bytes.
inline constexpr size_t HeadersPerFrame = 36;

// Thread safety: one thread at a time.
class SearchBatch {
public:
  using Sender =
      std::function<void(base::SocketAddress Agent, const FrameHeader &,
                         std::span<const uint8_t> Body)>;

  // Adds the search for the flow that PacketHeader names.
  void add(base::SocketAddress Agent, base::ServiceId Service,
           std::span<const uint8_t> PacketHeader);

  // Sends what was added, and forgets it. All headers must have had the same
  // length.
  void flush(base::Revision Routes, const Sender &Send);

private:
  struct Bodies {
    base::ServiceId Service;
    size_t HeaderBytes = 0;
    std::vector<uint8_t> Bytes;
  };
  // By agent and service.
  std::map<std::pair<base::SocketAddress, uint64_t>, Bodies> Pending;
};

} // namespace burdockstream::flows

#endif
