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

// Shortest predicted wait for which a request moves to another agent. A move
// costs a round trip between agents, about 10 ms between failure domains. Only
// requests of the short class move; see docs/MEASUREMENTS.md.
constexpr base::Duration MinWaitToMove = std::chrono::milliseconds(12);
// How long an agent waits for the ownership record before it becomes ready
// without it. An agent that does not know the owners would answer `unknown`
// where it must forward a request. In a store outage it serves as provisional
// owner after this time.
constexpr base::Duration OwnersReadTimeout = std::chrono::seconds(5);
// Load at which all slots of the endpoint are in use.
constexpr uint16_t FullLoadPercent = 100;

// Divides a team's limits evenly among the serving endpoints. Each gets at
// least one, so that a small limit never blocks a service entirely.
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
  // Caches each counter after its first use: a lookup compares label strings,
  // and nearly every datagram is counted.
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
      Membership(initialSelf(), Settings.ConfiguredBalancers, InitRandom),
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
      Ownership &&
      (Ownership->knowsOwners() || Now.Monotonic >= OwnersDeadline);
  const auto Next = internal::nextState(
      Membership.self().State, Serving ? internal::EndpointEvent::Serve
                                       : internal::EndpointEvent::Interrupt);
  if (!Next)
    return;
  LOG(INFO) << "agent of " << Settings.Service << " is "
            << (Serving ? "ready"
                        : "not ready: the service record or the ownership "
                          "record is unknown, the service is retired, or the "
                          "endpoint does not answer pings");
  Membership.setState(*Next, Now, MembershipOut);
  performMembership(Now, Out);
  refreshMembers(Now, Out);
}

void AgentNode::applyRecord(const messages::RecordEntry &Entry, base::Now Now,
                            ActionSink &Out) {
  auto Parsed = records::parseRecord(Entry.Body, "record " + Entry.Service);
  if (Parsed.has_error()) {
    LOG(ERROR) << "rejected a record, keeping the previous one: "
               << Parsed.error().Message;
    return;
  }
  if (Config && Parsed.value().Buckets != Config->Buckets) {
    LOG(ERROR)
        << "rejected the record of " << Entry.Service
        << ", keeping the previous one: the bucket count must not change";
    return;
  }
  Config = Parsed.value();
  Config->StoreRevision = Entry.StoreRevision;
  if (Settings.Slots)
    Config->SlotsPerEndpoint = *Settings.Slots;
  LOG(INFO) << "applied the record of " << Entry.Service << ", store revision "
            << Entry.StoreRevision;
  Requests.configure(*Config);
  Membership.setSlots(Config->SlotsPerEndpoint, Now, MembershipOut);
  if (!Ownership) {
    ownership::OwnershipConfig Setup{
        Settings.Self.Id, Config->Id, Config->Buckets, {}};
    for (const membership::BalancerLocation &Balancer :
         Settings.ConfiguredBalancers)
      Setup.BalancerAddresses.push_back(Balancer.Address);
    OwnersDeadline = Now.Monotonic + OwnersReadTimeout;
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
  if (Ownership->leaseEnd() == AppliedLeaseEnd)
    return;
  AppliedLeaseEnd = Ownership->leaseEnd();
  for (base::BucketIndex Bucket = 0; Bucket < Config->Buckets; ++Bucket) {
    const messages::BucketAuthority Authority =
        Ownership->authority(Bucket, Now);
    if (Authority.Role == BucketRole::Owner)
      Requests.setAuthority(Bucket, Authority, Now, RequestsOut);
  }
}

void AgentNode::performMembership(base::Now Now, ActionSink &Out) {
  bool MembersChanged = false;
  for (auto &NextAction : std::exchange(MembershipOut, {})) {
    if (auto *Send = std::get_if<membership::SendMessage>(&NextAction)) {
      Out.push_back(SendDatagram{Send->To, std::move(Send->Body)});
    } else if (const auto *Changed =
                   std::get_if<membership::MemberChanged>(&NextAction)) {
      MembersChanged = true;
      if (Changed->Member.State == MemberState::Dead ||
          Changed->Member.State == MemberState::Stopped)
        Requests.onPeerDead(Changed->Member.Id, Now, RequestsOut);
    } else if (const auto *Removed =
                   std::get_if<membership::MemberRemoved>(&NextAction)) {
      MembersChanged = true;
      Requests.onPeerDead(Removed->Member.Id, Now, RequestsOut);
    } else if (const auto *Updated =
                   std::get_if<membership::RecordUpdated>(&NextAction)) {
      applyRecord(Updated->Record, Now, Out);
    } else if (const auto *Offset =
                   std::get_if<membership::ClockOffsetChanged>(&NextAction)) {
      Requests.setClockTrusted(!Offset->Exceeded);
      Registry.gauge("clock_offset_exceeded").set(Offset->Exceeded ? 1 : 0);
      LOG(INFO) << "median clock offset to the balancers is "
                << Offset->MedianMilliseconds << " ms";
    }
  }
  if (MembersChanged)
    refreshMembers(Now, Out);
}

void AgentNode::performRequests(ActionSink &Out) {
  for (auto &NextAction : std::exchange(RequestsOut, {})) {
    if (auto *ToCaller = std::get_if<requests::SendToCaller>(&NextAction)) {
      Out.push_back(
          SendDatagram{selectIngress(ToCaller->Ingress),
                       messages::Reply{ToCaller->Caller, Config->Address,
                                       std::move(ToCaller->Datagram)}});
    } else if (auto *ToEndpoint =
                   std::get_if<requests::SendToEndpoint>(&NextAction)) {
      Out.push_back(SendToEndpoint{std::move(ToEndpoint->Datagram)});
    } else if (auto *ToPeer = std::get_if<requests::SendToPeer>(&NextAction)) {
      if (const auto *Peer = Membership.members().find(ToPeer->Peer))
        Out.push_back(SendDatagram{Peer->Data, std::move(ToPeer->Content)});
    }
  }
}

base::SocketAddress
AgentNode::selectIngress(base::SocketAddress Preferred) const {
  const membership::MemberTable &Members = Membership.members();
  const bool IsMember = Members.findByAddress(Preferred) != nullptr;
  if (IsMember || Members.balancers().empty())
    return Preferred;
  const size_t Index = base::randomBelow(Random, Members.balancers().size());
  return Members.find(Members.balancers()[Index])->Data;
}

std::optional<base::DaemonId>
AgentNode::choosePeer(const requests::MoveQuery &Query) const {
  if (!Config)
    return std::nullopt;
  const bool WorthMoving = Query.Class == records::WorkClass::Short &&
                           Query.PredictedWait >= MinWaitToMove;
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
  // Chooses at random: load reports are a second old, so all agents would send
  // their excess to the same least loaded peer.
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
