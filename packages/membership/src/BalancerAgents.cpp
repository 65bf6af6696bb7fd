// The part of BalancerMembership that handles agents: announcements and their
// acknowledgments, failure detection, and the tracking of agents that this
// balancer is a home of.
#include "WireSize.h"
#include "burdockstream/membership/BalancerMembership.h"
#include "burdockstream/membership/HomeSelection.h"

#include <algorithm>

namespace burdockstream::membership {

namespace {

using messages::MemberInfo;
using messages::MemberState;

constexpr size_t MaxBalancersInAck = 8;
// A complete acknowledgment lists all members of the service and some
// balancers. It is sent CompleteAckRepeats times after a change of the service,
// to tolerate the loss of one, and otherwise for every 16th announcement. With
// every eighth one, a balancer with 15 agents sent 2.3 kB/s, above the limit of
// 2 kB/s.
constexpr uint32_t CompleteAckRepeats = 3;
constexpr uint32_t CompleteAckPeriod = 16;
// A change of the balancers makes the next acknowledgment complete, unless one
// was sent within this many announcements.
constexpr uint32_t MinCompleteAckPeriod = 4;

constexpr base::Duration HomeScanInterval = seconds(5);
// Agents learn of a new home from the next complete acknowledgment, usually
// within 4 s. An agent that has not announced itself to its new home within
// this period is presumed to have failed.
constexpr base::Duration NewHomeGracePeriod = seconds(10);

bool needsCompleteAck(AgentTracker::Agent &Agent, uint64_t ServiceGeneration,
                      uint64_t BalancerGeneration) {
  if (Agent.ServiceGeneration != ServiceGeneration) {
    Agent.ServiceGeneration = ServiceGeneration;
    Agent.CompleteAcksLeft = CompleteAckRepeats;
  }
  const uint32_t Since = ++Agent.AcksSinceComplete;
  const bool BalancersChanged = Agent.BalancerGeneration != BalancerGeneration;
  if (Agent.CompleteAcksLeft == 0 && Since < CompleteAckPeriod &&
      !(BalancersChanged && Since >= MinCompleteAckPeriod))
    return false;
  Agent.BalancerGeneration = BalancerGeneration;
  Agent.AcksSinceComplete = 0;
  Agent.CompleteAcksLeft -= Agent.CompleteAcksLeft > 0 ? 1 : 0;
  return true;
}

} // namespace

void BalancerMembership::on(const messages::Announce &Body,
                            base::SocketAddress From, base::Now Now,
                            ActionSink &Sink) {
  const MergeResult Merged = mergeMember(Body.Self, true, Now.Monotonic, Sink);
  messages::AnnounceAck Head;
  Head.EchoedWallMilliseconds = Body.WallMilliseconds;
  Head.WallMilliseconds = Now.Wall.Milliseconds;
  if (Merged.Outdated)
    Head.ServiceMembers = supersedingEntries(Body.Self);
  const messages::RecordEntry *Record = Records.find(Body.Self.Service);
  if (Record && Record->StoreRevision > Body.KnownRecordRevision)
    Head.Records.push_back(*Record);
  const MemberInfo *Known = Table.find(Body.Self.Id);
  bool Complete = false;
  if (Known && !isStoppedOrDead(Known->State)) {
    if (Known->Version == Body.Self.Version)
      Table.updateLoad(Known->Id, Body.Self.LoadPercent);
    AgentTracker::Agent &Agent =
        Tracker.recordAnnouncement(Known->Id, Now.Monotonic);
    Complete = needsCompleteAck(Agent, Table.generation(Body.Self.Service),
                                Table.balancerGeneration());
  }
  MemberInfo To = Body.Self;
  To.Data = From;
  sendAck(To, std::move(Head), Complete, Sink);
}

// Sends Head, followed in the same and as many further datagrams as necessary
// by the members of the service and the balancers if Complete is set. The
// receiver merges each datagram independently.
void BalancerMembership::sendAck(const MemberInfo &Agent,
                                 messages::AnnounceAck Head, bool Complete,
                                 ActionSink &Sink) const {
  messages::AnnounceAck Next = Head;
  size_t Used = packedSize(Next);
  const auto Flush = [&] {
    send(Sink, Agent.Data, std::move(Next));
    Next = messages::AnnounceAck{
        Head.EchoedWallMilliseconds, Head.WallMilliseconds, {}, {}, {}};
    Used = packedSize(Next);
  };
  if (Complete) {
    messages::AnnounceAck Balancers;
    addBalancers(Agent.Id, Balancers);
    const size_t Size = packedSize(Balancers);
    if (Used + Size > MaxContentBytes)
      Flush();
    Next.Balancers = std::move(Balancers.Balancers);
    Used += Size;
    for (const MemberInfo &Member : Table.ofService(Agent.Service)) {
      const size_t MemberSize = packedSize(Member);
      if (Used + MemberSize > MaxContentBytes)
        Flush();
      Next.ServiceMembers.push_back(Member);
      Used += MemberSize;
    }
  }
  send(Sink, Agent.Data, std::move(Next));
}

void BalancerMembership::addBalancers(base::DaemonId Agent,
                                      messages::AnnounceAck &Ack) const {
  std::vector<MemberInfo> &List = Ack.Balancers;
  const auto Add = [&](const MemberInfo *Member) {
    const auto Same = [&](const MemberInfo &M) { return M.Id == Member->Id; };
    if (Member && std::none_of(List.begin(), List.end(), Same))
      List.push_back(*Member);
  };
  for (size_t Home :
       chooseHomes(Agent, LiveBalancers, [](size_t) { return true; }))
    Add(Table.findByAddress(LiveBalancers[Home].Address));
  // The remaining balancers are chosen at random for each acknowledgment, so
  // that replies of agents are spread over all balancers.
  const std::vector<base::DaemonId> &All = Table.balancers();
  if (All.empty()) // this balancer is leaving and knows no other one
    return;
  const size_t Start = base::randomBelow(*Random, All.size());
  for (size_t I = 0; I < All.size() && List.size() < MaxBalancersInAck; ++I) {
    const MemberInfo *Member = Table.find(All[(Start + I) % All.size()]);
    if (Member->State == MemberState::Ready)
      Add(Member);
  }
}

void BalancerMembership::tickAgents(base::TimePoint Now, ActionSink &Sink) {
  for (base::DaemonId Id : Tracker.takeOverdue(Now, SuspicionTimeout)) {
    const MemberInfo *Found = Table.find(Id);
    if (!Found || isStoppedOrDead(Found->State)) {
      Tracker.stopTracking(Id);
      continue;
    }
    const MemberInfo Member = *Found;
    // Only a ready agent becomes suspect, because a suspect agent has a weight,
    // which a draining or starting one must not get. Those are declared dead
    // SuspicionTimeout later.
    if (Member.State == MemberState::Ready)
      suspect(Member, Now, Sink);
    else if (Member.State != MemberState::Suspect &&
             Tracker.timeSinceAnnouncement(Id, Now) >=
                 AgentSilenceTimeout + SuspicionTimeout)
      declareDead(Member, Now, Sink);
  }
}

void BalancerMembership::sendServiceUpdates(base::Now Now, ActionSink &Sink) {
  NextAgentUpdate = base::Never;
  const std::unordered_map<base::ServiceId, bool> Changed =
      std::move(ServicesToUpdate);
  ServicesToUpdate.clear();
  for (const auto &[Service, WithRecord] : Changed)
    for (const MemberInfo &Member : Table.ofService(Service)) {
      if (!Tracker.contains(Member.Id))
        continue;
      messages::AnnounceAck Head;
      Head.WallMilliseconds = Now.Wall.Milliseconds;
      const messages::RecordEntry *Record = Records.find(Service);
      if (WithRecord && Record)
        Head.Records.push_back(*Record);
      sendAck(Member, std::move(Head), true, Sink);
    }
}

void BalancerMembership::trackHomeAgents(base::TimePoint Now) {
  NextHomeScan = Now + HomeScanInterval;
  updateLiveBalancers();
  const BalancerLocation Own{Self.Data, Self.FailureDomain};
  Table.forEach([&](const MemberInfo &Member) {
    if (Member.Kind == messages::Role::Agent &&
        !isStoppedOrDead(Member.State) && !Tracker.contains(Member.Id) &&
        isHome(Member.Id, Own, LiveBalancers))
      Tracker.startTracking(Member.Id, Now, NewHomeGracePeriod);
  });
}

void BalancerMembership::updateLiveBalancers() {
  if (LiveBalancersGeneration == Table.balancerGeneration())
    return;
  LiveBalancersGeneration = Table.balancerGeneration();
  LiveBalancers.clear();
  for (base::DaemonId Id : Table.balancers()) {
    const MemberInfo &Member = *Table.find(Id);
    if (Member.State != MemberState::Draining)
      LiveBalancers.push_back({Member.Data, Member.FailureDomain});
  }
}

} // namespace burdockstream::membership
