// Opening packets that an agent holds because its target has as much work as it
// can do in time, and the order in which they go to the target.
//
// Load pattern: after an outage the clients of all flows return within some
// tenths of a second, to targets that have just started and are slow. Without a
// limit each target gets more than it can queue and turns requests away, and
// those that it keeps are all late. Held back, each request that reaches a
// target is served in time. The newest goes first: what has waited is late
// already, and the others must not become so too.
#ifndef BURDOCKSTREAM_FLOWS_HELDOPENINGS_H
#define BURDOCKSTREAM_FLOWS_HELDOPENINGS_H

#include "burdockstream/base/Time.h"
#include "burdockstream/flows/Frame.h"
#include "burdockstream/flows/Packet.h"
#include "burdockstream/flows/RouteTable.h"

#include <optional>
#include <vector>

namespace burdockstream::flows {

// Requests a slot that a target gets at once: one in work and four queued.
// Fewer leave slots idle while clients' handshakes are on their way, more are
// turned away by targets that queue four a slot. Worth of cbs-hq, trouble-1:
// 0.777 without a limit, 0.785 with four, 0.799 with five.
inline constexpr uint32_t RequestsPerSlot = 5;

// A packet that was held for this long goes back to its balancer, which offers
// it elsewhere. It is less than the 200 ms after which a client sends its next
// copy.
inline constexpr base::Duration HoldTime = std::chrono::milliseconds(150);

// Held at most; beyond this the oldest goes back. A target with ten places that
// serves 500 requests a second admits 75 in HoldTime.
inline constexpr size_t MaxHeld = 256;

// Whether a target with Slots takes a flow more while InProgress requests have
// no answer. Thread safety: any thread.
inline bool hasRoom(uint32_t InProgress, uint32_t Slots) {
  return InProgress < RequestsPerSlot * Slots;
}

struct HeldOpening {
  base::SocketAddress Balancer;
  FrameHeader Header;
  KeptPacket Kept;
  base::TimePoint HeldSince;
};

// Thread safety: one thread at a time.
class HeldOpenings {
public:
  // Holds a copy of Packet. A further copy of one that is held changes nothing.
  void hold(base::SocketAddress Balancer, const FrameHeader &Header,
            const Packet &Packet, base::TimePoint Now);

  // Removes and returns the one that goes to the target next: work that may not
  // run twice first, then the newest.
  std::optional<HeldOpening> takeNext();

  // Removes and returns those that have waited for HoldTime or are too many.
  std::vector<HeldOpening> takeOverdue(base::TimePoint Now);

  // Removes and returns all.
  std::vector<HeldOpening> takeAll();

  size_t size() const { return Held.size(); }

private:
  std::vector<HeldOpening> Held; // oldest first
};

} // namespace burdockstream::flows

#endif
