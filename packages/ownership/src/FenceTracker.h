// Tracks the fences of a claimant: requests the arbiters' consent that a dead
// owner holds no lease, and determines which owners a majority has consented to
// fence.
#ifndef BURDOCKSTREAM_OWNERSHIP_SRC_FENCETRACKER_H
#define BURDOCKSTREAM_OWNERSHIP_SRC_FENCETRACKER_H

#include "burdockstream/messages/Messages.h"
#include "burdockstream/ownership/ArbiterSelection.h"
#include "burdockstream/ownership/Timing.h"

#include <array>
#include <span>
#include <unordered_map>
#include <vector>

namespace burdockstream::ownership::internal {

// Per fenced daemon, the send time of the oldest request whose consent is
// needed for the majority.
using FenceTimes = std::unordered_map<base::DaemonId, base::TimePoint>;

class FenceTracker {
public:
  // List must outlive the tracker. Thread safety: loop thread only.
  FenceTracker(base::DaemonId Self, base::ServiceId Service,
               const ArbiterList &List);

  // Sets the daemons to fence and drops the consents for all others. Thread
  // safety: loop thread only.
  void setTargets(std::span<const base::DaemonId> NewTargets);

  // Returns the requests that are due, each to be sent to every arbiter. Thread
  // safety: loop thread only.
  std::vector<messages::FenceRequest> tick(base::TimePoint Now);

  // Processes an arbiter's answer. Refusals and consents that match no recent
  // request are ignored. Thread safety: loop thread only.
  void handle(const messages::FenceConsent &Consent);

  // Returns the targets that a majority of the arbiters has consented to fence,
  // by consents at most ConsentLifetime old at Now. Thread safety: loop thread
  // only.
  FenceTimes activeFences(base::TimePoint Now) const;

  // Returns whether any daemon is being fenced. Thread safety: loop thread
  // only.
  bool active() const { return !Targets.empty(); }

private:
  static constexpr size_t MaxTrackedRequests = 8;

  struct SentRequest {
    uint64_t Sequence = 0;
    base::TimePoint SentAt;
  };
  struct Target {
    base::TimePoint NextRequest = base::TimePoint::min();
    std::array<SentRequest, MaxTrackedRequests> Sent{};
    uint64_t Requests = 0;
    // Per arbiter, the send time of the newest request with consent.
    std::vector<base::TimePoint> ConsentedAt;
  };

  base::DaemonId Self;
  base::ServiceId Service;
  const ArbiterList &List;
  uint64_t Sequence = 0;
  std::unordered_map<base::DaemonId, Target> Targets;
};

} // namespace burdockstream::ownership::internal

#endif
