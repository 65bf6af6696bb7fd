// A priority queue of the opening packets that an agent holds back because its
// target has as much work as it can finish in time.
//
// Load pattern: after an outage the clients of all flows reconnect within
// tenths of a second, to targets that have just started and are slow. Without a
// limit each target gets more requests than it can queue and rejects the rest,
// and all queued ones miss their latency target. With the limit, requests that
// can be on time are delivered first, and late ones when slots are free. Among
// equals the newest is first (LIFO): the oldest are about to be late anyway,
// and must not delay the others.
#ifndef BURDOCKSTREAM_FLOWS_HELDOPENINGS_H
#define BURDOCKSTREAM_FLOWS_HELDOPENINGS_H

#include "burdockstream/base/Time.h"
#include "burdockstream/flows/Frame.h"
#include "burdockstream/flows/OpeningAdmission.h"
#include "burdockstream/flows/Packet.h"
#include "burdockstream/flows/RouteTable.h"

#include <optional>
#include <vector>

namespace burdockstream::flows {

// An opening packet that was held for this long is returned to its balancer,
// which offers it to another target. It is below the 200 ms after which a
// client sends its next copy.
inline constexpr base::Duration MaxHoldTime = std::chrono::milliseconds(150);

// Maximum number of held packets; over it the oldest are returned. A target of
// ten requests at most that serves 500 per second admits 75 in MaxHoldTime.
inline constexpr size_t MaxHeldOpenings = 256;

// An opening packet, with the balancer and the frame header that it came with.
struct HeldOpening {
  base::SocketAddress Balancer;
  FrameHeader Header;
  OwnedPacket Stored;
  base::TimePoint HeldSince;

  // Returns the time left for the flow's first request at Now, or nullopt if
  // its route defines no deadlines.
  std::optional<RequestTime> left(base::TimePoint Now) const;
};

// Not thread-safe.
class HeldOpenings {
public:
  // Adds a copy of Packet. If a packet of the same flow is held, that one is
  // returned to Balancer instead.
  void hold(base::SocketAddress Balancer, const FrameHeader &Header,
            const Packet &Packet, base::TimePoint Now);

  // Removes the packet of Flow, if one is held.
  void erase(const FlowKey &Flow);

  // Removes and returns the next packet for a target with Load, or nullopt if
  // the target admits none. Order: by urgency, on-time before late; then
  // non-idempotent requests, which a client cannot repeat; then the newest.
  std::optional<HeldOpening> takeNext(const TargetLoad &Load,
                                      base::TimePoint Now);

  // Removes and returns the packets that were held for MaxHoldTime or exceed
  // MaxHeldOpenings, oldest first.
  std::vector<HeldOpening> takeOverdue(base::TimePoint Now);

  // Removes and returns all packets, oldest first.
  std::vector<HeldOpening> takeAll();

  size_t size() const { return Held.size(); }

  // Returns how many packets would not be late at a target with Load.
  size_t countInTime(const TargetLoad &Load, base::TimePoint Now) const;

private:
  std::vector<HeldOpening> Held; // oldest first
};

} // namespace burdockstream::flows

#endif
