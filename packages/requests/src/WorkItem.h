// A request in progress at this agent.
#ifndef BURDOCKSTREAM_REQUESTS_WORKITEM_H
#define BURDOCKSTREAM_REQUESTS_WORKITEM_H

#include "EndpointLayer.h"
#include "RequestRecords.h"
#include "RequestStates.h"

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace burdockstream::requests {

using WorkId = uint64_t;

// Identifies a RunRequest by the requesting agent and its sequence number.
using PeerRunKey = std::pair<base::DaemonId, uint64_t>;

// A request from its arrival until it is answered or its late response is no
// longer awaited.
struct WorkItem {
  WorkId Id = 0;
  RequestState State = RequestState::Received;
  base::BucketIndex Bucket = 0;
  bool Idempotent = true;
  coap::CoapMessage Request; // as sent on: without Observe, Block2 and ETag

  // Exactly one of these identifies the receivers of the result.
  std::optional<RecordKey> Record;  // non-idempotent requests of callers
  std::optional<PeerRunKey> Origin; // requests of other agents
  std::vector<Waiter> Waiters;      // idempotent requests of callers

  std::string RunTimeKey;
  records::WorkClass Class = records::WorkClass::Short;
  base::Duration Expected{0};
  base::Duration Spread{0}; // mean absolute deviation from Expected
  base::TimePoint Arrived;
  base::TimePoint Deadline;
  base::WallTime NotAfter; // latest start, not considering the lease

  // The current attempt, either at the local endpoint or at another agent.
  EndpointExchange Exchange = 0;
  base::DaemonId MovedTo;
  uint64_t MoveSequence = 0;
  uint8_t MoveAttempts = 0; // agents asked so far
  base::TimePoint Started;
  bool HoldsSlot = false;
  bool MayHaveRun = false;       // some attempt has started
  bool MayHaveRunBefore = false; // value of MayHaveRun before this attempt
};

} // namespace burdockstream::requests

#endif
