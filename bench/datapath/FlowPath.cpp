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
constexpr uint32_t FirstAgentIp = 0x7F010001; // all of loopback is local
constexpr uint16_t ServicePort = 443;
constexpr uint64_t FlowsPerClient = 30'000; // ports of one client address

// Longer than all flows take to be visited once, and short enough for flows to
// age during a run.
constexpr base::Duration IdleTimeout = std::chrono::seconds(4);
constexpr base::Duration StatusInterval = std::chrono::milliseconds(250);

// An agent serves one of the 15,000 targets of the design size, which have 52
// million flows.
constexpr size_t FlowsPerAgent = 3'500;

std::string serviceName(size_t Index) {
  return "service" + std::to_string(Index);
}

base::SocketAddress serviceAddress(size_t Index) {
  return {FirstServiceIp + static_cast<uint32_t>(Index), ServicePort};
}

// Writes the packets of clients: each belongs to the next open flow.
class Clients {
public:
  Clients(const FlowLoad &InitLoad, size_t Flows, size_t InitServices)
      : Load(InitLoad), Services(InitServices), FlowOfSlot(Flows),
        IsNew(Flows, true) {
    for (uint64_t I = 0; I < Flows; ++I)
      FlowOfSlot[I] = I;
    NextFlow = Flows;
    // Two packets whose addresses are overwritten; nobody here checks the sum.
    Opening = testing::writePacket({{}, {}, SynFlag, 0, 0});
    Data = testing::writePacket(
        {{}, {}, AckFlag, 1, 1, std::max<size_t>(Load.PayloadBytes, 4)});
  }

  // The bytes are valid until the next call.
  std::span<const uint8_t> next() {
    Slot = (Slot + 1) % FlowOfSlot.size();
    if (++Sent % Load.DatagramsPerNewFlow == 0) {
      FlowOfSlot[Slot] = NextFlow++;
      IsNew[Slot] = true;
    }
    std::vector<uint8_t> &Packet = IsNew[Slot] ? Opening : Data;
    IsNew[Slot] = false;
    const uint64_t Flow = FlowOfSlot[Slot];
    const testing::PacketText Ends{
        {FirstClientIp + static_cast<uint32_t>(Flow / FlowsPerClient),
         static_cast<uint16_t>(1024 + Flow % FlowsPerClient)},
        serviceAddress(Flow % Services)};
    testing::writeEnds(Packet, Ends.From, Ends.To);
    return Packet;
  }

private:
  FlowLoad Load;
  size_t Services;
  std::vector<uint64_t> FlowOfSlot;
  std::vector<bool> IsNew; // the opening packet has not been sent
  std::vector<uint8_t> Opening;
  std::vector<uint8_t> Data;
  uint64_t NextFlow = 0;
  uint64_t Sent = 0;
  size_t Slot = 0;
};

// Time by the datagrams of the load, so that what ages does not depend on the
// machine. Reading it costs what reading the clocks costs a daemon.
class TrafficClock {
public:
  base::TimePoint read() const {
    flowd::readClocks();
    return Now;
  }
  void pass(size_t Datagrams) {
    Now += Datagrams * std::chrono::microseconds(10); // 100,000 a second
  }

private:
  base::TimePoint Now{std::chrono::seconds(100)};
};

int openNull() {
  const int Descriptor = ::open("/dev/null", O_WRONLY | O_CLOEXEC);
  PCHECK(Descriptor >= 0);
  return Descriptor;
}

// Counters and log lines of decisions, as in a daemon.
struct Decisions {
  base::Metrics Registry;
  flowd::EventLog Log{openNull(), "bench", flowd::LogLimits()};
  flowd::DecisionLog Lines{Log, Registry};
};

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

  void step() {
    Ingress->receiveBatch(
        [this](std::span<uint8_t> Datagram, base::SocketAddress) {
          const auto Packet = Codec.Decode(Datagram, flows::Sender::Client);
          CHECK(Packet);
          Core.onClientPacket(*Packet, Clock.read());
        });
    Frames->flush();
    Clock.pass(network::MaxBatch);
  }

  // The work of control, which is not part of the data path.
  void keepUp() {
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
    bench::drain(*Sink); // the hellos
  }

  uint64_t delivered() { return bench::drain(*Sink); }

private:
  flows::BalancerHooks hooks() {
    flows::BalancerHooks Hooks;
    Hooks.SendFrame = [this](base::SocketAddress To,
                             const flows::FrameHeader &Header,
                             std::span<const uint8_t> Body) {
      flowd::sendFrame(*Frames, To, Header, Body);
    };
    Hooks.SendReset = [](const flows::FlowKey &Flow, uint32_t) {
      LOG(FATAL) << "reset of " << flows::toString(Flow);
    };
    Hooks.OnDecision = [this](const flows::FlowDecision &Decision) {
      Noted.Lines.record(Decision, flowd::readClocks());
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
  Decisions Noted;
  flows::FlowBalancer Core;
  base::TimePoint NextStatus{};
  uint64_t Sequence = 0;
};

// One agent: frames come in at one socket, what the target writes at another.
class AgentPath {
public:
  AgentPath()
      : Codec(platform::packetCodec()), Sink(bench::openSocket()),
        Target(bench::openSocket()),
        Data(bench::openSocket(flowd::frameSocketOptions())),
        Outbound(bench::openSocket(flowd::frameSocketOptions())),
        Core(options(Codec), hooks()) {
    beat();
  }

  base::SocketAddress input() const { return Data->localAddress(); }

  // Takes frames to the target; its answers wait at the other socket.
  void toTarget() {
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

  void toClients() {
    Outbound->receiveBatch(
        [this](std::span<uint8_t> Datagram, base::SocketAddress) {
          const auto Packet = Codec.Decode(Datagram, flows::Sender::Target);
          CHECK(Packet);
          Core.onTargetPacket(*Packet, Clock.read());
        });
    Data->flush();
    Clock.pass(2 * network::MaxBatch);
  }

  // Answers what reached the target, and returns how much did.
  uint64_t answer() {
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

  uint64_t delivered() { return bench::drain(*Sink); }

  void keepUp() {
    beat();
    Core.tick(Clock.read());
  }

private:
  void beat() {
    flows::Heartbeat Beat;
    Beat.TargetId = "t";
    Beat.Service = serviceName(0);
    Beat.Sequence = ++Beats;
    Beat.Slots = FlowsPerAgent; // the limit on openings is not measured
    Core.onHeartbeat(Beat, Clock.read());
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
      LOG(FATAL) << "reset of " << flows::toString(Flow);
    };
    Hooks.SendFrame = [this](base::SocketAddress To,
                             const flows::FrameHeader &Header,
                             std::span<const uint8_t> Body) {
      flowd::sendFrame(*Data, To, Header, Body);
    };
    Hooks.Stamp = Codec.Stamp;
    Hooks.ProbeTarget = [] {};
    Hooks.OnDecision = [this](const flows::FlowDecision &Decision) {
      Noted.Lines.record(Decision, flowd::readClocks());
    };
    return Hooks;
  }

  TrafficClock Clock;
  flows::PacketCodec Codec;
  std::unique_ptr<network::UdpSocket> Sink;
  std::unique_ptr<network::UdpSocket> Target;
  std::unique_ptr<network::UdpSocket> Data;
  std::unique_ptr<network::UdpSocket> Outbound;
  Decisions Noted;
  flows::FlowAgent Core;
  uint64_t Beats = 0;
};

} // namespace

PathFigures measureFlowBalancer(const FlowLoad &Load, size_t Services) {
  BalancerPath Path(Services);
  Clients From(Load, Load.Flows, Services);
  const auto Source = bench::openSocket();
  PathFigures Figures;
  const auto Run = [&](uint64_t Datagrams) {
    for (uint64_t Sent = 0; Sent < Datagrams; Sent += network::MaxBatch) {
      Path.keepUp();
      for (size_t I = 0; I < network::MaxBatch; ++I)
        Source->send(From.next(), Path.input());
      Source->flush();
      Figures.Relay.Offered += network::MaxBatch;
      measureStep(Figures, [&] { Path.step(); });
      Figures.Relay.Delivered += Path.delivered();
    }
  };
  const int64_t Before = bench::heldBytes();
  Run(Load.Flows); // opens all flows
  const double Held = static_cast<double>(bench::heldBytes() - Before);
  Run(Load.Flows); // the tables have their sizes of steady state
  Figures = PathFigures();
  Run(Load.Datagrams);
  Figures.BytesPerFlow = Held / static_cast<double>(Load.Flows);
  return Figures;
}

PathFigures measureFlowAgent(const FlowLoad &Load) {
  AgentPath Path;
  Clients From(Load, FlowsPerAgent, 1);
  const auto Source = bench::openSocket(flowd::frameSocketOptions());
  flows::FrameHeader Header;
  Header.Service = base::serviceIdOf(serviceName(0));
  PathFigures Figures;
  const auto Run = [&](uint64_t Datagrams) {
    // Each packet passes the agent twice.
    for (uint64_t Sent = 0; Sent < Datagrams; Sent += 2 * network::MaxBatch) {
      Path.keepUp();
      for (size_t I = 0; I < network::MaxBatch; ++I)
        flowd::sendFrame(*Source, Path.input(), Header, From.next());
      Source->flush();
      Figures.Relay.Offered += 2 * network::MaxBatch;
      measureStep(Figures, [&] { Path.toTarget(); });
      Figures.Relay.Delivered += Path.answer();
      measureStep(Figures, [&] { Path.toClients(); });
      Figures.Relay.Delivered += Path.delivered();
    }
  };
  const int64_t Before = bench::heldBytes();
  Run(2 * FlowsPerAgent); // opens all flows
  const double Held = static_cast<double>(bench::heldBytes() - Before);
  Run(2 * FlowsPerAgent);
  Figures = PathFigures();
  Run(Load.Datagrams);
  Figures.BytesPerFlow = Held / static_cast<double>(FlowsPerAgent);
  return Figures;
}

} // namespace burdockstream::datapath
