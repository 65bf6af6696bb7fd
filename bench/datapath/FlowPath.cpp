#include "FlowPath.h"

#include "AllocationCount.h"
#include "BootClock.h"
#include "DecisionLog.h"
#include "FrameSocket.h"
#include "PlatformPackets.h"

#include "burdockstream/bench/LoopbackSocket.h"
#include "burdockstream/flows/FlowAgent.h"
#include "burdockstream/flows/FlowBalancer.h"
#include "burdockstream/testing/PlatformPacketWriter.h"

#include <fcntl.h>
#include <glog/logging.h>

namespace burdockstream::datapath {

namespace {

using testing::AckFlag;
using testing::SynFlag;

constexpr size_t AgentsPerService = 5;
constexpr uint32_t FirstServiceIp = 0xC6120001;
constexpr uint32_t FirstClientIp = 0x64400001;
constexpr uint32_t FirstAgentIp = 0x7F010001; // 127.0.0.0/8 is all local
constexpr uint16_t ServicePort = 443;
// Each client address uses this many source ports.
constexpr uint64_t FlowsPerClient = 30'000;

// Longer than one round over all flows takes, so that no open flow expires, and
// short enough that replaced flows expire during a run.
constexpr base::Duration IdleTimeout = std::chrono::seconds(4);
constexpr base::Duration StatusInterval = std::chrono::milliseconds(250);

// The design size is 15,000 targets with 52 million flows in total; an agent
// serves one target.
constexpr size_t FlowsPerAgent = 3'500;

std::string serviceName(size_t Index) {
  return "service" + std::to_string(Index);
}

base::SocketAddress serviceAddress(size_t Index) {
  return {FirstServiceIp + static_cast<uint32_t>(Index), ServicePort};
}

// Generates client packets. They use the open flows in turn, and a new flow
// replaces an old one every FlowLoad::DatagramsPerNewFlow packets.
class ClientPacketSource {
public:
  ClientPacketSource(const FlowLoad &InitLoad, size_t Flows,
                     size_t InitServices)
      : Load(InitLoad), Services(InitServices), FlowOfSlot(Flows),
        IsNew(Flows, true) {
    for (uint64_t I = 0; I < Flows; ++I)
      FlowOfSlot[I] = I;
    NextFlow = Flows;
    // next() overwrites the addresses of these two packets without updating the
    // checksum, which no path verifies.
    Opening = testing::writePacket({{}, {}, SynFlag, 0, 0});
    Data = testing::writePacket(
        {{}, {}, AckFlag, 1, 1, std::max<size_t>(Load.PayloadBytes, 4)});
  }

  // Returns the next packet, which is valid until the next call.
  std::span<const uint8_t> next() {
    Slot = (Slot + 1) % FlowOfSlot.size();
    if (++Sent % Load.DatagramsPerNewFlow == 0) {
      FlowOfSlot[Slot] = NextFlow++;
      IsNew[Slot] = true;
    }
    std::vector<uint8_t> &Packet = IsNew[Slot] ? Opening : Data;
    IsNew[Slot] = false;
    const uint64_t Flow = FlowOfSlot[Slot];
    const testing::PacketText Addresses{
        {FirstClientIp + static_cast<uint32_t>(Flow / FlowsPerClient),
         static_cast<uint16_t>(1024 + Flow % FlowsPerClient)},
        serviceAddress(Flow % Services)};
    testing::writeEnds(Packet, Addresses.From, Addresses.To);
    return Packet;
  }

private:
  FlowLoad Load;
  size_t Services;
  std::vector<uint64_t> FlowOfSlot;
  std::vector<bool> IsNew; // its opening packet has not been sent
  std::vector<uint8_t> Opening;
  std::vector<uint8_t> Data;
  uint64_t NextFlow = 0;
  uint64_t Sent = 0;
  size_t Slot = 0;
};

// Virtual time that advances with the datagrams sent, so that the expiry of
// flows does not depend on the speed of the machine. read() also reads the
// system clocks, because a daemon has that cost.
class TrafficClock {
public:
  base::TimePoint read() const {
    flowd::readClocks();
    return Now;
  }
  void advance(size_t Datagrams) {
    // 100,000 datagrams per second.
    Now += Datagrams * std::chrono::microseconds(10);
  }

private:
  base::TimePoint Now{std::chrono::seconds(100)};
};

int openDevNull() {
  const int Descriptor = ::open("/dev/null", O_WRONLY | O_CLOEXEC);
  PCHECK(Descriptor >= 0);
  return Descriptor;
}

// Counts and logs decisions as a daemon does, with /dev/null as the log file.
struct DecisionRecorder {
  base::Metrics Registry;
  flowd::EventLog Log{openDevNull(), "bench", flowd::LogLimits()};
  flowd::DecisionLog Lines{Log, Registry};
};

// A balancer with sockets for client packets and for frames to its agents.
class BalancerPath {
public:
  explicit BalancerPath(size_t InitServices)
      : Services(InitServices), Codec(platform::packetCodec()),
        Sink(bench::openSocket({}, {0, 0})),
        Ingress(bench::openSocket(flowd::frameSocketOptions())),
        Frames(bench::openSocket(flowd::frameSocketOptions())),
        Core({"a", {}, Codec.HeaderBytes}, hooks(), base::RandomSource(7)) {
    const base::TimePoint Now = Clock.read();
    Core.setStoreFresh(true);
    Core.setRoutes(routes(), Now);
    std::vector<flows::AgentEntry> Entries;
    for (size_t I = 0; I < Services * AgentsPerService; ++I)
      Entries.push_back({agent(I), serviceName(I / AgentsPerService), "a"});
    Core.setAgentEntries(Entries, Now);
  }

  base::SocketAddress input() const { return Ingress->localAddress(); }

  // Relays one batch of client packets.
  void step() {
    Ingress->receiveBatch(
        [this](std::span<uint8_t> Datagram, base::SocketAddress) {
          const auto Packet = Codec.Decode(Datagram, flows::Sender::Client);
          CHECK(Packet);
          Core.onClientPacket(*Packet, Clock.read());
        });
    Frames->flush();
    Clock.advance(network::MaxBatch);
  }

  // Sends status messages of the agents to the core and runs its timers. This
  // is not part of the data path and not measured.
  void runControlTasks() {
    const base::TimePoint Now = Clock.read();
    if (Now < NextStatus)
      return;
    NextStatus = Now + StatusInterval;
    ++Sequence;
    for (size_t I = 0; I < Services * AgentsPerService; ++I) {
      flows::TargetStatus Status;
      Status.Sequence = Sequence;
      Status.Service = base::serviceIdOf(serviceName(I / AgentsPerService));
      Status.FailureDomain = "a";
      Status.State = flows::TargetState::Ready;
      Status.Slots = 2;
      Core.onStatus(agent(I), Status, Now);
    }
    Core.tick(Now);
    Frames->flush();
    bench::discardReceived(*Sink); // hello frames to the agents
  }

  uint64_t discardDelivered() { return bench::discardReceived(*Sink); }

private:
  flows::BalancerHooks hooks() {
    flows::BalancerHooks Hooks;
    Hooks.SendFrame = [this](base::SocketAddress To,
                             const flows::FrameHeader &Header,
                             std::span<const uint8_t> Body) {
      flowd::sendFrame(*Frames, To, Header, Body);
    };
    Hooks.SendReset = [](const flows::FlowKey &Flow, uint32_t) {
      LOG(FATAL) << "unexpected reset of flow " << flows::toString(Flow);
    };
    Hooks.OnDecision = [this](const flows::FlowDecision &Decision) {
      Recorder.Lines.record(Decision, flowd::readClocks());
    };
    return Hooks;
  }

  std::shared_ptr<flows::RouteTable> routes() const {
    auto Table = std::make_shared<flows::RouteTable>();
    Table->Revision = 1;
    Table->IdleTimeout = IdleTimeout;
    for (size_t I = 0; I < Services; ++I) {
      flows::Route Route;
      Route.Services = {{base::serviceIdOf(serviceName(I)), 1}};
      Table->Routes[serviceAddress(I)] = std::move(Route);
    }
    return Table;
  }

  base::SocketAddress agent(size_t Index) const {
    return {FirstAgentIp + static_cast<uint32_t>(Index),
            Sink->localAddress().Port};
  }

  size_t Services;
  TrafficClock Clock;
  flows::PacketCodec Codec;
  std::unique_ptr<network::UdpSocket> Sink;
  std::unique_ptr<network::UdpSocket> Ingress;
  std::unique_ptr<network::UdpSocket> Frames;
  DecisionRecorder Recorder;
  flows::FlowBalancer Core;
  base::TimePoint NextStatus{};
  uint64_t Sequence = 0;
};

// An agent with one socket for frames and one for packets of its target.
class AgentPath {
public:
  AgentPath()
      : Codec(platform::packetCodec()), Sink(bench::openSocket()),
        Target(bench::openSocket()),
        Data(bench::openSocket(flowd::frameSocketOptions())),
        Outbound(bench::openSocket(flowd::frameSocketOptions())),
        Core(options(Codec), hooks()) {
    sendHeartbeat();
  }

  base::SocketAddress input() const { return Data->localAddress(); }

  // Relays one batch of frames to the target, whose answers go to the Outbound
  // socket.
  void relayToTarget() {
    Data->receiveBatch(
        [this](std::span<uint8_t> Datagram, base::SocketAddress From) {
          const auto Frame = flows::readFrame(Datagram);
          CHECK(Frame);
          const auto Packet = Codec.Decode(Frame->Body, flows::Sender::Client);
          CHECK(Packet);
          Core.onFrame(From, Frame->Header, *Packet, Clock.read());
        });
    Outbound->flush();
  }

  // Relays the target's answers to the clients.
  void relayToClients() {
    Outbound->receiveBatch(
        [this](std::span<uint8_t> Datagram, base::SocketAddress) {
          const auto Packet = Codec.Decode(Datagram, flows::Sender::Target);
          CHECK(Packet);
          Core.onTargetPacket(*Packet, Clock.read());
        });
    Data->flush();
    Clock.advance(2 * network::MaxBatch);
  }

  // Answers each packet that reached the target and returns their number.
  uint64_t answerPackets() {
    uint64_t Count = 0;
    const network::UdpSocket::Handler Answer = [&](std::span<uint8_t> Datagram,
                                                   base::SocketAddress From) {
      const auto Packet = Codec.Decode(Datagram, flows::Sender::Client);
      CHECK(Packet);
      testing::writeEnds(Datagram, Packet->Flow.Service, Packet->Flow.Client);
      Target->send(Datagram, From);
      ++Count;
    };
    while (Target->receiveBatch(Answer) > 0)
      Target->flush();
    return Count;
  }

  uint64_t discardDelivered() { return bench::discardReceived(*Sink); }

  // Gives the core a heartbeat of the target and runs its timers, which is not
  // measured.
  void runControlTasks() {
    sendHeartbeat();
    Core.tick(Clock.read());
  }

private:
  void sendHeartbeat() {
    flows::Heartbeat Message;
    Message.TargetId = "t";
    Message.Service = serviceName(0);
    Message.Sequence = ++HeartbeatSequence;
    Message.Slots = FlowsPerAgent; // high enough not to limit new flows
    Core.onHeartbeat(Message, Clock.read());
  }

  static flows::AgentOptions options(const flows::PacketCodec &Codec) {
    flows::AgentOptions Options;
    Options.Target = {serviceName(0), {}};
    Options.FailureDomain = "a";
    Options.PacketHeaderBytes = Codec.HeaderBytes;
    return Options;
  }

  flows::AgentHooks hooks() {
    flows::AgentHooks Hooks;
    Hooks.DeliverToTarget = [this](std::span<const uint8_t> Bytes) {
      Outbound->send(Bytes, Target->localAddress());
    };
    Hooks.SendToClient = [this](const flows::FlowKey &,
                                std::span<const uint8_t> Bytes) {
      Data->send(Bytes, Sink->localAddress());
    };
    Hooks.SendReset = [](const flows::FlowKey &Flow, uint32_t) {
      LOG(FATAL) << "unexpected reset of flow " << flows::toString(Flow);
    };
    Hooks.SendFrame = [this](base::SocketAddress To,
                             const flows::FrameHeader &Header,
                             std::span<const uint8_t> Body) {
      flowd::sendFrame(*Data, To, Header, Body);
    };
    Hooks.Stamp = Codec.Stamp;
    Hooks.ProbeTarget = [] {};
    Hooks.OnDecision = [this](const flows::FlowDecision &Decision) {
      Recorder.Lines.record(Decision, flowd::readClocks());
    };
    return Hooks;
  }

  TrafficClock Clock;
  flows::PacketCodec Codec;
  std::unique_ptr<network::UdpSocket> Sink;
  std::unique_ptr<network::UdpSocket> Target;
  std::unique_ptr<network::UdpSocket> Data;
  std::unique_ptr<network::UdpSocket> Outbound;
  DecisionRecorder Recorder;
  flows::FlowAgent Core;
  uint64_t HeartbeatSequence = 0;
};

} // namespace

PathResult measureFlowBalancer(const FlowLoad &Load, size_t Services) {
  BalancerPath Path(Services);
  ClientPacketSource Clients(Load, Load.Flows, Services);
  const auto Source = bench::openSocket();
  PathResult Result;
  const auto Run = [&](uint64_t Datagrams) {
    for (uint64_t Sent = 0; Sent < Datagrams; Sent += network::MaxBatch) {
      Path.runControlTasks();
      for (size_t I = 0; I < network::MaxBatch; ++I)
        Source->send(Clients.next(), Path.input());
      Source->flush();
      Result.Relay.Offered += network::MaxBatch;
      measureStep(Result, [&] { Path.step(); });
      Result.Relay.Delivered += Path.discardDelivered();
    }
  };
  const int64_t BytesBefore = bench::allocatedBytes();
  Run(Load.Flows); // opens all flows
  const double FlowBytes =
      static_cast<double>(bench::allocatedBytes() - BytesBefore);
  Run(Load.Flows); // grows the tables to their steady-state size
  Result = PathResult();
  Run(Load.Datagrams);
  Result.BytesPerFlow = FlowBytes / static_cast<double>(Load.Flows);
  return Result;
}

PathResult measureFlowAgent(const FlowLoad &Load) {
  AgentPath Path;
  ClientPacketSource Clients(Load, FlowsPerAgent, 1);
  const auto Source = bench::openSocket(flowd::frameSocketOptions());
  flows::FrameHeader Header;
  Header.Service = base::serviceIdOf(serviceName(0));
  PathResult Result;
  const auto Run = [&](uint64_t Datagrams) {
    // Each packet passes through the agent twice.
    for (uint64_t Sent = 0; Sent < Datagrams; Sent += 2 * network::MaxBatch) {
      Path.runControlTasks();
      for (size_t I = 0; I < network::MaxBatch; ++I)
        flowd::sendFrame(*Source, Path.input(), Header, Clients.next());
      Source->flush();
      Result.Relay.Offered += 2 * network::MaxBatch;
      measureStep(Result, [&] { Path.relayToTarget(); });
      Result.Relay.Delivered += Path.answerPackets();
      measureStep(Result, [&] { Path.relayToClients(); });
      Result.Relay.Delivered += Path.discardDelivered();
    }
  };
  const int64_t BytesBefore = bench::allocatedBytes();
  Run(2 * FlowsPerAgent); // opens all flows
  const double FlowBytes =
      static_cast<double>(bench::allocatedBytes() - BytesBefore);
  Run(2 * FlowsPerAgent);
  Result = PathResult();
  Run(Load.Datagrams);
  Result.BytesPerFlow = FlowBytes / static_cast<double>(FlowsPerAgent);
  return Result;
}

} // namespace burdockstream::datapath
