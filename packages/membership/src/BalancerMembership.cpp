#include "burdockstream/membership/BalancerMembership.h"

#include <algorithm>
#include <glog/logging.h>
#include <type_traits>

namespace burdockstream::membership {

namespace {

using messages::MemberInfo;
using messages::MemberState;
using messages::Role;

// The first version is the wall clock in milliseconds times this factor, so
// that it is higher than every version of a previous daemon at the same
// address; the factor leaves room for increments.
constexpr uint64_t VersionsPerMillisecond = 1000;

// Interval at which a suspected member is notified directly until it refutes
// the suspicion.
constexpr base::Duration SuspicionNotificationInterval = milliseconds(250);

// If an agent's entry changes through gossip and the agent has not announced
// itself here for this long, it announces itself to other balancers.
constexpr base::Duration RehomedAgentSilence = 2 * AnnounceInterval;

} // namespace

BalancerMembership::BalancerMembership(
    MemberInfo InitSelf, std::vector<BalancerLocation> InitBalancers,
    base::RandomSource &Source)
    : Self(std::move(InitSelf)), ConfiguredBalancers(std::move(InitBalancers)),
      Random(&Source), Probes(Source) {
  CHECK_NE(Self.Id.Value, 0U);
  Self.Kind = Role::Balancer;
  Self.State = MemberState::Starting;
  std::erase_if(ConfiguredBalancers, [&](const BalancerLocation &E) {
    return E.Address == Self.Data;
  });
}

void BalancerMembership::start(base::Now Now, ActionSink &Sink) {
  CHECK(!Started);
  Started = true;
  const base::TimePoint T = Now.Monotonic;
  LastCall = JoinBegan = LastReadyPeer = LastRumors = T;
  Self.Version =
      static_cast<uint64_t>(Now.Wall.Milliseconds) * VersionsPerMillisecond;
  Table.merge(Self, T);
  // Random phases keep balancers that start together from sending at the same
  // time.
  NextProbe =
      T + base::Duration(base::randomBelow(*Random, ProbeInterval.count()));
  NextDigest = T + base::Duration(
                       base::randomBelow(*Random, JoinDigestInterval.count()));
  NextHomeScan = T + DigestInterval;
  updateLiveBalancers();
  Sink.push_back(MemberChanged{Self});
}

void BalancerMembership::handle(const messages::Message &Body,
                                base::SocketAddress From, base::Now Now,
                                ActionSink &Sink) {
  detectPause(Now, Sink);
  std::visit(
      [&](const auto &M) {
        using T = std::decay_t<decltype(M)>;
        if constexpr (std::is_same_v<T, messages::Probe> ||
                      std::is_same_v<T, messages::Announce> ||
                      std::is_same_v<T, messages::DigestDiff>)
          on(M, From, Now, Sink);
        else if constexpr (std::is_same_v<T, messages::Digest>)
          on(M, From, Sink);
        else if constexpr (std::is_same_v<T, messages::ProbeAck> ||
                           std::is_same_v<T, messages::Rumor>)
          on(M, Now, Sink);
        else if constexpr (std::is_same_v<T, messages::IndirectProbe>)
          Probes.handle(M, From, Self, Now.Monotonic, Sink);
      },
      Body);
}

void BalancerMembership::tick(base::Now Now, ActionSink &Sink) {
  detectPause(Now, Sink);
  const base::TimePoint T = Now.Monotonic;
  for (const MemberInfo &Failed : Probes.tick(Table, Self, T, Sink))
    suspect(Failed, T, Sink);
  if (T >= NextProbe) {
    NextProbe = T + ProbeInterval;
    Probes.probeNext(Table, Self, T, Sink);
  }
  tickSuspicions(T, Sink);
  tickAgents(T, Sink);
  if (T >= NextAgentUpdate)
    sendServiceUpdates(Now, Sink);
  if (T >= NextRumors)
    sendRumors(T, Sink);
  if (T >= NextDigest)
    tickDigest(Now, Sink);
  if (T >= NextHomeScan)
    trackHomeAgents(T);
  if (T >= Table.nextExpiry())
    for (const MemberInfo &Member : Table.expire(T))
      Sink.push_back(MemberRemoved{Member});
}

base::TimePoint BalancerMembership::nextDeadline() const {
  base::TimePoint Next = std::min(
      {NextProbe, NextDigest, NextRumors, NextAgentUpdate, NextHomeScan,
       Probes.nextDeadline(), Tracker.nextDeadline(), Table.nextExpiry()});
  for (const auto &[Id, S] : Suspicions)
    Next = std::min({Next, S.Deadline, S.NextNotification});
  return Next;
}

void BalancerMembership::setState(MemberState State, base::Now Now,
                                  ActionSink &Sink) {
  detectPause(Now, Sink);
  if (State == Self.State)
    return;
  Self.State = State;
  publishSelf(Self.Version + 1, Now.Monotonic, Sink);
}

void BalancerMembership::applyRecord(const messages::RecordEntry &Record,
                                     base::Now Now, ActionSink &Sink) {
  detectPause(Now, Sink);
  mergeRecord(Record, true, Now.Monotonic, Sink);
}

void BalancerMembership::detectPause(base::Now Now, ActionSink &Sink) {
  CHECK(Started);
  const base::TimePoint T = Now.Monotonic;
  const base::Duration Gap = T - LastCall;
  LastCall = T;
  if (Gap <= PauseThreshold)
    return;
  ++Counters.Pauses;
  Probes.clear();
  Tracker.extendDeadlines(T);
  for (auto &[Id, S] : Suspicions)
    S.Deadline = std::max(S.Deadline, T + SuspicionTimeout);
  if (Gap > StaleTableThreshold)
    resetTable(T, Sink);
  NextDigest = T;
}

void BalancerMembership::resetTable(base::TimePoint Now, ActionSink &Sink) {
  std::vector<MemberInfo> Others;
  Table.forEach([&](const MemberInfo &Member) {
    if (Member.Id != Self.Id)
      Others.push_back(Member);
  });
  for (const MemberInfo &Member : Others) {
    Table.erase(Member.Id);
    Sink.push_back(MemberRemoved{Member});
  }
  Suspicions.clear();
  Tracker = AgentTracker();
  Joining = true;
  JoinBegan = LastReadyPeer = Now;
}

MergeResult BalancerMembership::mergeMember(const MemberInfo &Info, bool Spread,
                                            base::TimePoint Now,
                                            ActionSink &Sink) {
  if (Info.Id == Self.Id) {
    if (supersedes(Info, Self)) {
      ++Counters.Refutations;
      publishSelf(Info.Version + 1, Now, Sink);
    }
    return {};
  }
  // This daemon uses the address, so the entry is outdated. A higher version of
  // this daemon's own entry supersedes it.
  if (Info.Data == Self.Data && !isStoppedOrDead(Info.State) &&
      Info.Version >= Self.Version)
    publishSelf(Info.Version + 1, Now, Sink);
  const MergeResult Result = Table.merge(Info, Now);
  if (Result.Changed)
    handleMemberChange(Info.Id, Spread, Now, Sink);
  if (Result.Replaced)
    handleMemberChange(*Result.Replaced, Spread, Now, Sink);
  return Result;
}

void BalancerMembership::handleMemberChange(base::DaemonId Id, bool Spread,
                                            base::TimePoint Now,
                                            ActionSink &Sink) {
  const MemberInfo Member = *Table.find(Id);
  Sink.push_back(MemberChanged{Member});
  if (Spread) {
    Rumors.add(Id);
    scheduleRumors(Now);
  }
  if (Member.State == MemberState::Suspect)
    Suspicions[Id] = {Member.Version, Now + SuspicionTimeout, base::Never};
  else
    Suspicions.erase(Id);
  if (Member.Kind != Role::Agent)
    return;
  if (isStoppedOrDead(Member.State))
    Tracker.stopTracking(Id);
  else
    Tracker.stopTrackingIfSilent(Id, Now, RehomedAgentSilence);
  ServicesToUpdate.try_emplace(Member.Service, false);
  NextAgentUpdate = std::min(NextAgentUpdate, Now + RumorInterval);
}

bool BalancerMembership::mergeRecord(const messages::RecordEntry &Record,
                                     bool Spread, base::TimePoint Now,
                                     ActionSink &Sink) {
  if (!Records.merge(Record))
    return false;
  const base::ServiceId Service = base::serviceIdOf(Record.Service);
  Sink.push_back(RecordUpdated{Record});
  if (Spread) {
    Rumors.add(Service);
    scheduleRumors(Now);
  }
  ServicesToUpdate[Service] = true;
  NextAgentUpdate = std::min(NextAgentUpdate, Now + RumorInterval);
  return true;
}

void BalancerMembership::publishSelf(uint64_t Version, base::TimePoint Now,
                                     ActionSink &Sink) {
  Self.Version = Version;
  Table.merge(Self, Now);
  Sink.push_back(MemberChanged{Self});
  Rumors.add(Self.Id);
  scheduleRumors(Now);
}

void BalancerMembership::suspect(const MemberInfo &Target, base::TimePoint Now,
                                 ActionSink &Sink) {
  MemberInfo Suspected = Target;
  Suspected.State = MemberState::Suspect;
  if (!mergeMember(Suspected, true, Now, Sink).Changed)
    return;
  ++Counters.Suspicions;
  Suspicions[Target.Id].NextNotification = Now;
}

void BalancerMembership::declareDead(MemberInfo Target, base::TimePoint Now,
                                     ActionSink &Sink) {
  Target.State = MemberState::Dead;
  mergeMember(Target, true, Now, Sink);
}

void BalancerMembership::tickSuspicions(base::TimePoint Now, ActionSink &Sink) {
  std::vector<MemberInfo> Expired;
  for (auto &[Id, S] : Suspicions) {
    const MemberInfo *Member = Table.find(Id);
    if (Now >= S.Deadline) {
      Expired.push_back(*Member);
    } else if (Now >= S.NextNotification) {
      S.NextNotification = Now + SuspicionNotificationInterval;
      send(Sink, Member->Data, messages::Rumor{{*Member}, {}});
    }
  }
  for (const MemberInfo &Member : Expired)
    declareDead(Member, Now, Sink);
}

std::vector<MemberInfo>
BalancerMembership::supersedingEntries(const MemberInfo &Outdated) const {
  std::vector<MemberInfo> Result;
  if (const MemberInfo *Known = Table.find(Outdated.Id))
    Result.push_back(*Known);
  const MemberInfo *Occupant = Table.findByAddress(Outdated.Data);
  if (Occupant && Occupant->Id != Outdated.Id)
    Result.push_back(*Occupant);
  return Result;
}

void BalancerMembership::sendCorrection(const MemberInfo &Outdated,
                                        base::SocketAddress To,
                                        ActionSink &Sink) const {
  send(Sink, To, messages::Rumor{supersedingEntries(Outdated), {}});
}

void BalancerMembership::scheduleRumors(base::TimePoint Now) {
  if (NextRumors == base::Never)
    NextRumors = std::max(Now + RumorBatchDelay, LastRumors + RumorInterval);
}

void BalancerMembership::sendRumors(base::TimePoint Now, ActionSink &Sink) {
  const std::vector<base::SocketAddress> Peers = randomPeers(RumorFanout);
  LastRumors = Now;
  if (Peers.empty()) {
    // Balancers that join later obtain the complete tables.
    Rumors = RumorQueue();
  } else {
    const size_t MaxTransmissions =
        rumorTransmissions(Table.balancers().size());
    for (const messages::Rumor &Round :
         Rumors.nextRound(Table, Records, Peers.size(), MaxTransmissions))
      for (base::SocketAddress Peer : Peers)
        send(Sink, Peer, Round);
  }
  NextRumors = Rumors.empty() ? base::Never : Now + RumorInterval;
}

std::vector<base::SocketAddress> BalancerMembership::randomPeers(size_t Count) {
  std::vector<base::DaemonId> Ids = Table.balancers();
  std::erase(Ids, Self.Id);
  std::vector<base::SocketAddress> Result;
  while (!Ids.empty() && Result.size() < Count) {
    std::swap(Ids[base::randomBelow(*Random, Ids.size())], Ids.back());
    Result.push_back(Table.find(Ids.back())->Data);
    Ids.pop_back();
  }
  return Result;
}

void BalancerMembership::recordReadyPeer(const MemberInfo &Peer,
                                         base::TimePoint Now) {
  if (Peer.State == MemberState::Ready)
    LastReadyPeer = Now;
}

void BalancerMembership::on(const messages::Probe &Body,
                            base::SocketAddress From, base::Now Now,
                            ActionSink &Sink) {
  recordReadyPeer(Body.Self, Now.Monotonic);
  if (mergeMember(Body.Self, true, Now.Monotonic, Sink).Outdated)
    sendCorrection(Body.Self, From, Sink);
  // A stopped balancer does not answer, because it is about to exit.
  if (Self.State != MemberState::Stopped)
    send(Sink, From, messages::ProbeAck{Body.Sequence, Self});
}

void BalancerMembership::on(const messages::ProbeAck &Body, base::Now Now,
                            ActionSink &Sink) {
  recordReadyPeer(Body.Self, Now.Monotonic);
  Probes.handle(Body, Sink);
  if (mergeMember(Body.Self, true, Now.Monotonic, Sink).Outdated)
    sendCorrection(Body.Self, Body.Self.Data, Sink);
}

void BalancerMembership::on(const messages::Rumor &Body, base::Now Now,
                            ActionSink &Sink) {
  for (const MemberInfo &Member : Body.Members)
    mergeMember(Member, true, Now.Monotonic, Sink);
  for (const messages::RecordEntry &Record : Body.Records)
    mergeRecord(Record, true, Now.Monotonic, Sink);
}

} // namespace burdockstream::membership
