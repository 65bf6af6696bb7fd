// Packets of clients that cannot be decided yet: a balancer that has just
// started does not know the routes, the targets, or whether its view is whole.
//
// Load pattern: after a restart of all balancers each client repeats its packet
// after 0.2, 0.4, 0.8 and 1.6 s. A packet that is dropped for lack of knowledge
// costs the client up to 1.6 s more than the knowledge took to arrive.
#ifndef BURDOCKSTREAM_FLOWS_PARKEDPACKETS_H
#define BURDOCKSTREAM_FLOWS_PARKEDPACKETS_H

#include "burdockstream/base/Time.h"
#include "burdockstream/flows/Packet.h"

#include <unordered_map>
#include <vector>

namespace burdockstream::flows {

// What a parked packet waits for.
enum class WaitFor : uint8_t {
  Knowledge,    // routes, or a target that takes flows
  SettledView,  // a list of agents that proves that nobody holds the flow
  SearchBudget, // frames of searches
};

// A client gives up opening a flow after 1.4 s; its last copy leaves after 0.6.
inline constexpr base::Duration ParkedOpeningLife =
    std::chrono::milliseconds(600);

// A client repeats a packet of an open flow after at most 1.6 s.
inline constexpr base::Duration ParkedLife = std::chrono::milliseconds(1500);

// Packets that are parked at most, one for each flow: 1.2 MB if all are of the
// largest size. The smallest VMs have 80 MB.
inline constexpr size_t MaxParked = 1024;

struct ParkedPacket {
  KeptPacket Kept;
  WaitFor Reason = WaitFor::Knowledge;
  base::TimePoint ArrivedAt;
};

// Thread safety: one thread at a time.
class ParkedPackets {
public:
  // Keeps a copy of Packet in place of an earlier one of its flow. Returns
  // false if the place is full.
  bool add(const Packet &Packet, WaitFor Reason, base::TimePoint ArrivedAt);

  // Removes the packet of Flow, whose client has sent a newer one.
  void erase(const FlowKey &Flow) { Packets.erase(Flow); }

  // Removes and returns the packets that wait for Reason, oldest first.
  std::vector<ParkedPacket> take(WaitFor Reason);

  // Removes and returns the packets that have waited for too long.
  std::vector<ParkedPacket> takeExpired(base::TimePoint Now);

  size_t size() const { return Packets.size(); }

private:
  template <typename PredicateT>
  std::vector<ParkedPacket> takeIf(PredicateT Matches);

  std::unordered_map<FlowKey, ParkedPacket> Packets;
};

} // namespace burdockstream::flows

#endif
