// Active health check of the agent's own endpoint: a CoAP ping every 500 ms.
// The load reports and health pages of endpoints lag or can be wrong, whereas a
// ping takes the same path as the requests.
#ifndef BURDOCKSTREAM_NODES_ENDPOINTHEALTH_H
#define BURDOCKSTREAM_NODES_ENDPOINTHEALTH_H

#include "burdockstream/base/Time.h"

namespace burdockstream::nodes {

// Thread safety: loop thread only.
class EndpointHealth {
public:
  static constexpr base::Duration PingInterval = std::chrono::milliseconds(500);
  // Covers three consecutive pings without an answer.
  static constexpr base::Duration PongTimeout = std::chrono::milliseconds(1600);

  // Returns whether a ping must be sent now. If so, schedules the next one.
  bool pingDue(base::TimePoint Now) {
    if (Now < NextPing)
      return false;
    NextPing = Now + PingInterval;
    return true;
  }

  // Records that the endpoint answered a ping.
  void onPong(base::TimePoint Now) { LastPong = Now; }

  // Returns whether the endpoint has answered a ping within PongTimeout.
  bool isAlive(base::TimePoint Now) const {
    return LastPong != base::TimePoint::min() && Now - LastPong <= PongTimeout;
  }

  // Returns when the next ping is due.
  base::TimePoint nextDeadline() const { return NextPing; }

private:
  base::TimePoint NextPing = base::TimePoint::min();
  base::TimePoint LastPong = base::TimePoint::min();
};

} // namespace burdockstream::nodes

#endif
