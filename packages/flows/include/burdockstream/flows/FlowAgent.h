// The decision logic of an agent of a flow service. All packets to and from the
// target on the agent's VM pass through the agent, which is the authority on
// the flows that the target holds. It uses no sockets, clocks or threads.
//
// An opening packet reaches the target only if the agent knows that the target
// accepts new flows, independently of the state that balancers assume. Packets
// of the target go directly to the client.
#ifndef BURDOCKSTREAM_FLOWS_FLOWAGENT_H
#define BURDOCKSTREAM_FLOWS_FLOWAGENT_H

#include "burdockstream/base/Time.h"
#include "burdockstream/flows/AgentHooks.h"
#include "burdockstream/flows/AgingMap.h"
#include "burdockstream/flows/FlowDecision.h"
#include "burdockstream/flows/FlowTimeQueue.h"
#include "burdockstream/flows/Frame.h"
#include "burdockstream/flows/Heartbeat.h"
#include "burdockstream/flows/HeldOpenings.h"
#include "burdockstream/flows/OutlierEjection.h"
#include "burdockstream/flows/Packet.h"
#include "burdockstream/flows/RecordRetention.h"
#include "burdockstream/flows/SequenceRange.h"
#include "burdockstream/flows/ServiceTimeEstimate.h"
#include "burdockstream/flows/TargetStatus.h"
#include "burdockstream/flows/WarmupLimit.h"

#include <optional>
#include <string>
#include <vector>

namespace burdockstream::flows {

namespace internal {
enum class TargetEvent : uint8_t;
} // namespace internal

// A balancer without a hello for this long gets no more statuses.
inline constexpr base::Duration BalancerTimeout = std::chrono::seconds(3);

// A balancer whose subscription ended while the target was stopped gets
// statuses for this long after the target has started: several, since one may
// be lost. Balancers of former builds take the last status for current, however
// old.
inline constexpr base::Duration StartReportPeriod = std::chrono::seconds(1);

// Largest number of such balancers.
inline constexpr size_t MaxLeftWhileStopped = 4096;

// Minimum interval between statuses to balancers of the same failure domain,
// which place most flows here, after a change of the load; and the regular
// interval of statuses to all balancers, which is longer because traffic
// between failure domains is expensive. Both are at least StatusTimePerBalancer
// per receiver, so that an agent sends at most 500 statuses per second.
inline constexpr base::Duration LocalStatusInterval =
    std::chrono::milliseconds(50);
inline constexpr base::Duration StatusInterval = std::chrono::milliseconds(250);
inline constexpr base::Duration StatusTimePerBalancer =
    std::chrono::milliseconds(4);

// Opening packets from a balancer with outdated routes are still delivered for
// this long after the agent has learnt of newer routes.
inline constexpr base::Duration OldRoutesGracePeriod = std::chrono::seconds(1);

// How long the agent remembers that its target does not hold a flow, so that
// repeated searches do not reach the target.
inline constexpr base::Duration NotHeldRetention = std::chrono::seconds(3);

// The first request of a flow arrives one round trip to the client after its
// opening packet. Without it after this many times the mean, the flow no longer
// counts as work: its client has most likely given up or chosen another target.
inline constexpr int OpeningTimeoutHandshakes = 3;

// Initial value of the mean handshake time, and the upper limit of a sample.
inline constexpr base::Duration InitialHandshake =
    std::chrono::milliseconds(20);
inline constexpr base::Duration MaxHandshake = std::chrono::milliseconds(80);

// A request without an answer for this long no longer counts as work in
// progress. Its client may have disappeared without closing the flow, and the
// target would seem busy for as long as the flow is remembered.
inline constexpr base::Duration UnansweredRequestTimeout =
    std::chrono::seconds(3);

// A target on the same VM returns a packet of an unknown flow within
// milliseconds. If a trial packet is not returned within this time, the target
// holds the flow; it need not answer the packet.
inline constexpr base::Duration TrialTimeout = std::chrono::milliseconds(100);

// Interval between health checks of a silent target.
inline constexpr base::Duration ProbeInterval = std::chrono::milliseconds(1000);

// Thread safety, for all methods: loop thread only. Precondition: Now does not
// decrease between calls.
class FlowAgent {
public:
  FlowAgent(AgentOptions InitOptions, AgentHooks InitHooks)
      : Options(std::move(InitOptions)), Hooks(std::move(InitHooks)),
        Heartbeats(Options.HeartbeatOverdue) {}

  // Starts the first health check of the target.
  void start(base::TimePoint Now);

  // Replaces the target after a change of the settings. The state of the new
  // target is unknown.
  void setTarget(const TargetIdentity &Target, base::TimePoint Now);

  // Changes AgentOptions::HeartbeatInterval and HeartbeatOverdue.
  void setHeartbeatTimes(base::Duration Interval, base::Duration Overdue);

  // Answers a search for the flows of Packets, each truncated to its header.
  void onSearches(base::SocketAddress From, std::span<const Packet> Packets);

  // Handles a frame of a balancer that carries one packet.
  void onFrame(base::SocketAddress From, const FrameHeader &Header,
               const Packet &Packet, base::TimePoint Now);
  // Handles a hello: From gets statuses from now on. Routes is the revision
  // that it applies.
  void onHello(base::SocketAddress From, base::Revision Routes,
               const Hello &Hello, base::TimePoint Now);

  // Handles a policy that a balancer sends, which applies routes of revision
  // Routes. Ignored if it is for another failure domain; what is older than the
  // state in force is not applied.
  void onPolicy(base::SocketAddress From, base::Revision Routes,
                const TargetPolicy &Policy, base::TimePoint Now);

  // Handles a packet that the target sent or returned.
  void onTargetPacket(const Packet &Packet, base::TimePoint Now);

  // Handles a heartbeat. Returns whether it was accepted.
  HeartbeatVerdict onHeartbeat(const Heartbeat &Beat, base::TimePoint Now);
  // The run of TargetId that started at StartedAtMs (Unix time in ms, 0 if
  // unknown) announces its end. Where nothing shows that it is the current one,
  // no flows are delivered until the next heartbeat, and a health check shows
  // whether the target's process has ended.
  EndVerdict onDeregister(const std::string &TargetId, int64_t StartedAtMs,
                          base::TimePoint Now);
  // Handles the result of a health check that was started at StartedAt.
  void onProbe(ProbeResult Result, base::TimePoint StartedAt,
               base::TimePoint Now);

  // Announces the agent's shutdown to balancers; no new flows are delivered.
  void startLeaving(base::TimePoint Now);

  // Runs time-outs and sends statuses. Call at least every 50 ms.
  void tick(base::TimePoint Now);

  TargetState state() const { return State; }
  const TargetIdentity &target() const { return Options.Target; }
  base::Duration heartbeatOverdue() const { return Options.HeartbeatOverdue; }
  // Number of requests without an answer, of flows whose first request is in
  // transit, and of held opening packets.
  uint32_t waiting() const {
    return WaitingRequests + OpeningFlows + static_cast<uint32_t>(Held.size());
  }
  size_t held() const { return Held.size(); }
  size_t flows() const { return Flows.size(); }
  // Number of records that were dropped since there were too many.
  uint64_t earlyDrops() const { return EarlyDrops; }
  // Number of packets that the target has returned although there is a record
  // for their key, whose sequence numbers do not show that it is of their flow.
  uint64_t unprovenReturns() const { return UnprovenReturns; }
  // Number of flows that the target holds and has not closed.
  uint32_t openFlows() const { return OpenFlows; }
  uint32_t slots() const { return Slots; }
  base::Revision newestRoutes() const { return NewestRoutes; }
  const DomainEvacuation &evacuation() const { return Evacuation; }
  // New flows per second that the target may get while it warms up, 0: no
  // limit.
  uint32_t warmupLimit() const { return Warmup.value(); }
  base::Duration ejectedFor(base::TimePoint Now) const {
    return Ejection.remaining(Now);
  }
  base::Duration heartbeatAge(base::TimePoint Now) const {
    return Now - LastHeartbeat;
  }
  AgentFlowView view(const FlowKey &Flow) const;
  size_t balancers() const { return Balancers.size(); }

private:
  struct FlowRecord {
    uint32_t Acknowledged = 0; // last of the client, sequence number of a reset
    uint32_t RequestEnd = 0;   // sequence number after the last request byte
    // Arrival of the last request; while Opening, of the opening packet.
    base::TimePoint RequestedAt;
    WorkClass Class = WorkClass::Other;
    bool Open = false;    // the target holds it: it has sent data or closed it
    bool Waiting = false; // a request has no answer yet
    bool Counted = false; // included in OpenFlows
    bool Opening = false; // its first request has not arrived yet
    // The target has closed its side, or the client has reset the flow.
    bool Closing = false;
    bool ClosedByClient = false; // it has closed its side or reset the flow
    // Of the client's opening packet and its copies; nothing if the agent has
    // not seen any.
    std::optional<uint32_t> OpeningSequence;
    bool OpenedByCopy = false; // the first one that the agent has seen
    // The record is older than the opening packet, which may be a copy or open
    // another flow.
    bool MayBeFormer = false;
    SequenceRange Sent; // by the target
  };
  struct Balancer {
    base::SocketAddress Address;
    base::TimePoint LastHello;
    bool Local = false; // in the same failure domain
  };
  // A trial delivery: a packet was passed to the target to find out whether the
  // target holds its flow.
  struct Trial {
    uint16_t Balancer = 0; // index in Senders
    uint32_t Acknowledged = 0;
    std::vector<uint8_t> Header; // of the client's packet, for the answer
  };
  enum class Audience : uint8_t { Local, All };

  void onOpening(base::SocketAddress From, const FrameHeader &Header,
                 const Packet &Packet, base::TimePoint Now);
  ReturnReason checkOpening(const FrameHeader &Header,
                            base::TimePoint Now) const;
  void onForward(base::SocketAddress From, const FrameHeader &Header,
                 const Packet &Packet, base::TimePoint Now);
  std::span<const uint8_t> headerOf(const Packet &Packet) const;
  FrameKind lookUpFlow(const Packet &Packet);
  bool knowsNotHeld(const FlowKey &Flow);
  // Returns whether the target holds no flow without a record.
  bool hasAllRecords() const {
    return KnowsAllFlows && Retention.coversAllFlows(LastTick);
  }
  void ageRecords(base::TimePoint Now);
  static bool mayDescribe(const FlowRecord &Record, SequenceMatch Match);
  static bool isCopyOf(const Packet &Opening, const FlowRecord &Record);
  void onTrial(base::SocketAddress From, const Packet &Packet,
               base::TimePoint Now);
  void deliverOpening(base::SocketAddress From, const FrameHeader &Header,
                      const Packet &Packet, base::TimePoint Now);
  void returnOpening(base::SocketAddress From, const FrameHeader &Header,
                     const Packet &Packet, ReturnReason Reason,
                     base::TimePoint Now);
  TargetLoad load() const;
  uint32_t reportedLoad(base::TimePoint Now) const;
  static bool isNewer(const FlowRecord &Record, const Packet &Packet);
  void admitHeld(base::TimePoint Now);
  void returnHeld(std::vector<HeldOpening> Overdue, ReturnReason Reason,
                  base::TimePoint Now);
  void deliver(base::SocketAddress From, const Packet &Packet, bool IsTrial);
  void recordRequest(FlowRecord &Record, const Packet &Packet,
                     base::TimePoint Now);
  void recordAnswer(FlowRecord &Record, base::TimePoint Now);
  void accountBusyTime(base::TimePoint Now);
  void applyEvacuation(const DomainEvacuation &Ordered,
                       base::SocketAddress From, base::TimePoint Now);
  // Returns whether the limit of the target's warm-up allows one more flow.
  bool warmupAdmits(base::TimePoint Now) {
    return Now >= WarmupEnd || Warmup.admits(Now);
  }
  void recordAbort(const FlowRecord &Record, base::TimePoint Now);
  void recordReset(FlowRecord &Record, const Packet &Packet);
  void onReturned(const Packet &Packet, base::TimePoint Now);
  void answer(base::SocketAddress To, FrameKind Kind, ReturnReason Reason,
              std::span<const uint8_t> Body);
  void recordOpening(FlowRecord &Record, const FlowKey &Flow,
                     base::TimePoint Now);
  void recordAcceptance(FlowRecord &Record, const Packet &Packet,
                        base::TimePoint Now);
  void completeTrials(base::TimePoint Now);
  void completeTrial(const FlowKey &Flow);
  void expireOpenings(base::TimePoint Now);
  void expireWaiting(base::TimePoint Now);
  void stopCounting(FlowRecord &Record);
  void forget(const FlowKey &Flow);
  void resetAllFlows(base::TimePoint Now);
  bool hasObservedStart(const Heartbeat &Beat, base::TimePoint Now) const;
  void apply(internal::TargetEvent Event, std::string_view Cause,
             base::TimePoint Now);
  TargetStatus status(base::TimePoint Now);
  void sendStatuses(base::TimePoint Now, Audience To);
  void sendStatusTo(base::SocketAddress To, base::TimePoint Now);
  void expireSubscriptions(base::TimePoint Now);
  void resumeSubscriptions(base::TimePoint Now);
  uint16_t balancerIndex(base::SocketAddress Address);
  void reportDecision(DecisionKind Kind, ReturnReason Reason,
                      const FlowKey &Flow, base::SocketAddress From,
                      const FrameHeader &Header, base::TimePoint Now);

  AgentOptions Options;
  AgentHooks Hooks;
  HeartbeatFilter Heartbeats;
  TargetState State = TargetState::Unknown;
  bool AgentLeaving = false;
  // The agent has observed the whole run of the target, so a flow without a
  // record is not held unless its record was dropped, see hasAllRecords().
  bool KnowsAllFlows = false;
  // Start of this process or replacement of the target.
  std::optional<base::TimePoint> ObservedSince;
  uint32_t Slots = 1;
  base::TimePoint LastHeartbeat{};
  base::TimePoint WarmupEnd{};
  base::TimePoint NextProbe{};

  AgingMap<FlowRecord> Flows;
  AgingMap<Trial> Trials;
  FlowTimeQueue TrialStartTimes;
  AgingMap<bool> NotHeld;
  AgingMap<bool> ResetByClient;
  RecordRetention Retention;
  uint64_t EarlyDrops = 0;
  uint64_t UnprovenReturns = 0;
  base::TimePoint LastTick{};
  base::TimePoint NextNotHeldAging{};
  FlowTimeQueue Openings;    // delivered opening packets
  FlowTimeQueue Requests;    // received requests
  uint32_t OpeningFlows = 0; // flows whose first request is in transit
  HeldOpenings Held;
  uint32_t WaitingRequests = 0; // requests without an answer
  uint32_t OpenFlows = 0;
  double MeanServiceUs = 0; // from request to answer, for statuses
  ServiceTimeEstimate ServiceTime;
  OutlierEjection Ejection;
  // Mean time from an opening packet to the first request.
  base::Duration MeanHandshake = InitialHandshake;

  std::vector<Balancer> Balancers; // receivers of statuses
  // Balancers whose subscription has ended while the target was stopped.
  std::vector<Balancer> LeftWhileStopped;
  // All balancers that a packet came from, by the index in a tag; only grows.
  std::vector<base::SocketAddress> Senders;
  base::Revision NewestRoutes = 0;
  base::SocketAddress NewestRoutesAt;
  base::TimePoint NewestRoutesSince{};
  DomainEvacuation Evacuation; // of the target's failure domain
  WarmupLimit Warmup;
  base::Revision WarmupRoutes = 0; // revision of the routes that define it

  uint64_t StatusSequence = 0;
  base::TimePoint NextStatus{};
  base::TimePoint NextLocalStatus{};
  // Load and open flows in the last status.
  uint32_t LastSentLoad = 0;
  uint32_t LastSentFlows = 0;
};

} // namespace burdockstream::flows

#endif
