#include "burdockstream/membership/AgentMembership.h"

#include "burdockstream/membership/HomeSelection.h"

#include <algorithm>
#include <glog/logging.h>

namespace burdockstream::membership {

namespace {

using messages::MemberInfo;
using messages::MemberState;

// The first version is the wall clock in milliseconds times this factor, so
// that it is higher than every version of a previous daemon at the same
// address; the factor leaves room for increments. Balancers use the same
// factor.
constexpr uint64_t VersionsPerMillisecond = 1000;

// Repeats a state announcement every UrgentAnnounceRepeat for at most 3 s.
constexpr int UrgentAnnouncements = 30;

// Home balancers report all members of the service at least every 16 s. Members
// that they have not reported for this long were removed there.
constexpr base::Duration UnreportedMemberTimeout = seconds(60);
constexpr base::Duration CleanupInterval = seconds(10);

} // namespace

AgentMembership::AgentMembership(MemberInfo InitSelf,
                                 std::vector<BalancerLocation> InitBalancers,
                                 base::RandomSource &Source)
    : Self(std::move(InitSelf)), ConfiguredBalancers(std::move(InitBalancers)),
      Random(&Source), ExcludedUntil(ConfiguredBalancers.size()) {
  CHECK_NE(Self.Id.Value, 0U);
  Self.Kind = messages::Role::Agent;
  Self.State = MemberState::Starting;
}

void AgentMembership::start(base::Now Now, ActionSink &Sink) {
  CHECK(!Started);
  Started = true;
  const base::TimePoint T = Now.Monotonic;
  LastCall = LastAnyAck = T;
  NextCleanup = T + CleanupInterval;
  updateHomes(T);
  publishSelf(static_cast<uint64_t>(Now.Wall.Milliseconds) *
                  VersionsPerMillisecond,
              Now, Sink);
  // Random phases spread the announcements of agents that start together.
  for (Home &H : Homes)
    H.NextRegular =
        T +
        base::Duration(base::randomBelow(*Random, AnnounceInterval.count()));
}

void AgentMembership::handle(const messages::Message &Body,
                             base::SocketAddress From, base::Now Now,
                             ActionSink &Sink) {
  detectPause(Now);
  if (const auto *Ack = std::get_if<messages::AnnounceAck>(&Body))
    on(*Ack, From, Now, Sink);
  else if (const auto *Gossip = std::get_if<messages::Rumor>(&Body))
    for (const MemberInfo &Member : Gossip->Members)
      mergeMember(Member, Now, Sink);
}

void AgentMembership::tick(base::Now Now, ActionSink &Sink) {
  detectPause(Now);
  const base::TimePoint T = Now.Monotonic;
  replaceUnresponsiveHomes(T);
  for (Home &H : Homes)
    if (T >= std::min(H.NextSend, H.NextRegular))
      announce(H, Now, Sink);
  if (T >= NextCleanup) {
    NextCleanup = T + CleanupInterval;
    updateHomes(T);
    removeUnreportedMembers(T, Sink);
  }
}

base::TimePoint AgentMembership::nextDeadline() const {
  base::TimePoint Next = NextCleanup;
  for (const Home &H : Homes)
    Next = std::min({Next, H.NextSend, H.NextRegular});
  return Next;
}

void AgentMembership::setState(MemberState State, base::Now Now,
                               ActionSink &Sink) {
  detectPause(Now);
  if (State == Self.State)
    return;
  Self.State = State;
  publishSelf(Self.Version + 1, Now, Sink);
}

void AgentMembership::setSlots(uint16_t Slots, base::Now Now,
                               ActionSink &Sink) {
  detectPause(Now);
  if (Slots == Self.Slots)
    return;
  Self.Slots = Slots;
  publishSelf(Self.Version + 1, Now, Sink);
}

bool AgentMembership::stateAcknowledged() const {
  return std::any_of(Homes.begin(), Homes.end(), [&](const Home &H) {
    return H.AcknowledgedVersion == Self.Version;
  });
}

std::vector<base::SocketAddress> AgentMembership::homes() const {
  std::vector<base::SocketAddress> Result;
  Result.reserve(Homes.size());
  for (const Home &H : Homes)
    Result.push_back(ConfiguredBalancers[H.BalancerIndex].Address);
  return Result;
}

void AgentMembership::detectPause(base::Now Now) {
  CHECK(Started);
  const base::Duration Gap = Now.Monotonic - LastCall;
  LastCall = Now.Monotonic;
  if (Gap <= PauseThreshold)
    return;
  // Acknowledgments are missing because this process was paused.
  for (Home &H : Homes) {
    H.LastAck = Now.Monotonic;
    H.NextSend = Now.Monotonic;
  }
}

void AgentMembership::on(const messages::AnnounceAck &Ack,
                         base::SocketAddress From, base::Now Now,
                         ActionSink &Sink) {
  ++Counters.AcksReceived;
  LastAnyAck = Now.Monotonic;
  for (Home &H : Homes) {
    if (ConfiguredBalancers[H.BalancerIndex].Address != From)
      continue;
    H.LastAck = Now.Monotonic;
    if (H.Acknowledged ||
        Ack.EchoedWallMilliseconds != H.LastSentWallMilliseconds)
      continue;
    H.Acknowledged = true;
    H.AcknowledgedVersion = H.LastSentVersion;
    H.UrgentRemaining = 0;
    H.NextSend = base::Never;
    Offset.add(H.LastSentWallMilliseconds, Ack.WallMilliseconds,
               Now.Wall.Milliseconds);
    reportClockOffset(Sink);
  }
  for (const MemberInfo &Member : Ack.ServiceMembers)
    mergeMember(Member, Now, Sink);
  for (const MemberInfo &Member : Ack.Balancers) {
    mergeMember(Member, Now, Sink);
    for (size_t I = 0; I < ConfiguredBalancers.size(); ++I)
      if (ConfiguredBalancers[I].Address == Member.Data &&
          !isStoppedOrDead(Member.State))
        ExcludedUntil[I] =
            std::min(ExcludedUntil[I], Now.Monotonic + HomeTimeout);
  }
  if (!Ack.Balancers.empty())
    updateHomes(Now.Monotonic);
  for (const messages::RecordEntry &New : Ack.Records) {
    if (base::serviceIdOf(New.Service) != Self.Service ||
        (Record && Record->StoreRevision >= New.StoreRevision))
      continue;
    Record = New;
    Sink.push_back(RecordUpdated{New});
  }
}

void AgentMembership::mergeMember(const MemberInfo &Info, base::Now Now,
                                  ActionSink &Sink) {
  if (Info.Id == Self.Id) {
    if (supersedes(Info, Self)) {
      ++Counters.Refutations;
      publishSelf(Info.Version + 1, Now, Sink);
    }
    return;
  }
  if (Info.Kind == messages::Role::Agent && Info.Service != Self.Service)
    return;
  if (Info.Data == Self.Data && !isStoppedOrDead(Info.State) &&
      Info.Version >= Self.Version)
    publishSelf(Info.Version + 1, Now, Sink);
  if (isStoppedOrDead(Info.State) && !Table.find(Info.Id))
    return;
  LastReported[Info.Id] = Now.Monotonic;
  const MergeResult Result = Table.merge(Info, Now.Monotonic);
  if (Result.Changed)
    Sink.push_back(MemberChanged{*Table.find(Info.Id)});
  if (Result.Replaced)
    Sink.push_back(MemberChanged{*Table.find(*Result.Replaced)});
}

void AgentMembership::publishSelf(uint64_t Version, base::Now Now,
                                  ActionSink &Sink) {
  Self.Version = Version;
  Table.merge(Self, Now.Monotonic);
  LastReported[Self.Id] = Now.Monotonic;
  Sink.push_back(MemberChanged{Self});
  for (Home &H : Homes) {
    H.UrgentRemaining = UrgentAnnouncements;
    announce(H, Now, Sink);
  }
}

void AgentMembership::announce(Home &To, base::Now Now, ActionSink &Sink) {
  ++Counters.AnnouncementsSent;
  const base::TimePoint T = Now.Monotonic;
  messages::Announce Body;
  Body.Self = Self;
  Body.KnownRecordRevision = Record ? Record->StoreRevision : 0;
  Body.WallMilliseconds = Now.Wall.Milliseconds;
  To.LastSentWallMilliseconds = Body.WallMilliseconds;
  To.LastSentVersion = Self.Version;
  To.Acknowledged = false;
  if (T >= To.NextRegular)
    To.NextRegular = T + AnnounceInterval;
  To.NextSend =
      T + (To.UrgentRemaining > 0 ? UrgentAnnounceRepeat : AnnounceRepeat);
  To.UrgentRemaining = std::max(0, To.UrgentRemaining - 1);
  send(Sink, ConfiguredBalancers[To.BalancerIndex].Address, std::move(Body));
}

// Selects the homes again. Balancers that remain homes keep their state.
void AgentMembership::updateHomes(base::TimePoint Now) {
  std::vector<size_t> Chosen =
      chooseHomes(Self.Id, ConfiguredBalancers,
                  [&](size_t I) { return ExcludedUntil[I] <= Now; });
  if (Chosen.empty()) {
    // All balancers are excluded: clear the exclusions and try again.
    std::fill(ExcludedUntil.begin(), ExcludedUntil.end(), Now);
    Chosen =
        chooseHomes(Self.Id, ConfiguredBalancers, [](size_t) { return true; });
  }
  std::vector<Home> Next;
  for (size_t Index : Chosen) {
    const auto Same = [&](const Home &H) { return H.BalancerIndex == Index; };
    const auto It = std::find_if(Homes.begin(), Homes.end(), Same);
    if (It != Homes.end()) {
      Next.push_back(*It);
      continue;
    }
    ++Counters.HomeChanges;
    Home NewHome;
    NewHome.BalancerIndex = Index;
    NewHome.NextRegular = NewHome.NextSend = NewHome.LastAck = Now;
    Next.push_back(NewHome);
  }
  Homes = std::move(Next);
}

void AgentMembership::replaceUnresponsiveHomes(base::TimePoint Now) {
  bool Silent = false;
  for (const Home &H : Homes)
    if (Now - H.LastAck >= HomeTimeout) {
      ExcludedUntil[H.BalancerIndex] = Now + HomeExclusionTime;
      Silent = true;
    }
  if (!Silent)
    return;
  std::erase_if(Homes,
                [&](const Home &H) { return Now - H.LastAck >= HomeTimeout; });
  updateHomes(Now);
}

void AgentMembership::removeUnreportedMembers(base::TimePoint Now,
                                              ActionSink &Sink) {
  // If no acknowledgments arrive, missing reports are no evidence that members
  // were removed.
  if (Now - LastAnyAck > CleanupInterval)
    return;
  std::vector<base::DaemonId> Old;
  for (const auto &[Id, Last] : LastReported)
    if (Id != Self.Id && Now - Last > UnreportedMemberTimeout)
      Old.push_back(Id);
  for (base::DaemonId Id : Old) {
    LastReported.erase(Id);
    if (const MemberInfo *Member = Table.find(Id)) {
      Sink.push_back(MemberRemoved{*Member});
      Table.erase(Id);
    }
  }
}

void AgentMembership::reportClockOffset(ActionSink &Sink) {
  if (Offset.exceeded() == OffsetExceeded)
    return;
  OffsetExceeded = Offset.exceeded();
  Sink.push_back(
      ClockOffsetChanged{Offset.medianMilliseconds(), OffsetExceeded});
}

} // namespace burdockstream::membership
