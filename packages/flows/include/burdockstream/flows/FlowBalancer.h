// The decision logic of a balancer of flow services: it chooses the agent that
// a packet is forwarded to, and decides when a flow is reset. It uses no
// sockets, clocks or threads.
//
// Flows that this balancer placed are in its flow table. For any other flow,
// which the fabric has moved here, it searches for the target that holds the
// flow: it asks the agents of the route's services, those of its own failure
// domain first, then all other agents, because an earlier configuration may
// have sent the flow to any service and no process has to remember it. The
// packets of the flow are forwarded to the agent whose target holds it. A flow
// is reset only if every agent that can answer has answered that its target
// does not hold it.
#ifndef BURDOCKSTREAM_FLOWS_FLOWBALANCER_H
#define BURDOCKSTREAM_FLOWS_FLOWBALANCER_H

#include "burdockstream/base/Random.h"
#include "burdockstream/flows/AgingMap.h"
#include "burdockstream/flows/BalancerHooks.h"
#include "burdockstream/flows/Evacuations.h"
#include "burdockstream/flows/FlowDecision.h"
#include "burdockstream/flows/FlowEntry.h"
#include "burdockstream/flows/OfferPolicy.h"
#include "burdockstream/flows/Packet.h"
#include "burdockstream/flows/ParkedPackets.h"
#include "burdockstream/flows/Placement.h"
#include "burdockstream/flows/PreferredTargets.h"
#include "burdockstream/flows/RouteTable.h"
#include "burdockstream/flows/SearchBatch.h"
#include "burdockstream/flows/SearchLimits.h"
#include "burdockstream/flows/StatusSubscription.h"
#include "burdockstream/flows/TargetTable.h"
#include "burdockstream/flows/TokenBucket.h"

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace burdockstream::flows {

// Interval between hellos to an agent with a subscription.
inline constexpr base::Duration HelloInterval = std::chrono::milliseconds(800);

// Minimum interval between policies to an agent that does not confirm them.
inline constexpr base::Duration PolicyInterval = std::chrono::milliseconds(200);

// The list of agents counts as settled when it has not changed for this long,
// since it refills after an outage in which entries expired. Only with a
// settled list do the answers of all agents prove that a flow is not held.
inline constexpr base::Duration SettleTime = std::chrono::seconds(1);

// Changes of the list that come later than this after the first list do not
// unsettle it: all expired entries are back by then, and a new entry is that of
// an agent that has just started. Otherwise a fleet in which targets are
// replaced continuously would never be settled.
inline constexpr base::Duration ListRecoveryPeriod = std::chrono::seconds(6);

// Settle time of the first list, which is complete except for agents that
// register at that moment.
inline constexpr base::Duration InitialSettleTime =
    std::chrono::milliseconds(150);

// Time after a return of the store from an older copy in which agents that the
// copy lacks register again. They notice the return at their next renewal.
inline constexpr base::Duration RegistrationPeriod = std::chrono::seconds(3);

// If the loop was stalled for longer than this, the silence of agents is not
// counted.
inline constexpr base::Duration StallLimit = std::chrono::milliseconds(400);

// Minimum interval between requests for all that the store holds now, which
// cost a store call each: proportional to the number of agents, as a measure of
// the number of balancers that share the store's rate limit.
inline constexpr base::Duration CatchUpIntervalPerAgent =
    std::chrono::milliseconds(1);
inline constexpr base::Duration MinCatchUpInterval =
    std::chrono::milliseconds(100);
inline constexpr base::Duration MaxCatchUpInterval =
    std::chrono::milliseconds(500);

// An opening packet is refused for want of a route or a target only with a view
// that had all changes this long ago. A flow that is not open loses little by a
// wrong refusal, so that refusals under overload may share a store call.
inline constexpr base::Duration RefusalViewAge = std::chrono::seconds(1);

// A balancer keeps an idle flow for one to two idle timeouts, at most for this
// long each, so that its memory is bounded whatever the configuration says. A
// flow that it no longer knows is searched.
inline constexpr base::Duration MaxFlowRetention = std::chrono::minutes(10);

// Thread safety, for all methods: loop thread only. Precondition: Now does not
// decrease between calls.
class FlowBalancer {
public:
  FlowBalancer(BalancerIdentity InitSelf, BalancerHooks InitHooks,
               base::RandomSource InitRandom)
      : Self(std::move(InitSelf)), Hooks(std::move(InitHooks)),
        Random(InitRandom), SearchByteBucket(linkShareBucket(
                                SearchLinkShare, Self.LinkBytesPerSecond)),
        TrialByteBucket(
            linkShareBucket(TrialLinkShare, Self.LinkBytesPerSecond)) {}

  // Applies Table if it is newer than the routes in force, see isNewer(), and
  // returns whether it was applied. If it is not, but has a higher revision,
  // the routes in force take that revision: they replace Table in its era, too.
  // Precondition: Table is not null.
  bool setRoutes(const std::shared_ptr<const RouteTable> &Table,
                 base::TimePoint Now);

  // Apply the store's list of agents: the complete list, an added or changed
  // entry, or a removed one.
  void setAgentEntries(const std::vector<AgentEntry> &Entries,
                       base::TimePoint Now);
  void applyAgentEntry(const AgentEntry &Entry, base::TimePoint Now);
  void removeAgentEntry(base::SocketAddress Agent, base::TimePoint Now);

  // The store has returned from an older copy. Its list of agents may lack some
  // that are alive, and have some that have left. Call before the first list of
  // the new era.
  void onStoreRestored(base::TimePoint Now);

  // Apply the store's list of evacuated failure domains: the complete list as
  // of Revision, or the change of one domain.
  void setEvacuations(const std::set<std::string> &Domains,
                      base::Revision Revision, base::TimePoint Now);
  void applyEvacuation(const std::string &Domain,
                       const DomainEvacuation &Change, base::TimePoint Now);

  // Adds an agent that a peer knows and the store does not list. It is dropped
  // unless it answers.
  void addAgentFromPeer(const AgentEntry &Entry, base::TimePoint Now);

  // Sets whether all known peers have reported the agents that they get
  // statuses from, or are unreachable. Without that the list is not settled:
  // after an outage the store may lack agents that are alive and whose targets
  // hold flows.
  void setPeersQueried(bool Queried) { PeersQueried = Queried; }

  // Sets whether the store is reachable, so that routes and list are up to
  // date.
  void setStoreFresh(bool Fresh);

  // Part contains all that the store held at Since, as an answer of the store
  // has shown.
  void markCaughtUp(ViewPart Part, base::TimePoint Since);

  // Handles a client's packet from the fabric.
  void onClientPacket(const Packet &Packet, base::TimePoint Now);

  // Handles an agent's answer about a packet, which is decoded from the frame's
  // body. Answers of unknown agents are ignored.
  void onAgentAnswer(base::SocketAddress Agent, const FrameHeader &Header,
                     const Packet &Packet, base::TimePoint Now);

  // Handles an agent's status.
  void onStatus(base::SocketAddress Agent, const TargetStatus &Status,
                base::TimePoint Now);

  // Runs time-outs, searches and parked packets, and sends hellos. Call at
  // least every 100 ms.
  void tick(base::TimePoint Now);

  // Returns whether routes are known and some agent has sent a recent status.
  bool canServe(base::TimePoint Now) const;

  // Returns the time until a new opening of Service that can be on time gets a
  // slot, or nullopt if the view does not show it; see ServiceCapacity.h.
  std::optional<base::Duration> expectedWait(base::ServiceId Service,
                                             base::TimePoint Now) const;

  const RouteTable *routes() const { return Routes.get(); }
  // Revision of the routes in force, 0 if there are none.
  base::Revision routesRevision() const {
    return Routes ? Routes->Revision : 0;
  }
  // When the routes in force were applied.
  base::TimePoint routesSince() const { return RoutesSince; }
  const TargetTable &targets() const { return Targets; }
  const Evacuations &evacuations() const { return Evacuated; }
  size_t flows() const { return Flows.size(); }
  size_t parked() const { return Parked.size(); }
  size_t searches() const { return Searches.size(); }
  BalancerFlowView view(const FlowKey &Flow) const;
  // Packets dropped because neither a search nor a parking place was available.
  uint64_t droppedSearches() const { return DroppedSearchCount; }
  // Returns whether this balancer receives hardly any statuses, see
  // TargetTable::checkReception().
  bool isReceptionImpaired() const { return ReceptionImpaired; }
  const OfferCounters &offerCounters() const { return Counters; }

private:
  // A queued trial delivery to an undecided agent.
  struct PendingTrial {
    FlowKey Flow;
    TargetIndex Agent = NoTarget;
    size_t BufferIndex = 0; // index in Search::Buffered
  };
  // How recent a part of the view is.
  struct ViewAge {
    base::TimePoint CaughtUpAt{}; // it has all that was stored at that time
    base::TimePoint RequestedAt{};
    bool CatchingUp = false; // the last request has not been answered
    bool Wanted = false;     // a decision waits for the next request
  };
  // A running search for the target that holds a flow.
  struct Search {
    base::TimePoint Started;
    std::vector<TargetIndex> Queried;     // all, with or without an answer
    std::vector<TargetIndex> Outstanding; // those without a final answer
    // Asked, but not waited for: they count as lost, or their targets as
    // stopped.
    std::vector<TargetIndex> NotAwaited;
    // Subset of Outstanding that gets trial deliveries.
    std::vector<TargetIndex> Undecided;
    SearchStage Stage = SearchStage::Preferred;
    base::TimePoint AskedAt{};            // when the last stage was asked
    base::TimePoint LostAgentsAnswerBy{}; // see UnansweredQuestions
    uint32_t Acknowledged = 0;            // last of the client, for a reset
    // Whether an agent may have denied another number than Acknowledged, which
    // may be that of a former flow from the same port.
    bool DeniedOther = false;
    // Packets of the client, to be forwarded to the holder.
    // At least one, at most MaxBufferedPackets; one of them has Acknowledged.
    std::vector<OwnedPacket> Buffered;
    base::TimePoint NewestArrivedAt; // of the last buffered packet
    base::TimePoint NextRetry;
    base::Duration RetryInterval = InitialSearchRetryDelay;
  };

  // Dispatches a packet that is new or was parked.
  void handle(const Packet &Packet, base::TimePoint Now);
  void open(const Packet &Packet, base::TimePoint Now);
  void place(const Packet &Packet, const Route &Route, FlowEntry &Entry,
             base::TimePoint Now);
  // Fills Choices with the targets that a flow of Route can be offered to.
  void findCandidates(const FlowKey &Flow, const Route &Route,
                      const FlowEntry &Entry, base::TimePoint Now);
  void placeAt(TargetIndex Index, const Packet &Packet, const Route &Route,
               FlowEntry &Entry, base::TimePoint Now);
  void refuseOrPark(const Packet &Packet, const Route &Route, FlowEntry &Entry,
                    base::TimePoint Now);
  void placeAgain(const Packet &Packet, const Route &Route, FlowEntry &Entry,
                  base::TimePoint Now);
  std::optional<TargetIndex> chooseFor(const Route &Route);
  std::optional<TargetIndex> chooseAgain(const FlowKey &Flow,
                                         const Route &Route, FlowEntry &Entry,
                                         base::TimePoint Now);
  void offerCopy(const Packet &Packet, const Route &Route, FlowEntry &Entry,
                 base::TimePoint Now);
  void endOpening(const Packet &Packet, const FlowEntry &Entry,
                  base::TimePoint Now);
  void offer(const Packet &Packet, const FlowEntry &Entry, const Route &Route,
             base::TimePoint Now);
  void send(const Packet &Packet, TargetIndex Index, FrameHeader Header);
  void forward(const Packet &Packet, TargetIndex Index,
               FrameKind Kind = FrameKind::Forward);
  void search(const Packet &Packet, TargetIndex Excluded, base::TimePoint Now);
  void startSearch(const Packet &Packet, TargetIndex Excluded,
                   base::TimePoint Now);
  void buffer(Search &Running, const Packet &Packet);
  bool admitSearch(size_t AgentCount, base::TimePoint Now);
  std::vector<TargetIndex> possibleHolders(SearchStage Stage,
                                           const FlowKey &Flow) const;
  bool awaitsOnlyStopped(const Search &Running) const;
  std::vector<TargetIndex> notQueried(const Search &Running,
                                      const FlowKey &Flow) const;
  void ask(Search &Running, const std::vector<TargetIndex> &Holders,
           std::span<const uint8_t> Header, base::TimePoint Now);
  bool queryNextStage(Search &Running, const FlowKey &Flow,
                      base::TimePoint Now);
  bool isExhausted(Search &Running, const FlowKey &Flow, base::TimePoint Now);
  std::span<const uint8_t> headerOf(const Packet &Packet) const;
  void retrySearches(base::TimePoint Now);
  void retrySearch(Search &Running, const FlowKey &Flow, base::TimePoint Now);
  void sendSearches();
  void awaitAgain(Search &Running, base::TimePoint Now);
  void dropDepartedAgents(Search &Running, base::TimePoint Now);
  void retryOutstanding(Search &Running, const FlowKey &Flow,
                        base::TimePoint Now);
  void expireSearches(base::TimePoint Now);
  bool park(const Packet &Packet, ParkReason Reason);
  void replayParked(base::TimePoint Now);
  void replay(ParkReason Reason, base::TimePoint Now);
  void finishSearch(const FlowKey &Flow, Search &Done, base::TimePoint Now);
  void restartSearch(Search &Former, base::TimePoint Now);
  void addUnsubscribedTargets(base::ServiceId Service, const FlowEntry &Entry,
                              double Penalty);
  void askAgain(TargetIndex Agent, const Packet &Packet, base::TimePoint Now);
  void onReturned(TargetIndex Agent, ReturnReason Reason, const Packet &Packet,
                  base::TimePoint Now);
  void withdrawPlacement(TargetIndex Agent, const FlowEntry &Entry);
  void onUndecided(TargetIndex Agent, const FlowKey &Flow, base::TimePoint Now);
  static bool isUndecided(const Search &Running, TargetIndex Agent);
  static size_t firstTrialPacket(const std::vector<OwnedPacket> &Buffered);
  void addTrial(const Search &Running, const FlowKey &Flow, TargetIndex Agent,
                size_t BufferIndex);
  bool sendTrial(const PendingTrial &Trial, base::TimePoint Now);
  void sendTrials(base::TimePoint Now);
  void onHeld(TargetIndex Agent, const FlowKey &Flow, base::TimePoint Now);
  void onNotHeld(TargetIndex Agent, const Packet &Packet, base::TimePoint Now);
  void refuse(const Packet &Packet, DecisionKind Kind, size_t Candidates,
              base::TimePoint Now);
  void sendHellos(base::TimePoint Now);
  void onEvacuationReported(base::SocketAddress Agent,
                            const TargetStatus &Status, base::TimePoint Now);
  void onEvacuationChanged(const std::string &Domain,
                           base::SocketAddress Source, base::TimePoint Now);
  // Updates Target::Evacuated after a change of the target's failure domain.
  void markEvacuated(base::SocketAddress Agent);
  void sendPolicy(Target &To, base::TimePoint Now);
  bool isSettled(base::TimePoint Now) const;
  bool isCaughtUp(ViewPart Part, base::TimePoint Since, base::TimePoint Now);
  void requestCatchUp(ViewPart Part, base::TimePoint Now);
  void requestDueCatchUps(base::TimePoint Now);
  void recordListChange(base::TimePoint Now);
  void reportDecision(DecisionKind Kind, const FlowKey &Flow, TargetIndex Index,
                      size_t Candidates, base::TimePoint Now,
                      uint32_t Round = 0);

  BalancerIdentity Self;
  BalancerHooks Hooks;
  base::RandomSource Random;
  std::shared_ptr<const RouteTable> Routes;
  base::TimePoint RoutesSince{};
  TargetTable Targets;
  Evacuations Evacuated;
  std::vector<Candidate> Choices; // a member to reuse its memory
  AgingMap<FlowEntry> Flows;
  std::unordered_map<FlowKey, Search> Searches;
  TokenBucket SearchFrameBucket{SearchFramesPerSecond, SearchFrameBurst};
  TokenBucket SearchByteBucket;
  TokenBucket TrialBucket{TrialsPerSecond, TrialBurst};
  TokenBucket TrialByteBucket;
  // Ordered by stage, since most flows are found in an early one, then
  // randomly: the trials of one flow are spread out, and most are obsolete by
  // their turn because the flow has been found.
  std::multimap<std::pair<SearchStage, uint64_t>, PendingTrial> PendingTrials;
  uint64_t DroppedSearchCount = 0;
  OfferCounters Counters;
  ParkedPackets Parked;
  base::TimePoint ArrivedAt{}; // of the packet that is being handled
  bool Replaying = false;      // that packet was parked before
  SearchBatch Batch;
  bool Batching = false; // collect searches in Batch instead of sending them
  // Something has changed that parked packets may wait for.
  bool ReplayPending = false;
  bool WasSettled = false;
  bool StoreFresh = false;
  bool ListKnown = false;
  bool PeersQueried = true;
  base::TimePoint ListKnownSince{};
  base::TimePoint LastListChange{};
  base::TimePoint RegistrationEnd{}; // see RegistrationPeriod
  std::array<ViewAge, ViewParts> ViewAges;
  base::TimePoint LastTick{};
  bool ReceptionImpaired = false; // at LastTick
  base::TimePoint NextSubscriptionUpdate{};
  base::TimePoint NextAging{};
};

} // namespace burdockstream::flows

#endif
