// Settings of the request core, and the functions through which it reports and
// asks for decisions that belong to other modules.
#ifndef BURDOCKSTREAM_REQUESTS_HOOKS_H
#define BURDOCKSTREAM_REQUESTS_HOOKS_H

#include "burdockstream/base/Ids.h"
#include "burdockstream/base/Time.h"
#include "burdockstream/records/ServiceConfig.h"
#include "burdockstream/requests/SchedulingPolicy.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string_view>

namespace burdockstream::requests {

enum class Counter : uint8_t {
  CallerMalformed,     // datagrams that are not CoAP
  WrongService,        // Forward messages for another service
  Duplicate,           // copies of a caller message that was seen before
  PassedToOwner,       // Forward messages sent on to the bucket's owner
  DroppedNotOwner,     // Forward messages without a known owner or hops left
  DroppedHeld,         // held packets beyond the limit
  Accepted,            // requests admitted
  Answered,            // final responses from an endpoint
  RefusedNotRun,       // 5.03 not-run
  RefusedUnknown,      // 5.04 unknown
  RefusedInvalid,      // 4.xx generated here
  CancelledByCaller,   // requests that their caller reset
  DeadlineInQueue,     // requests that expired before they were started
  DeadlineRunning,     // requests that expired at the endpoint
  EndpointShed,        // 5.03 responses of the endpoint
  EndpointDead,        // transitions of the endpoint to dead
  EndpointMalformed,   // datagrams from the endpoint that are not CoAP
  Retried,             // attempts paid from the retry budget
  RetryBudgetEmpty,    // retries that the budget did not allow
  Moved,               // requests sent to another agent
  MoveRefused,         // moved requests that the other agent refused
  MoveLost,            // moved requests without an answer in time
  Undelivered,         // separate responses that no caller acknowledged
  NotificationSent,    // notifications sent for the first time
  UpdateDuplicate,     // updates dropped because of their number
  UpdateGap,           // missing updates that were requested again
  UpdateGapAccepted,   // missing updates that the endpoint does not have
  SubscriptionDropped, // subscriptions whose caller does not answer
};

// Returns the stable name of Value, as used for metrics. Thread safety: any
// thread.
std::string_view toString(Counter Value);

// The times of one finished request.
struct LatencySample {
  records::WorkClass Class = records::WorkClass::Short;
  base::Duration Queued{0}; // from arrival to start at the endpoint
  base::Duration Run{0};    // from start to the endpoint's response
};

// What a hook needs to know to choose another agent for a request that has not
// started.
struct MoveQuery {
  records::WorkClass Class = records::WorkClass::Short;
  bool Idempotent = true;
  bool EndpointUsable = true; // false: the own endpoint is dead or draining
  base::Duration PredictedWait{0};
  base::Duration TimeLeft{0};
};

// Every hook may be empty. They are called from within the core's methods and
// must not call the core.
struct Hooks {
  // Names the agent that should run the request, or nothing to keep it here.
  std::function<std::optional<base::DaemonId>(const MoveQuery &)> ChoosePeer;
  std::function<void(Counter)> Count;
  std::function<void(const LatencySample &)> Sample;
};

struct Settings {
  base::DaemonId Self;
  // Chosen by measurement, see docs/MEASUREMENTS.md.
  SchedulingPolicy Policy =
      makeBorrowPolicy(0.5, std::chrono::seconds(5), std::chrono::seconds(20));
  size_t MaxQueue = 256; // bounds memory; the predicted wait usually acts first
  // Applies to idempotent requests without dl.
  base::Duration DefaultDeadline = std::chrono::seconds(30);
  // The endpoint is on the same VM, so its acknowledgments are quick; with two
  // retransmissions it is dead after 7 to 10.5 s of silence.
  base::Duration EndpointAckTimeout = std::chrono::seconds(1);
  uint8_t EndpointRetries = 2;
  // An idempotent attempt without a response is given up after this time.
  base::Duration EndpointResponseTimeout = std::chrono::seconds(15);
  // An observation at the endpoint is registered again after this time, because
  // a restarted endpoint has forgotten it.
  base::Duration ObserveRefresh = std::chrono::seconds(15);
  // Learned run times above this make a path long.
  base::Duration LongThreshold = std::chrono::milliseconds(500);
  // How many times other agents are asked to run a request that cannot start
  // here. Their load reports are up to a second old, so most of them refuse;
  // with 16 attempts the aim for short work is missed, with 32 it is met
  // (docs/MEASUREMENTS.md).
  uint8_t MoveAttempts = 32;
  double RetryShare = 0.1; // retries per accepted request
};

// The agent's part of a team's limits; none: no limit.
struct TeamShare {
  std::optional<uint32_t> Slots;
  std::optional<uint32_t> Flows;
};

} // namespace burdockstream::requests

#endif
