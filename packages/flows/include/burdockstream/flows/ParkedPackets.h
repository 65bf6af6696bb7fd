// Parks client packets that a balancer cannot handle yet. A balancer that has
// just started does not know the routes, the targets, or whether its list of
// agents is complete.
//
// Load pattern: after a restart of all balancers each client retransmits its
// packet after 0.2, 0.4, 0.8 and 1.6 s. Dropping a packet for missing
// information would cost the client up to 1.6 s beyond the arrival of that
// information.
#ifndef BURDOCKSTREAM_FLOWS_PARKEDPACKETS_H
#define BURDOCKSTREAM_FLOWS_PARKEDPACKETS_H

#include "burdockstream/base/Time.h"
#include "burdockstream/flows/Packet.h"

#include <unordered_map>
#include <vector>

namespace burdockstream::flows {

// The condition that a parked packet waits for.
enum class ParkReason : uint8_t {
  RoutesOrTarget,   // routes, or a target that accepts flows
  SettledAgentList, // a list of agents that is complete enough to prove
                    // that no target holds the flow
  SearchRateLimit,  // a token for search frames
  OfferInterval,    // the interval between rounds of offers
};

// Maximum wait of an opening packet. A client gives up opening a flow after 1.4
// s; it sends its last copy after 0.6 s.
inline constexpr base::Duration MaxOpeningParkTime =
    std::chrono::milliseconds(600);

// Maximum wait of any other packet. A client retransmits after at most 1.6 s.
inline constexpr base::Duration MaxParkTime = std::chrono::milliseconds(1500);

// Maximum number of parked packets, one per flow: 1.2 MB at the largest packet
// size, on VMs with at least 80 MB.
inline constexpr size_t MaxParkedPackets = 1024;

struct ParkedPacket {
  OwnedPacket Stored;
  ParkReason Reason = ParkReason::RoutesOrTarget;
  base::TimePoint ArrivedAt;
};

// Holds at most one packet per flow. Not thread-safe.
class ParkedPackets {
public:
  // Parks a copy of Packet, replacing an earlier packet of its flow. Returns
  // false and does nothing if MaxParkedPackets other flows are parked.
  bool add(const Packet &Packet, ParkReason Reason, base::TimePoint ArrivedAt);

  // Removes the packet of Flow, if any.
  void erase(const FlowKey &Flow) { Packets.erase(Flow); }

  // Removes and returns the packets parked for Reason, oldest first.
  std::vector<ParkedPacket> take(ParkReason Reason);

  // Removes and returns the packets that exceed their maximum wait, oldest
  // first.
  std::vector<ParkedPacket> takeExpired(base::TimePoint Now);

  size_t size() const { return Packets.size(); }

private:
  template <typename PredicateT>
  std::vector<ParkedPacket> takeIf(PredicateT Matches);

  std::unordered_map<FlowKey, ParkedPacket> Packets;
};

} // namespace burdockstream::flows

#endif
