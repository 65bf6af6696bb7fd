// Request handling of an agent: CoAP exchanges with callers and with the local
// endpoint, at-most-once execution records, admission and scheduling,
// block-wise transfer, Observe subscriptions, and the handover of buckets to
// other agents. The core performs no I/O and is deterministic: time and random
// numbers are passed in, and messages to be sent are appended to a Sink.
#ifndef BURDOCKSTREAM_REQUESTS_REQUESTCORE_H
#define BURDOCKSTREAM_REQUESTS_REQUESTCORE_H

#include "burdockstream/base/Random.h"
#include "burdockstream/messages/BucketAuthority.h"
#include "burdockstream/requests/Actions.h"
#include "burdockstream/requests/Hooks.h"

#include <memory>
#include <span>

namespace burdockstream::requests {

// Current load, for load reports to other agents and for metrics.
struct LoadView {
  size_t Queued = 0;      // requests waiting for a slot
  size_t Running = 0;     // requests that occupy a slot of the endpoint
  uint32_t SlotLimit = 0; // slots that may be used now
  size_t Flows = 0;       // admitted caller flows
  size_t Records = 0;     // at-most-once records
  size_t Subscriptions = 0;
  base::Duration PredictedWait{0}; // of one more short request
};

// Single-threaded: every method must be called on the event loop's thread. Now
// must not decrease between calls. Methods with a Sink append messages to Out.
class RequestCore {
public:
  // Precondition: Random outlives the core.
  RequestCore(Settings InitSettings, Hooks InitHooks,
              base::RandomSource &Random);
  ~RequestCore();
  RequestCore(const RequestCore &) = delete;
  RequestCore &operator=(const RequestCore &) = delete;

  // Applies a configuration record; may be repeated. Precondition: the first
  // call precedes every other event.
  void configure(const records::ServiceConfig &Config);

  // Limits slots and flows to the agent's share of its team's limits.
  void setTeamShare(const TeamShare &Share);

  // Reports whether the offset of the agent's wall clock is within its bound.
  // While it is not, new non-idempotent requests are refused as not run.
  void setClockTrusted(bool Trusted);

  // Handles one caller datagram. Packets of another service and malformed
  // datagrams are counted and dropped. Precondition: Authority is the current
  // authority for Packet.Bucket.
  void onCaller(const messages::Forward &Packet,
                const messages::BucketAuthority &Authority, base::Now Now,
                Sink &Out);

  // Handles one datagram from the local endpoint. A malformed datagram is
  // counted and dropped.
  void onEndpoint(std::span<const uint8_t> Datagram, base::Now Now, Sink &Out);

  // Handles another agent's request to run work at the local endpoint. Replies
  // with a refusal unless the work can start at once.
  void onRunRequest(const messages::RunRequest &Request, base::Now Now,
                    Sink &Out);
  // Handles the outcome of a request that was moved to From. Replies to unknown
  // sequence numbers are ignored.
  void onRunReply(base::DaemonId From, const messages::RunReply &Reply,
                  base::Now Now, Sink &Out);
  // Merges a record that a former owner reports after a handover.
  void onRecordUpdate(const messages::RecordUpdate &Update, base::Now Now,
                      Sink &Out);

  // Reports that another agent of the service is dead. Idempotent requests that
  // it was running for this agent are retried; the outcome of others is
  // unknown.
  void onPeerDead(base::DaemonId Peer, base::Now Now, Sink &Out);

  // Reports a change of the agent's authority for Bucket. Must also be called
  // for every lease extension, because non-idempotent requests are started only
  // before the most recently reported LeaseEnd.
  void setAuthority(base::BucketIndex Bucket,
                    const messages::BucketAuthority &Authority, base::Now Now,
                    Sink &Out);

  // Reports the ownership epoch of a bucket that this agent owns. Message ids
  // depend on the epoch, so that a caller does not discard a new owner's
  // messages as duplicates of the former owner's.
  void setEpoch(base::BucketIndex Bucket, base::Epoch OwnerEpoch);

  // Stops new notifications of the bucket. Should be called one round trip
  // before exportBucket, so that outstanding acknowledgments still arrive here.
  void freezeBucket(base::BucketIndex Bucket);

  // Returns whether no notification of the bucket awaits an acknowledgment.
  bool allNotificationsAcknowledged(base::BucketIndex Bucket) const;

  // Freezes the bucket and returns the state that the new owner To needs.
  // Requests already accepted here finish here; their results are sent to To as
  // RecordUpdate messages. If the handover fails, call resumeBucket.
  messages::BucketSnapshot exportBucket(base::BucketIndex Bucket,
                                        base::DaemonId To,
                                        base::Epoch OwnerEpoch, base::Now Now);

  // Resumes a frozen bucket after a failed handover.
  void resumeBucket(base::BucketIndex Bucket, base::Now Now, Sink &Out);

  // Adopts the records and subscriptions of a former owner. Subscriptions
  // resume after the last update that the caller acknowledged. A snapshot of
  // another service is counted and ignored.
  void importBucket(const messages::BucketSnapshot &Snapshot, base::Now Now,
                    Sink &Out);

  // Discards the bucket's state after its handover. Requests in flight finish.
  void dropBucket(base::BucketIndex Bucket);

  // Starts a graceful shutdown; later calls have no effect. After 3 s no more
  // requests are started at the endpoint, and requests still in the queue are
  // moved to other agents or refused as not run.
  void startDrain(base::Now Now);

  // Returns whether no request is in progress, no message to a caller is
  // unacknowledged, and no packet is held. Subscriptions are not considered.
  bool isIdle() const;

  // Returns whether the endpoint is considered alive.
  bool endpointAlive() const;

  // Returns the current load.
  LoadView load(base::Now Now) const;

  // Handles all timers that are due at Now.
  void tick(base::Now Now, Sink &Out);

  // Returns the time at which tick must be called next, or base::Never.
  base::TimePoint nextDeadline() const;

private:
  struct State;
  std::unique_ptr<State> Self;
};

} // namespace burdockstream::requests

#endif
