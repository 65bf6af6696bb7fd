#include "BalancerDaemon.h"

#include "BootClock.h"
#include "burdockstream/base/JsonText.h"
#include "burdockstream/flowd/AgentEntries.h"
#include "burdockstream/flowd/PeerState.h"
#include "burdockstream/flowd/StorePacing.h"
#include "burdockstream/network/LoopTimer.h"

#include <algorithm>
#include <utility>

namespace burdockstream::flowd {

namespace {

// Resolution of the core's timers, such as those for searches and statuses.
constexpr base::Duration TickInterval = std::chrono::milliseconds(50);

// The fabric checks readiness twice per second and stops sending packets to a
// balancer after two failed checks; until then a stopping balancer must forward
// packets.
constexpr base::Duration ShutdownDelay = std::chrono::milliseconds(2200);

// If the store has not answered within this time after the start, the balancer
// queries the peers in its settings for their whole state, one per interval.
constexpr base::Duration PeerQueryStartDelay = std::chrono::milliseconds(300);
constexpr base::Duration PeerQueryInterval = std::chrono::milliseconds(300);
// Peers answer from memory within a round trip of about 10 ms; a VM that is
// down does not answer at all. The timeout is short because the balancer does
// not reset unknown flows while a query is pending.
constexpr base::Duration PeerQueryTimeout = std::chrono::milliseconds(250);
// A state may take longer as long as it arrives, see http::ResponseDeadline.
constexpr base::Duration PeerStallTimeout = std::chrono::milliseconds(500);
// A state has routes of 1 MB, which JSON lengthens by a quarter, and 150 bytes
// an agent.
constexpr size_t MaxPeerStateBytes = size_t{8} * 1024 * 1024;

constexpr double BytesPerSecondPerMbps = 1e6 / 8;

// A state with routes is 50 kilobytes or larger. If all balancers requested it
// when they start together, the answers would saturate the link of a small VM
// for a second; so peers that are only queried for agents leave the routes out.
constexpr const char *StatePath = "/v1/state";
constexpr const char *AgentsPath = "/v1/agents"; // the same without routes

} // namespace

BalancerDaemon::BalancerDaemon(FlowSettings InitSettings,
                               FlowEnvironment InitEnvironment,
                               EventLog &InitLog,
                               std::function<void()> InitOnFinished)
    : Settings(std::move(InitSettings)),
      Environment(std::move(InitEnvironment)), Log(InitLog),
      OnFinished(std::move(InitOnFinished)), Decisions(Log, Registry),
      Capacity(Log, Registry),
      Core({Settings.FailureDomain, Settings.ControlAddress,
            Environment.Codec.HeaderBytes,
            Settings.LinkMbps * BytesPerSecondPerMbps, Settings.OpeningAttempt,
            Environment.Codec.CopyTimes},
           coreHooks(), base::newRandomSource()),
      Random(base::newRandomSource()),
      Store(Environment.OpenStore(Settings.StoreAddress)),
      Server([this](const http::ServerRequest &Request,
                    const std::shared_ptr<http::Responder> &Out) {
        onRequest(Request, *Out);
      }),
      StateAnswers(Settings.LinkMbps * BytesPerSecondPerMbps) {}

BalancerDaemon::~BalancerDaemon() {
  if (Timer != 0)
    g_source_remove(Timer);
}

flows::BalancerHooks BalancerDaemon::coreHooks() {
  flows::BalancerHooks Hooks;
  Hooks.SendFrame = [this](base::SocketAddress Agent,
                           const flows::FrameHeader &Header,
                           std::span<const uint8_t> Body) {
    sendFrame(*Frames, Agent, Header, Body);
  };
  Hooks.SendReset = [this](const flows::FlowKey &Flow, uint32_t Sequence) {
    Ingress->send(Environment.Codec.MakeReset(Flow, Sequence),
                  {Flow.Client.Ip, Settings.DataAddress.Port});
  };
  Hooks.OnDecision = [this](const flows::FlowDecision &Decision) {
    Decisions.record(Decision, readClocks());
  };
  Hooks.CatchUp = [this](flows::ViewPart Part, base::TimePoint Since) {
    WatchedPrefix &Watched =
        Part == flows::ViewPart::Routes ? *Routes : *Agents;
    Watched.catchUp([this, Part, Since] {
      Core.markCaughtUp(Part, Since);
      tick(); // packets and searches wait for it
    });
  };
  Hooks.OnNewerRoutes = [this](base::Revision Revision,
                               base::SocketAddress Control) {
    PeerQueries.onNewerRoutes(Revision, Control, readClocks().Monotonic);
    onEraReported(base::eraOf(Revision), Control);
  };
  Hooks.OnEvacuation = [this](const std::string &Domain,
                              const flows::DomainEvacuation &State,
                              base::SocketAddress Source) {
    logEvacuation(Domain, State, Source);
  };
  return Hooks;
}

base::Result<void> BalancerDaemon::openSockets() {
  auto Opened = openFrameSocket(Settings.DataAddress, Ingress);
  if (Opened.has_value())
    Opened = openFrameSocket(Settings.ControlAddress, Frames);
  if (Opened.has_error())
    return Opened;
  for (const auto &Address :
       {Settings.ReadyAddress, std::optional(Settings.ControlAddress),
        Settings.SeedAddress}) {
    if (!Address)
      continue;
    const auto Listening = Server.listen(*Address);
    if (Listening.has_error())
      return Listening.error();
  }
  return boost::outcome_v2::success();
}

base::Result<void> BalancerDaemon::start() {
  const auto Opened = openSockets();
  if (Opened.has_error())
    return Opened.error();
  Ingress->attach(
      nullptr, [this](std::span<uint8_t> Datagram, base::SocketAddress) {
        const auto Packet =
            Environment.Codec.Decode(Datagram, flows::Sender::Client);
        if (Packet)
          Core.onClientPacket(*Packet, readClocks().Monotonic);
        else
          Registry.counter("malformed_packets").add();
      });
  Frames->attach(nullptr,
                 [this](std::span<uint8_t> Datagram, base::SocketAddress From) {
                   onFrame(Datagram, From);
                 });
  StartedAt = readClocks().Monotonic;
  const auto Wait = [this] {
    return watchTimeout(Core.targets().size(), Random);
  };
  Routes = std::make_unique<WatchedPrefix>(
      *Store, Environment.OperatorPrefix,
      store::WatchPacing{[] { return RoutesBatchDelay; }, Wait}, routesHooks());
  Agents = std::make_unique<WatchedPrefix>(
      *Store, std::string(AgentKeyPrefix),
      store::WatchPacing{
          [this] { return agentsBatchDelay(Core.targets().size()); }, Wait},
      agentsHooks());
  Routes->start();
  Agents->start();
  for (const base::SocketAddress Peer : Settings.PeerAddresses)
    onPeerDiscovered(Peer);
  Timer = network::callEvery(TickInterval, [this] { tick(); });
  return boost::outcome_v2::success();
}

void BalancerDaemon::onFrame(std::span<uint8_t> Datagram,
                             base::SocketAddress From) {
  const auto Frame = flows::readFrame(Datagram);
  const base::TimePoint Now = readClocks().Monotonic;
  if (Frame && Frame->Header.Kind == flows::FrameKind::Status) {
    if (const auto Status = flows::unpackStatus(Frame->Body)) {
      if (Status->NewestRoutesAt != base::SocketAddress())
        onPeerDiscovered(Status->NewestRoutesAt);
      return Core.onStatus(From, *Status, Now);
    }
  } else if (Frame && Frame->Header.Kind == flows::FrameKind::Returned) {
    if (const auto Packet = Environment.Codec.DecodeHeader(Frame->Body))
      return Core.onAgentAnswer(From, Frame->Header, *Packet, Now);
  } else if (Frame) {
    const auto Packets = flows::decodeHeaders(Environment.Codec, Frame->Body);
    for (const flows::Packet &Each : Packets)
      Core.onAgentAnswer(From, Frame->Header, Each, Now);
    if (!Packets.empty())
      return;
  }
  Registry.counter("malformed_frames").add();
}

bool BalancerDaemon::isReady() const {
  return !Stopping && Core.canServe(readClocks().Monotonic);
}

void BalancerDaemon::onRequest(const http::ServerRequest &Request,
                               http::Responder &Out) {
  if (Request.Method != "GET")
    return Out.send({405, "text/plain", "only GET is served here\n"});
  if (const auto Report = handleReportRequest(Request, reports()))
    return Out.send(*Report);
  if (Request.Path == StatePath || Request.Path == AgentsPath)
    return sendState(Request.Path == StatePath, Out);
  if (Request.Path == Environment.ReadyPath)
    return Out.send({isReady() ? 200U : 503U, "application/json", "{}"});
  Out.send({404, "text/plain", "no such path\n"});
}

ReportSources BalancerDaemon::reports() {
  ReportSources Sources;
  Sources.Metrics = [this] {
    network::exportCounters(Registry, Ingress->counters(),
                            {{"socket", "packets"}});
    network::exportCounters(Registry, Frames->counters(),
                            {{"socket", "frames"}});
    store::exportCounters(Registry, Store->counters());
    exportState(Registry, Core, readClocks().Monotonic);
    Capacity.exportGauges(readClocks().Monotonic);
    return Registry.snapshot();
  };
  Sources.Daemon = [this] {
    Json::Value Report = describe(Core, readClocks().Monotonic);
    Report["services"] = Capacity.describe(readClocks().Monotonic);
    Report["name"] = Settings.Name;
    Report["ready"] = isReady();
    for (const base::SocketAddress Peer : PeerQueries.queriedPeers())
      Report["peers"].append(base::toString(Peer));
    return Report;
  };
  Sources.Flow = [this](const flows::FlowKey &Flow) {
    return describe(Core.view(Flow));
  };
  return Sources;
}

std::string BalancerDaemon::serializeStateForPeers(bool WithRoutes) const {
  PeerState State;
  if (WithRoutes)
    State = {Core.routesRevision(), RoutesText, {}};
  const base::TimePoint Now = readClocks().Monotonic;
  for (const auto &Each : Core.targets().all())
    if (Each && !Each->ServiceName.empty() && !isLost(*Each, Now))
      State.Agents.push_back(
          {Each->Agent, Each->ServiceName, Each->FailureDomain, false,
           Each->Status.State == flows::TargetState::Leaving});
  return serializePeerState(State);
}

void BalancerDaemon::sendState(bool WithRoutes, http::Responder &Out) {
  // Nearly all of a state with routes is their text.
  if (WithRoutes &&
      !StateAnswers.admit(RoutesText.size(), readClocks().Monotonic)) {
    Registry.counter("state_answers_refused").add();
    return Out.send({503, "text/plain",
                     "the link is busy with answers to other balancers; query "
                     "another one, or later\n"});
  }
  Out.send({200, "application/json", serializeStateForPeers(WithRoutes)});
}

void BalancerDaemon::onPeerDiscovered(base::SocketAddress Peer) {
  if (Peer.Ip != Settings.ControlAddress.Ip &&
      PeerQueries.onPeerDiscovered(Peer))
    queryPeer(Peer, AgentsPath);
}

void BalancerDaemon::queryNextPeer(const char *Path) {
  if (Settings.PeerAddresses.empty())
    return;
  const base::SocketAddress Peer =
      Settings.PeerAddresses[NextPeerIndex++ % Settings.PeerAddresses.size()];
  if (Peer.Ip != Settings.ControlAddress.Ip)
    queryPeer(Peer, Path);
}

void BalancerDaemon::queryPeer(base::SocketAddress Peer, const char *Path) {
  const bool WithRoutes = Path == StatePath;
  http::HttpRequest Request{
      "http://" + base::toString(Peer) + Path, "", {}, PeerQueryTimeout, "GET"};
  Request.StallTimeout = PeerStallTimeout;
  Request.MaxBodyBytes = MaxPeerStateBytes;
  ++PendingPeerQueries;
  Core.setPeersQueried(false);
  if (WithRoutes)
    PeerQueries.setStateQueryPending(true);
  Client.send(Request, [this, Peer, WithRoutes](
                           const base::Result<http::HttpResponse> &Response) {
    Core.setPeersQueried(--PendingPeerQueries == 0);
    if (WithRoutes)
      PeerQueries.setStateQueryPending(false);
    onPeerAnswer(Peer, Response);
  });
}

void BalancerDaemon::onPeerAnswer(
    base::SocketAddress Peer,
    const base::Result<http::HttpResponse> &Response) {
  if (Response.has_value() && Response.value().Status == 200)
    return applyPeerState(Peer, Response.value().Body);
  PeerQueries.clearNewerRoutes(); // retry when the next status names them
  logPeerFailure(Peer, Response.has_error()
                           ? Response.error().Message
                           : std::to_string(Response.value().Status));
}

void BalancerDaemon::logPeerFailure(base::SocketAddress Peer,
                                    const std::string &Reason) {
  Json::Value Fields;
  Fields["peer"] = base::toString(Peer);
  Fields["reason"] = Reason;
  Log.write(LogPriority::Process, "peer_failed", Fields, readClocks());
}

void BalancerDaemon::applyPeerState(base::SocketAddress Peer,
                                    const std::string &Body) {
  const auto State = parsePeerState(Body, base::toString(Peer));
  if (State.has_error())
    return logPeerFailure(Peer, State.error().Message);
  if (State.value().Revision > 0)
    applyRoutes(State.value().Routes, State.value().Revision,
                base::toString(Peer));
  PeerQueries.onAnswer(State.value().Agents.size());
  // These agents may be out of date; they stay in use only if they answer.
  for (const flows::AgentEntry &Each : State.value().Agents)
    Core.addAgentFromPeer(Each, readClocks().Monotonic);
}

void BalancerDaemon::queryPeersIfNeeded(base::TimePoint Now) {
  const bool MayQueryState = PeerQueries.mayQueryState(Store->isReceiving());
  if (MayQueryState)
    if (const auto Peer =
            PeerQueries.takeDueRoutesQuery(Core.routesRevision(), Now))
      return queryPeer(*Peer, StatePath);
  const bool NeedsRoutes = !Core.routes() && MayQueryState;
  const bool NeedsAgents = Core.targets().size() == 0;
  if ((!NeedsRoutes && !NeedsAgents) ||
      Now - StartedAt <= PeerQueryStartDelay || Now < NextPeerQueryAt)
    return;
  NextPeerQueryAt = Now + PeerQueryInterval;
  queryNextPeer(NeedsRoutes ? StatePath : AgentsPath);
}

void BalancerDaemon::tick() {
  const base::Now Now = readClocks();
  Core.tick(Now.Monotonic);
  Capacity.update(Core, Now);
  Log.reportDroppedLines(Now);
  queryPeersIfNeeded(Now.Monotonic);
  if (isReady() != LastLoggedReady) {
    LastLoggedReady = !LastLoggedReady;
    Json::Value Fields;
    Fields["ready"] = LastLoggedReady;
    Fields["agents"] = Json::UInt64(Core.targets().size());
    Log.write(LogPriority::Process, "readiness", Fields, Now);
  }
}

void BalancerDaemon::applySettings(const FlowSettings &New) {
  // The settings of a balancer that can change at run time.
  Settings.PeerAddresses = New.PeerAddresses;
  Settings.GracePeriod = New.GracePeriod;
}

void BalancerDaemon::beginShutdown() {
  Stopping = true;
  network::callLater(std::min(ShutdownDelay, Settings.GracePeriod), OnFinished);
}

} // namespace burdockstream::flowd
