// Private state and methods of RequestCore, implemented in CoreCallers.cpp
// (caller datagrams), CoreAdmission.cpp (admission and start), CoreRun.cpp
// (endpoint events and results), CorePeers.cpp (other agents), CoreBuckets.cpp
// (ownership and handover) and CoreTimers.cpp.
#ifndef BURDOCKSTREAM_REQUESTS_CORESTATE_H
#define BURDOCKSTREAM_REQUESTS_CORESTATE_H

#include "BodyStore.h"
#include "CallerLayer.h"
#include "EndpointLayer.h"
#include "RequestRecords.h"
#include "RunTimeEstimator.h"
#include "Slots.h"
#include "Subscriptions.h"
#include "WorkItem.h"
#include "WorkQueue.h"

#include "burdockstream/requests/RequestCore.h"

#include <deque>
#include <map>
#include <set>

namespace burdockstream::requests {

// Time of the event being handled, and the list that receives its actions.
struct EventContext {
  base::Now Now;
  Sink &Out;
};

// What the agent knows about one bucket.
struct BucketInfo {
  messages::BucketAuthority Authority;
  base::Epoch OwnerEpoch = 0;
  bool Imported = false;        // the former owner's snapshot has arrived
  base::TimePoint PendingSince; // when the role became Pending
  base::DaemonId ExportedTo; // new owner, receives record updates; zero: none
  base::TimePoint LeaseAtExport; // latest start of work accepted before export
};

// A packet that waits until the bucket's ownership is known.
struct HeldPacket {
  messages::Forward Packet;
  base::TimePoint Until;
};

// A request of another agent. It is kept to recognize copies, which get the
// same reply.
struct PeerRun {
  std::optional<messages::RunReply> Reply; // none while it runs
};

// The rid, iat and dl query items of a non-idempotent request. Times are in
// Unix milliseconds.
struct RequestIdentity {
  std::string RequestId;
  int64_t Issued = 0;
  int64_t Deadline = 0;
};

// Time after the start of a drain during which requests are still started at
// the endpoint.
inline constexpr base::Duration DrainWindow = std::chrono::seconds(3);

struct RequestCore::State {
  State(Settings InitSettings, Hooks InitHooks, base::RandomSource &InitRandom);

  // CoreCallers.cpp
  void onCaller(const messages::Forward &Packet, const EventContext &Ctx);
  void onOwnedPacket(const messages::Forward &Packet,
                     const coap::CoapMessage &Message, const EventContext &Ctx);
  void onCallerEvent(const CallerEvent &Event, const EventContext &Ctx);
  void forwardToOwner(const messages::Forward &Packet, const EventContext &Ctx);
  void onRequest(const ExchangeKey &Key, base::BucketIndex Bucket,
                 const coap::CoapMessage &Message, const EventContext &Ctx);
  std::optional<coap::CoapMessage>
  rejectMalformed(const coap::CoapMessage &Message) const;
  void onObserve(const ExchangeKey &Key, base::BucketIndex Bucket,
                 const coap::CoapMessage &Message, const EventContext &Ctx);
  void onIdempotent(const ExchangeKey &Key, base::BucketIndex Bucket,
                    const coap::CoapMessage &Message, const EventContext &Ctx);
  void onNonIdempotent(const ExchangeKey &Key, base::BucketIndex Bucket,
                       const coap::CoapMessage &Message,
                       const EventContext &Ctx);
  bool onRecordedRequest(const RecordKey &Key, const RequestIdentity &Run,
                         const Waiter &From, const EventContext &Ctx);
  std::optional<coap::CoapMessage>
  checkUnrecordedRequest(base::BucketIndex Bucket,
                         const RequestIdentity &Identity,
                         const EventContext &Ctx) const;
  void cancelExchange(const ExchangeKey &Key, const EventContext &Ctx);
  void cancelWork(WorkItem &Item, const EventContext &Ctx);
  void respond(const Waiter &To, base::BucketIndex Bucket,
               const coap::CoapMessage &Full, const EventContext &Ctx);
  void reject(const ExchangeKey &Key, base::BucketIndex Bucket,
              coap::CoapMessage Answer, const EventContext &Ctx);

  // CoreAdmission.cpp
  WorkItem &createWork(base::BucketIndex Bucket,
                       const coap::CoapMessage &Message,
                       const RunEstimate &Estimate, base::TimePoint Deadline,
                       const EventContext &Ctx);
  bool admitFlow(base::SocketAddress Caller);
  void admit(WorkId Id, bool AllowMove, const EventContext &Ctx);
  bool endpointUsable(const EventContext &Ctx) const;
  base::Duration predictWait(const QueuedWork &Entry, base::Now Now) const;
  void dispatch(const EventContext &Ctx);
  void readmitQueue(const EventContext &Ctx);
  bool start(WorkItem &Item, const EventContext &Ctx);
  std::optional<base::WallTime> latestStart(const WorkItem &Item,
                                            base::Now Now) const;
  void advance(WorkItem &Item, RequestEvent Event);
  void markStarted(WorkItem &Item, base::WallTime Latest, base::Now Now);

  // CoreRun.cpp
  void onEndpoint(std::span<const uint8_t> Datagram, const EventContext &Ctx);
  void onEndpointEvent(const EndpointEvent &Event, const EventContext &Ctx);
  void onResponse(WorkItem &Item, const coap::CoapMessage &Response,
                  const EventContext &Ctx);
  void onShed(WorkItem &Item, const coap::CoapMessage &Response,
              const EventContext &Ctx);
  void onNoAck(WorkItem &Item, const EventContext &Ctx);
  void onEndpointDead(const EventContext &Ctx);
  void onAttemptFailed(WorkItem &Item, const EventContext &Ctx);
  void releaseAttempt(WorkItem &Item);
  void finishWithoutResponse(WorkItem &Item, base::Duration RetryAfter,
                             const EventContext &Ctx);
  void finish(WorkItem &Item, RequestEvent Event, const coap::CoapMessage &Full,
              const EventContext &Ctx);
  void deliver(WorkItem &Item, const coap::CoapMessage &Full,
               const EventContext &Ctx);
  void completeRecord(const RecordKey &Key, RecordState Outcome,
                      const coap::CoapMessage &Answer, const EventContext &Ctx);
  void answerWaiters(const RecordKey &Key, const EventContext &Ctx);
  void removeWorkItem(WorkId Id);

  // CorePeers.cpp
  bool tryMove(WorkItem &Item, base::Duration Wait, const EventContext &Ctx);
  bool canStartImmediately(const QueuedWork &Candidate,
                           const EventContext &Ctx) const;
  void onRunRequest(const messages::RunRequest &Request,
                    const EventContext &Ctx);
  void replyToPeer(const PeerRunKey &Key, messages::RunOutcome Outcome,
                   const coap::CoapMessage &Answer, const EventContext &Ctx);
  void onRunReply(base::DaemonId From, const messages::RunReply &Reply,
                  const EventContext &Ctx);
  void onPeerDead(base::DaemonId Peer, const EventContext &Ctx);
  void onRecordUpdate(const messages::RecordUpdate &Update,
                      const EventContext &Ctx);

  // CoreBuckets.cpp
  void setAuthority(base::BucketIndex Bucket,
                    const messages::BucketAuthority &Authority,
                    const EventContext &Ctx);
  messages::BucketRole roleOf(base::BucketIndex Bucket, base::Now Now) const;
  void holdPacket(const messages::Forward &Packet);
  // Handles the held packets of Bucket and those whose holding time is over.
  void releaseHeldPackets(std::optional<base::BucketIndex> Bucket,
                          const EventContext &Ctx);
  messages::BucketSnapshot exportBucket(base::BucketIndex Bucket,
                                        base::DaemonId To,
                                        base::Epoch OwnerEpoch);
  void importBucket(const messages::BucketSnapshot &Snapshot,
                    const EventContext &Ctx);
  base::Epoch epochOf(base::BucketIndex Bucket) const;

  // CoreTimers.cpp
  void tick(const EventContext &Ctx);
  void onWorkDeadline(WorkId Id, const EventContext &Ctx);
  void onAttemptTimeout(WorkId Id, const EventContext &Ctx);
  base::TimePoint nextDeadline() const;
  bool isIdle() const;
  LoadView load(base::Now Now) const;

  void count(Counter Value) const {
    if (Callbacks.Count)
      Callbacks.Count(Value);
  }
  void applyLimits();

  Settings Config;
  Hooks Callbacks;
  records::ServiceConfig Service;
  TeamShare Share;
  bool ClockTrusted = true;

  CallerLayer Callers;
  EndpointLayer Endpoint;
  RequestRecords Records;
  BodyStore Bodies;
  Subscriptions Observers;
  RunTimeEstimator Estimator;
  Slots EndpointSlots;
  RetryBudget Budget;
  WorkQueue Queue;

  std::map<WorkId, WorkItem> WorkItems;
  std::map<EndpointExchange, WorkId> WorkByExchange;
  std::map<uint64_t, WorkId> WorkByMove;
  DeadlineIndex<WorkId> WorkDeadlines;
  DeadlineIndex<WorkId> AttemptDeadlines;
  std::map<PeerRunKey, PeerRun> PeerRuns;
  DeadlineIndex<PeerRunKey> PeerRunExpiries;
  std::set<base::DaemonId> DeadPeers;
  std::map<base::BucketIndex, BucketInfo> Buckets;
  std::deque<HeldPacket> HeldPackets;
  WorkId LastWork = 0;
  uint64_t LastMove = 0;
  base::TimePoint ShedPauseEnd =
      base::Never; // end of the pause after an overload response
  base::TimePoint DrainWindowEnd = base::Never; // no starts from this time on
  bool Draining = false;
  bool DrainWindowElapsed = false;
};

} // namespace burdockstream::requests

#endif
