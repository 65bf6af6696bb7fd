#include "burdockstream/nodes/AgentNode.h"

#include "EndpointStates.h"

#include "burdockstream/records/RecordParser.h"
#include "burdockstream/routing/EndpointWeights.h"

#include <algorithm>
#include <glog/logging.h>
#include <utility>

namespace burdockstream::nodes {

using messages::BucketRole;
using messages::MemberState;

namespace {

// A move costs a round trip between agents, about 10 ms between failure
// domains; see docs/MEASUREMENTS.md for the rule that only short work moves.
constexpr base::Duration MinimalMoveGain = std::chrono::milliseconds(12);
// An agent that is ready before it knows the owners would answer `unknown`
// where it must pass a request on. In a store outage it serves as provisional
// owner after this time.
constexpr base::Duration OwnersTimeout = std::chrono::seconds(5);
// All slots of the endpoint are in use.
constexpr uint16_t FullLoadPercent = 100;

// Divides a team's limits evenly among the endpoints that serve; each gets at
// least one, so that a service never stops.
requests::TeamShare teamShare(const records::ServiceConfig &Config,
                              size_t Endpoints) {
  const auto Divide = [Endpoints](const std::optional<uint32_t> &Limit) {
    std::optional<uint32_t> Share;
    if (Limit)
      Share = std::max<uint32_t>(
          1, *Limit / static_cast<uint32_t>(std::max<size_t>(Endpoints, 1)));
    return Share;
  };
  return {Divide(Config.TeamMaxSlots), Divide(Config.TeamMaxFlows)};
}

base::DaemonId desiredOwner(const routing::BucketTable &Table,
                            base::BucketIndex Bucket) {
  const routing::TableMember *Owner = Table.owner(Bucket);
  return Owner ? Owner->Id : base::DaemonId{};
}

} // namespace

messages::MemberInfo AgentNode::initialSelf() const {
  messages::MemberInfo Self = Settings.Self;
  Self.Kind = messages::Role::Agent;
  Self.Service = base::serviceIdOf(Settings.Service);
  return Self;
}

requests::Hooks AgentNode::requestHooks() {
  requests::Hooks Hooks;
  Hooks.ChoosePeer = [this](const requests::MoveQuery &Query) {
    return choosePeer(Query);
  };
  // Metrics are created on first use and looked up once: the lookup compares
  // label texts, and an event is counted for nearly every datagram.
  Hooks.Count = [this, Handles = std::vector<base::Counter *>()](
                    requests::Counter Which) mutable {
    const auto Index = static_cast<size_t>(Which);
    if (Index >= Handles.size())
      Handles.resize(Index + 1);
    if (!Handles[Index])
      Handles[Index] = &Registry.counter(
          "requests_total", {{"service", Settings.Service},
                             {"event", std::string(toString(Which))}});
    Handles[Index]->add();
  };
  Hooks.Sample = [this](const requests::LatencySample &Sample) {
    const base::Labels Tags{
        {"service", Settings.Service},
        {"class", std::string(records::toString(Sample.Class))}};
    Registry.histogram("request_wait", Tags).add(Sample.Queued);
    Registry.histogram("request_run", Tags).add(Sample.Run);
  };
  return Hooks;
}

AgentNode::AgentNode(AgentNodeSettings InitSettings,
                     base::RandomSource &InitRandom,
                     base::Metrics &InitRegistry)
    : Settings(std::move(InitSettings)), Random(InitRandom),
      Registry(InitRegistry),
      Membership(initialSelf(), Settings.Entries, InitRandom),
      Requests(requests::Settings{.Self = Settings.Self.Id}, requestHooks(),
               InitRandom),
      DroppedBeforeRecord(InitRegistry.counter(
          "dropped_before_record", {{"service", Settings.Service}})),
      DroppedBadBucket(InitRegistry.counter("dropped_bad_bucket",
                                            {{"service", Settings.Service}})) {}

AgentNode::~AgentNode() = default;

void AgentNode::start(base::Now Now, ActionSink &Out) {
  Membership.start(Now, MembershipOut);
  performMembership(Now, Out);
}

bool AgentNode::isReady() const {
  return Ownership && Membership.self().State == MemberState::Ready;
}

void AgentNode::onMessage(const messages::Message &Body, base::DaemonId Sender,
                          base::SocketAddress From, base::Now Now,
                          ActionSink &Out) {
  if (const auto *Packet = std::get_if<messages::Forward>(&Body)) {
    onForward(*Packet, Now, Out);
    return;
  }
  if (const auto *Run = std::get_if<messages::RunRequest>(&Body))
    Requests.onRunRequest(*Run, Now, RequestsOut);
  else if (const auto *Done = std::get_if<messages::RunReply>(&Body))
    Requests.onRunReply(Sender, *Done, Now, RequestsOut);
  else if (const auto *Update = std::get_if<messages::RecordUpdate>(&Body))
    Requests.onRecordUpdate(*Update, Now, RequestsOut);
  else if (const auto *Grant = std::get_if<messages::LeaseGrant>(&Body);
           Grant && Ownership)
    Ownership->handle(*Grant, Now, OwnershipOut);
  else if (const auto *Consent = std::get_if<messages::FenceConsent>(&Body);
           Consent && Ownership)
    Ownership->handle(*Consent, Now, OwnershipOut);
  else if (const auto *Owners = std::get_if<messages::OwnershipUpdate>(&Body);
           Owners && Ownership)
    Ownership->handle(*Owners, Now, OwnershipOut);
  else
    Membership.handle(Body, From, Now, MembershipOut);
  performMembership(Now, Out);
  performOwnership(Now, Out);
  performRequests(Out);
}

void AgentNode::onForward(const messages::Forward &Packet, base::Now Now,
                          ActionSink &Out) {
  if (!Ownership) {
    DroppedBeforeRecord.add();
    return;
  }
  if (Packet.Bucket >= Config->Buckets) {
    DroppedBadBucket.add();
    return;
  }
  Requests.onCaller(Packet, Ownership->authority(Packet.Bucket, Now), Now,
                    RequestsOut);
  performRequests(Out);
}

void AgentNode::onEndpoint(std::span<const uint8_t> Datagram, base::Now Now,
                           ActionSink &Out) {
  Requests.onEndpoint(Datagram, Now, RequestsOut);
  performRequests(Out);
}

void AgentNode::onEndpointPong(base::Now Now, ActionSink &Out) {
  Health.onPong(Now.Monotonic);
  refreshState(Now, Out);
}

void AgentNode::onStoreResult(const ownership::StoreResult &Result,
                              base::Now Now, ActionSink &Out) {
  if (!Ownership)
    return;
  Ownership->handle(Result, Now, OwnershipOut);
  performOwnership(Now, Out);
  performRequests(Out);
  refreshState(Now, Out);
}

void AgentNode::refreshState(base::Now Now, ActionSink &Out) {
  if (ShuttingDown)
    return;
  const bool Serving =
      Config && !Config->Retired && Health.isAlive(Now.Monotonic) &&
      Ownership && (Ownership->knowsOwners() || Now.Monotonic >= OwnersWait);
  const auto Next = internal::nextState(
      Membership.self().State, Serving ? internal::EndpointEvent::Serve
                                       : internal::EndpointEvent::Interrupt);
  if (!Next)
    return;
  LOG(INFO) << "agent of " << Settings.Service << " is "
            << (Serving ? "ready"
                        : "not ready: the record, the ownership record or the "
                          "endpoint's answer is missing");
  Membership.setState(*Next, Now, MembershipOut);
  performMembership(Now, Out);
  refreshMembers(Now, Out);
}

void AgentNode::adoptRecord(const messages::RecordEntry &Entry, base::Now Now,
                            ActionSink &Out) {
  auto Parsed = records::parseRecord(Entry.Body, "record " + Entry.Service);
  if (Parsed.has_error()) {
    LOG(ERROR) << "kept the previous record: " << Parsed.error().Message;
    return;
  }
  if (Config && Parsed.value().Buckets != Config->Buckets) {
    LOG(ERROR) << "kept the previous record: " << Entry.Service
               << " changes its bucket count";
    return;
  }
  Config = Parsed.value();
  Config->StoreRevision = Entry.StoreRevision;
  if (Settings.Slots)
    Config->SlotsPerEndpoint = *Settings.Slots;
  LOG(INFO) << "record of " << Entry.Service << " in force, store revision "
            << Entry.StoreRevision;
  Requests.configure(*Config);
  Membership.setSlots(Config->SlotsPerEndpoint, Now, MembershipOut);
  if (!Ownership) {
    ownership::OwnershipConfig Setup{
        Settings.Self.Id, Config->Id, Config->Buckets, {}};
    for (const membership::BalancerLocation &Known : Settings.Entries)
      Setup.BalancerAddresses.push_back(Known.Address);
    OwnersWait = Now.Monotonic + OwnersTimeout;
    Ownership = std::make_unique<ownership::OwnershipCore>(std::move(Setup),
                                                           Random, Now);
  }
  refreshState(Now, Out);
  refreshMembers(Now, Out);
}

void AgentNode::refreshMembers(base::Now Now, ActionSink &Out) {
  if (!Ownership)
    return;
  std::vector<messages::MemberInfo> Members =
      Membership.members().ofService(Config->Id);
  std::erase_if(Members, [this](const auto &Info) {
    return Info.Id == Settings.Self.Id;
  });
  Members.push_back(Membership.self());
  Table = routing::BucketTable::build(Config->Id, Config->Buckets,
                                      routing::tableMembers(*Config, Members));
  std::vector<base::DaemonId> Desired(Config->Buckets);
  for (base::BucketIndex Bucket = 0; Bucket < Config->Buckets; ++Bucket)
    Desired[Bucket] = desiredOwner(Table, Bucket);
  Requests.setTeamShare(teamShare(*Config, Table.members().size()));
  Ownership->setMembers(Members, Now, OwnershipOut);
  Ownership->setDesired(Desired, Now, OwnershipOut);
  performOwnership(Now, Out);
}

void AgentNode::refreshAuthorities(base::Now Now) {
  if (Ownership->leaseEnd() == KnownLeaseEnd)
    return;
  KnownLeaseEnd = Ownership->leaseEnd();
  for (base::BucketIndex Bucket = 0; Bucket < Config->Buckets; ++Bucket) {
    const messages::BucketAuthority Authority =
        Ownership->authority(Bucket, Now);
    if (Authority.Role == BucketRole::Owner)
      Requests.setAuthority(Bucket, Authority, Now, RequestsOut);
  }
}

void AgentNode::performMembership(base::Now Now, ActionSink &Out) {
  bool MembersChanged = false;
  for (auto &Wanted : std::exchange(MembershipOut, {})) {
    if (auto *Send = std::get_if<membership::SendMessage>(&Wanted)) {
      Out.push_back(SendDatagram{Send->To, std::move(Send->Body)});
    } else if (const auto *Changed =
                   std::get_if<membership::MemberChanged>(&Wanted)) {
      MembersChanged = true;
      if (Changed->Member.State == MemberState::Dead ||
          Changed->Member.State == MemberState::Stopped)
        Requests.onPeerDead(Changed->Member.Id, Now, RequestsOut);
    } else if (const auto *Forgotten =
                   std::get_if<membership::MemberRemoved>(&Wanted)) {
      MembersChanged = true;
      Requests.onPeerDead(Forgotten->Member.Id, Now, RequestsOut);
    } else if (const auto *Learned =
                   std::get_if<membership::RecordUpdated>(&Wanted)) {
      adoptRecord(Learned->Record, Now, Out);
    } else if (const auto *Offset =
                   std::get_if<membership::ClockOffsetChanged>(&Wanted)) {
      Requests.setClockTrusted(!Offset->Exceeded);
      Registry.gauge("clock_offset_exceeded").set(Offset->Exceeded ? 1 : 0);
      LOG(INFO) << "clock offset to the balancers is "
                << Offset->MedianMilliseconds << " ms";
    }
  }
  if (MembersChanged)
    refreshMembers(Now, Out);
}

void AgentNode::performRequests(ActionSink &Out) {
  for (auto &Wanted : std::exchange(RequestsOut, {})) {
    if (auto *Answer = std::get_if<requests::SendToCaller>(&Wanted)) {
      Out.push_back(
          SendDatagram{liveIngress(Answer->Ingress),
                       messages::Reply{Answer->Caller, Config->Address,
                                       std::move(Answer->Datagram)}});
    } else if (auto *Ask = std::get_if<requests::SendToEndpoint>(&Wanted)) {
      Out.push_back(SendToEndpoint{std::move(Ask->Datagram)});
    } else if (auto *Pass = std::get_if<requests::SendToPeer>(&Wanted)) {
      if (const auto *Peer = Membership.members().find(Pass->Peer))
        Out.push_back(SendDatagram{Peer->Data, std::move(Pass->Content)});
    }
  }
}

base::SocketAddress
AgentNode::liveIngress(base::SocketAddress Preferred) const {
  const membership::MemberTable &Members = Membership.members();
  const bool Known = Members.findByAddress(Preferred) != nullptr;
  if (Known || Members.balancers().empty())
    return Preferred;
  const size_t Any = base::randomBelow(Random, Members.balancers().size());
  return Members.find(Members.balancers()[Any])->Data;
}

std::optional<base::DaemonId>
AgentNode::choosePeer(const requests::MoveQuery &Query) const {
  if (!Config)
    return std::nullopt;
  const bool WorthMoving = Query.Class == records::WorkClass::Short &&
                           Query.PredictedWait >= MinimalMoveGain;
  if (Query.EndpointUsable && !WorthMoving)
    return std::nullopt;
  std::vector<messages::MemberInfo> Usable =
      Membership.members().ofService(Config->Id);
  std::erase_if(Usable, [&](const auto &Info) {
    return Info.State != MemberState::Ready || Info.Id == Settings.Self.Id ||
           (Query.EndpointUsable && Info.LoadPercent >= FullLoadPercent);
  });
  if (Usable.empty())
    return std::nullopt;
  // A random one: the least loaded by reports that are a second old would get
  // every agent's excess.
  return Usable[base::randomBelow(Random, Usable.size())].Id;
}

void AgentNode::tick(base::Now Now, ActionSink &Out) {
  if (Health.pingDue(Now.Monotonic))
    Out.push_back(PingEndpoint{});
  refreshState(Now, Out);
  const requests::LoadView Load = Requests.load(Now);
  const uint64_t Slots = std::max<uint64_t>(Load.SlotLimit, 1);
  Membership.setLoad(static_cast<uint16_t>(std::min<uint64_t>(
      (Load.Running + Load.Queued) * 100 / Slots, UINT16_MAX)));
  Membership.tick(Now, MembershipOut);
  performMembership(Now, Out);
  if (Ownership) {
    Ownership->tick(Now, OwnershipOut);
    performOwnership(Now, Out);
  }
  Requests.tick(Now, RequestsOut);
  finishExports(Now, Out);
  performRequests(Out);
  if (ShuttingDown)
    continueShutdown(Now, Out);
}

base::TimePoint AgentNode::nextDeadline() const {
  base::TimePoint Next =
      std::min({Membership.nextDeadline(), Requests.nextDeadline(),
                Health.nextDeadline(), ExitDeadline, DrainDeadline});
  if (Ownership)
    Next = std::min(Next, Ownership->nextDeadline());
  for (const PendingExport &Export : Exports)
    Next = std::min(Next, Export.Deadline);
  return Next;
}

} // namespace burdockstream::nodes
