#include "FlowFixture.h"

#include <algorithm>
#include <utility>

namespace burdockstream::flows::test {

namespace {

constexpr uint32_t AgentIps = 0x0A010000;
constexpr uint32_t BalancerIps = 0x0A020000;
constexpr uint16_t DaemonPort = 7000;
// Spreads the numbers at which flows start over all 32 bits.
constexpr uint32_t SequenceStep = 0x9E3779B1;

std::pair<uint64_t, uint64_t> keyOf(const FlowKey &Flow) {
  return {base::packAddress(Flow.Client), base::packAddress(Flow.Service)};
}

} // namespace

Simulation::Simulation() = default;

size_t Simulation::addBalancer(const std::string &Domain) {
  const size_t Index = Balancers.size();
  Balancers.push_back({nullptr,
                       {BalancerIps + static_cast<uint32_t>(Index), DaemonPort},
                       true});
  Domains.push_back(Domain);
  Balancers.back().Core = makeBalancer(Index);
  return Index;
}

size_t Simulation::addAgent(std::string_view Service,
                            const std::string &Domain) {
  const size_t Index = Agents.size();
  SimulatedAgent &Place = Agents.emplace_back();
  Place.Address = {AgentIps + static_cast<uint32_t>(Index), DaemonPort};
  Place.Service = Service;
  Place.Domain = Domain;
  Place.Core = makeAgent(Index);
  return Index;
}

std::unique_ptr<FlowBalancer> Simulation::makeBalancer(size_t Index) {
  const base::SocketAddress Own = Balancers[Index].Address;
  BalancerHooks Hooks;
  Hooks.SendFrame = [this, Own](base::SocketAddress To,
                                const FrameHeader &Header,
                                std::span<const uint8_t> Body) {
    Frames.push_back({Own, To, Header, {Body.begin(), Body.end()}});
  };
  Hooks.SendReset = [this](const FlowKey &Flow, uint32_t Sequence) {
    Resets.push_back(Flow);
    ResetSequences.push_back(Sequence);
  };
  Hooks.OnDecision = [this](const FlowDecision &Decision) {
    Decisions.push_back(Decision);
  };
  Hooks.CatchUp = [this, Index](ViewPart Part, base::TimePoint Since) {
    if (CatchUp)
      CatchUp(Index, Part, Since);
    else
      Balancers[Index].Core->markCaughtUp(Part, Since);
  };
  Hooks.OnNewerRoutes = [this](base::Revision Revision,
                               base::SocketAddress At) {
    NewerRoutes.emplace_back(Revision, At);
  };
  return std::make_unique<FlowBalancer>(
      BalancerIdentity{Domains[Index], Own, sizeof(uint32_t),
                       LinkBytesPerSecond, OpeningAttempt, CopyTimes},
      Hooks, base::RandomSource(20261204 + Index));
}

std::unique_ptr<FlowAgent> Simulation::makeAgent(size_t Index) {
  SimulatedAgent &Place = Agents[Index];
  AgentHooks Hooks;
  Hooks.DeliverToTarget = [this, &Place](std::span<const uint8_t> Bytes) {
    std::vector<uint8_t> Copy(Bytes.begin(), Bytes.end());
    receiveAtTarget(Place, Registry.read(Copy));
  };
  Hooks.SendToClient = [this](const FlowKey &, std::span<const uint8_t> Bytes) {
    std::vector<uint8_t> Copy(Bytes.begin(), Bytes.end());
    onClientReceived(Registry.read(Copy));
  };
  Hooks.SendReset = [this](const FlowKey &Flow, uint32_t Sequence) {
    Resets.push_back(Flow);
    ResetSequences.push_back(Sequence);
  };
  Hooks.SendFrame = [this, &Place](base::SocketAddress To,
                                   const FrameHeader &Header,
                                   std::span<const uint8_t> Body) {
    Frames.push_back({Place.Address, To, Header, {Body.begin(), Body.end()}});
  };
  Hooks.Stamp = [this](std::span<uint8_t> Bytes, uint32_t Tag) {
    Registry.stamp(Bytes, Tag);
  };
  Hooks.ProbeTarget = [&Place] { ++Place.Probes; };
  Hooks.OnDecision = [this](const FlowDecision &Decision) {
    Decisions.push_back(Decision);
  };
  Hooks.OnEntryMissing = [this](base::SocketAddress From) {
    MissingEntryReports.push_back(From);
  };
  AgentOptions Options;
  Options.Target = {Place.Service, {Place.Address.Ip, 8080}};
  Options.FailureDomain = Place.Domain;
  Options.Incarnation = NextIncarnation++;
  Options.PacketHeaderBytes = sizeof(uint32_t);
  auto Core = std::make_unique<FlowAgent>(Options, Hooks);
  Core->start(Now);
  return Core;
}

void Simulation::restartAgent(size_t Index) {
  Agents[Index].Core = makeAgent(Index);
  Agents[Index].Running = true;
}

void Simulation::restartBalancer(size_t Index) {
  Balancers[Index].Core = makeBalancer(Index);
  Balancers[Index].Running = true;
}

void Simulation::setRoutes(
    size_t Balancer, base::Revision Revision,
    const std::map<base::SocketAddress, std::string> &Routes, WorkClass Class,
    std::optional<RequestTime> Time) {
  auto Table = std::make_shared<RouteTable>();
  Table->Revision = Revision;
  Table->Version = RoutesVersion;
  Table->IdleTimeout = IdleTimeout;
  Table->WarmupFlowsPerSecond = WarmupFlowsPerSecond;
  for (const auto &[Address, Service] : Routes)
    Table->Routes[Address] = {
        "route", {{base::serviceIdOf(Service), 1}}, {}, Class, Time};
  Balancers[Balancer].Core->setRoutes(Table, Now);
}

void Simulation::listAll() {
  std::vector<AgentEntry> Entries;
  for (const SimulatedAgent &Place : Agents)
    Entries.push_back({Place.Address, Place.Service, Place.Domain});
  for (SimulatedBalancer &Place : Balancers) {
    Place.Core->setStoreFresh(true);
    Place.Core->setAgentEntries(Entries, Now);
  }
}

void Simulation::sendHeartbeat(size_t Index, bool Draining) {
  SimulatedAgent &Place = Agents[Index];
  Heartbeat Beat;
  Beat.TargetId = "i-" + std::to_string(Index);
  Beat.Service = Place.Service;
  Beat.Address = {Place.Address.Ip, 8080};
  Beat.Draining = Draining;
  Beat.StartedAtMs = Place.StartedAtMs;
  Beat.Sequence = ++Place.HeartbeatsSent;
  Beat.Slots = 2;
  Beat.WarmupMs = Place.WarmupMs;
  Place.Core->onHeartbeat(Beat, Now);
}

void Simulation::sendHeartbeats() {
  for (size_t I = 0; I < Agents.size(); ++I)
    sendHeartbeat(I);
}

void Simulation::run(base::Duration Time) {
  for (const base::TimePoint End = Now + Time; Now < End; Now += Tick) {
    for (SimulatedBalancer &Place : Balancers)
      if (Place.Running)
        Place.Core->tick(Now);
    for (SimulatedAgent &Place : Agents)
      if (Place.Running)
        Place.Core->tick(Now);
    deliverFrames();
  }
}

void Simulation::open(size_t Balancer, const FlowKey &Flow, uint32_t Copy,
                      base::Duration SinceFirstCopy) {
  Packet Value;
  Value.Flow = Flow;
  Value.Opens = true;
  Value.Sequence = OpeningSequence;
  Value.Acknowledged = Copy;
  Value.SinceFirstCopy = SinceFirstCopy;
  if (Copy == 0)
    Acknowledged.erase(keyOf(Flow));
  Balancers[Balancer].Core->onClientPacket(Registry.write(Value), Now);
  deliverFrames();
}

void Simulation::send(size_t Balancer, const FlowKey &Flow,
                      uint16_t DataBytes) {
  Packet Value;
  Value.Flow = Flow;
  Value.DataBytes = DataBytes;
  sendPacket(Balancer, Value);
}

void Simulation::sendEnd(size_t Balancer, const FlowKey &Flow, bool Aborts) {
  Packet Value;
  Value.Flow = Flow;
  Value.Finishes = !Aborts;
  Value.Aborts = Aborts;
  sendPacket(Balancer, Value);
}

void Simulation::sendPacket(size_t Balancer, Packet Value) {
  Value.Acknowledged = acknowledged(Value.Flow);
  Balancers[Balancer].Core->onClientPacket(Registry.write(Value), Now);
  deliverFrames();
}

uint32_t Simulation::acknowledged(const FlowKey &Flow) const {
  const auto Known = Acknowledged.find(keyOf(Flow));
  return Known == Acknowledged.end() ? 0 : Known->second;
}

// A client chooses the first target that accepts its flow, and acknowledges
// what that one has sent.
void Simulation::onClientReceived(const Packet &Received) {
  if (Received.Aborts)
    return; // no test reopens a flow that the client accepts a reset of
  const uint32_t Next =
      Received.Sequence + Received.DataBytes + (Received.Accepts ? 1 : 0);
  const auto [Known, Added] =
      Acknowledged.try_emplace(keyOf(Received.Flow), Next);
  if (!Added && !Received.Accepts)
    Known->second = Next;
}

void Simulation::finishAtTarget(size_t Agent, const FlowKey &Flow) {
  SimulatedAgent &Place = Agents[Agent];
  Packet End;
  End.Flow = Flow;
  End.Finishes = true;
  End.Sequence = Place.Target.Held.at(keyOf(Flow)).Next;
  Place.Core->onTargetPacket(Registry.write(End, Sender::Target), Now);
  deliverFrames();
}

int Simulation::holder(const FlowKey &Flow) const {
  for (size_t I = 0; I < Agents.size(); ++I)
    if (Agents[I].Target.Held.count(keyOf(Flow)) != 0)
      return static_cast<int>(I);
  return -1;
}

uint64_t Simulation::count(DecisionKind Kind) const {
  return static_cast<uint64_t>(
      std::count_if(Decisions.begin(), Decisions.end(),
                    [&](const auto &Each) { return Each.Kind == Kind; }));
}

void Simulation::deliverFrames() {
  while (!Frames.empty()) {
    Frame Delivered = std::move(Frames.front());
    Frames.pop_front();
    LastService = Delivered.Header.Service;
    if (DropsFrame && DropsFrame(Delivered.To, Delivered.Header.Kind))
      continue;
    if (DropsFrameFrom && DropsFrameFrom(Delivered.From, Delivered.To))
      continue;
    for (SimulatedAgent &Place : Agents)
      if (Place.Address == Delivered.To && Place.Running)
        deliverToAgent(Place, Delivered);
    for (SimulatedBalancer &Place : Balancers)
      if (Place.Address == Delivered.To && Place.Running)
        deliverToBalancer(Place, Delivered);
  }
}

std::vector<Packet> Simulation::headers(std::span<uint8_t> Bytes) const {
  PacketCodec Codec;
  Codec.HeaderBytes = sizeof(uint32_t);
  Codec.DecodeHeader = [this](std::span<uint8_t> One) {
    return Registry.readClientHeader(One);
  };
  return decodeHeaders(Codec, Bytes);
}

void Simulation::deliverToAgent(SimulatedAgent &Place, Frame &Delivered) {
  if (FormerAgents)
    Delivered.Header.Reason = ReturnReason::None;
  if (Delivered.Header.Kind == FrameKind::Search)
    return Place.Core->onSearches(Delivered.From, headers(Delivered.Body));
  if (Delivered.Header.Kind == FrameKind::Policy) {
    if (const auto Policy = unpackPolicy(Delivered.Body))
      Place.Core->onPolicy(Delivered.From, Delivered.Header.Routes, *Policy,
                           Now);
    return;
  }
  if (Delivered.Header.Kind != FrameKind::Hello)
    return Place.Core->onFrame(Delivered.From, Delivered.Header,
                               Registry.read(Delivered.Body), Now);
  if (auto Hello = unpackHello(Delivered.Body)) {
    if (FormerHellos)
      Hello->IdleTimeout = base::Duration::zero();
    Place.Core->onHello(Delivered.From, Delivered.Header.Routes, *Hello, Now);
  }
}

void Simulation::deliverToBalancer(SimulatedBalancer &Place, Frame &Delivered) {
  if (SeenFrames)
    SeenFrames->push_back(Delivered.Header.Kind);
  if (Delivered.Header.Kind == FrameKind::Returned)
    return Place.Core->onAgentAnswer(Delivered.From, Delivered.Header,
                                     Registry.read(Delivered.Body), Now);
  if (Delivered.Header.Kind != FrameKind::Status) {
    for (const Packet &Each : headers(Delivered.Body))
      Place.Core->onAgentAnswer(Delivered.From, Delivered.Header, Each, Now);
    return;
  }
  if (const auto Status = unpackStatus(Delivered.Body))
    Place.Core->onStatus(Delivered.From, *Status, Now);
}

// The fake target accepts a flow and answers a request at once, and returns
// packets of flows that it does not hold.
void Simulation::receiveAtTarget(SimulatedAgent &Place, const Packet &Arrived) {
  Packet Answer = Arrived;
  const auto Key = keyOf(Arrived.Flow);
  const auto Known = Place.Target.Held.find(Key);
  const bool Holds =
      Known != Place.Target.Held.end() &&
      (Arrived.Opens ? Arrived.Sequence == Known->second.ClientFirst
                     : Arrived.Acknowledged - Known->second.First <=
                           Known->second.Next - Known->second.First);
  if (Arrived.Aborts && Holds) {
    Place.Target.Held.erase(Key);
    return;
  }
  if ((Arrived.Opens && Place.Target.Full && !Holds) ||
      (!Arrived.Opens && !Holds)) {
    if (!Arrived.Opens)
      Place.Target.ReturnedPackets.push_back(Arrived.Flow);
    Answer.Returned = true;
    return Place.Core->onTargetPacket(Registry.write(Answer), Now);
  }
  if (Arrived.Opens && !Holds) {
    // Each target starts elsewhere, and each of its flows too.
    const uint32_t Started = std::exchange(NextStart, std::nullopt)
                                 .value_or(++NextSequence * SequenceStep);
    Place.Target.Held[Key] = {Started, Started + 1, Arrived.Sequence};
    Place.Target.Opened.push_back(Arrived.Flow);
  }
  if (Arrived.DataBytes > 0)
    ++Place.Target.Requests;
  if (Arrived.Finishes)
    ++Place.Target.Ends;
  if (Place.Target.Unresponsive && Arrived.DataBytes > 0)
    return;
  FakeTarget::SequenceNumbers &Numbers = Place.Target.Held[Key];
  Answer.Opens = false;
  Answer.Accepts = Arrived.Opens;
  Answer.Sequence = Arrived.Opens ? Numbers.First : Numbers.Next;
  Answer.Finishes = false;
  if (!Arrived.Opens)
    Numbers.Next += Answer.DataBytes;
  if (Place.Target.Aborts && Arrived.DataBytes > 0) {
    ++Place.Target.Aborted;
    Place.Target.Held.erase(Key);
    Answer.DataBytes = 0;
    Answer.Aborts = true;
  }
  Place.Core->onTargetPacket(Registry.write(Answer, Sender::Target), Now);
}

} // namespace burdockstream::flows::test
