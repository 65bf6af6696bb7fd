// Tracks when agents last announced themselves to this balancer: the agents
// that it has received announcements from, and those it is a home balancer of.
#ifndef BURDOCKSTREAM_MEMBERSHIP_AGENTTRACKER_H
#define BURDOCKSTREAM_MEMBERSHIP_AGENTTRACKER_H

#include "burdockstream/base/Ids.h"
#include "burdockstream/base/SocketAddress.h"
#include "burdockstream/base/Time.h"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace burdockstream::membership {

// Thread safety: loop thread only.
class AgentTracker {
public:
  struct Agent {
    base::TimePoint LastAnnouncement;
    base::TimePoint Deadline;        // when the agent becomes overdue
    uint64_t ServiceGeneration = 0;  // in the last complete AnnounceAck
    uint64_t BalancerGeneration = 0; // in the last complete AnnounceAck
    uint32_t CompleteAcksLeft = 0;   // repeated because of packet loss
    uint32_t AcksSinceComplete = 0;
  };

  // Records an announcement of Id and returns its entry, which is created if
  // necessary. The reference is valid until the next non-const call.
  Agent &recordAnnouncement(base::DaemonId Id, base::TimePoint Now);

  // Starts to track Id, which has not announced itself here. It becomes overdue
  // after GracePeriod. Has no effect if Id is tracked already.
  void startTracking(base::DaemonId Id, base::TimePoint Now,
                     base::Duration GracePeriod);

  // Returns whether Id is tracked.
  bool contains(base::DaemonId Id) const { return Agents.contains(Id); }

  // Stops tracking Id.
  void stopTracking(base::DaemonId Id) { Agents.erase(Id); }

  // Stops tracking Id if it has not announced itself here for longer than
  // Silence, because it announces itself to other balancers.
  void stopTrackingIfSilent(base::DaemonId Id, base::TimePoint Now,
                            base::Duration Silence);

  // Returns the agents whose deadline has passed, and extends their deadlines
  // to Now + Extension.
  std::vector<base::DaemonId> takeOverdue(base::TimePoint Now,
                                          base::Duration Extension);

  // Returns the time since the last announcement of Id. Precondition: Id is
  // tracked.
  base::Duration timeSinceAnnouncement(base::DaemonId Id,
                                       base::TimePoint Now) const {
    return Now - Agents.at(Id).LastAnnouncement;
  }

  // Extends every deadline to at least AgentSilenceTimeout from now, after a
  // pause of the process.
  void extendDeadlines(base::TimePoint Now);

  // Returns a lower bound of the earliest deadline.
  base::TimePoint nextDeadline() const { return Next; }

  size_t size() const { return Agents.size(); }

private:
  std::unordered_map<base::DaemonId, Agent> Agents;
  base::TimePoint Next = base::Never;
};

} // namespace burdockstream::membership

#endif
