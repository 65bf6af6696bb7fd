// Client side of an agent's lease: requests grants from the arbiters of the
// service and computes the time until which a majority has granted the lease.
#ifndef BURDOCKSTREAM_OWNERSHIP_LEASECLIENT_H
#define BURDOCKSTREAM_OWNERSHIP_LEASECLIENT_H

#include "burdockstream/messages/Messages.h"
#include "burdockstream/ownership/ArbiterSelection.h"
#include "burdockstream/ownership/Timing.h"

#include <array>
#include <optional>
#include <vector>

namespace burdockstream::ownership {

class LeaseClient {
public:
  // Self must not be zero. An empty List never gives a lease. Thread safety:
  // loop thread only.
  LeaseClient(base::DaemonId Self, base::ServiceId Service, ArbiterList List);

  // Returns the request to send to every arbiter, if one is due. It must be
  // sent after Now was read, because the lease counts from Now. Thread safety:
  // loop thread only.
  std::optional<messages::LeaseRequest> tick(base::Now Now);

  // Processes an arbiter's answer. Refusals and grants that match no recent
  // request are ignored. Thread safety: loop thread only.
  void handle(const messages::LeaseGrant &Grant, base::Now Now);

  // Returns the time at which the lease ends; TimePoint::min() before the first
  // lease. Thread safety: loop thread only.
  base::TimePoint leaseEnd() const { return End; }

  // Returns whether the lease is held at Now. Thread safety: loop thread only.
  bool held(base::TimePoint Now) const { return Now < End; }

  // Returns the number of the current or latest period of uninterrupted lease;
  // zero before the first lease. Thread safety: loop thread only.
  uint64_t period() const { return Period; }

  // Returns when tick() next has a request to send. Thread safety: loop thread
  // only.
  base::TimePoint nextDeadline() const { return NextRequest; }

  // Thread safety: loop thread only.
  const ArbiterList &arbiters() const { return List; }

private:
  // At least LeaseTerm / SuspendedRequestInterval = 12, the number of requests
  // whose grants can still give an unexpired lease.
  static constexpr size_t MaxTrackedRequests = 16;

  struct SentRequest {
    uint64_t Sequence = 0;
    base::TimePoint SentAt;
  };

  base::DaemonId Self;
  base::ServiceId Service;
  ArbiterList List;
  uint64_t Sequence = 0;
  std::array<SentRequest, MaxTrackedRequests> Sent{};
  // Per arbiter, the send time of the newest granted request.
  std::vector<base::TimePoint> GrantedAt;
  base::TimePoint End = base::TimePoint::min();
  base::TimePoint NextRequest = base::TimePoint::min();
  uint64_t Period = 0;
};

} // namespace burdockstream::ownership

#endif
