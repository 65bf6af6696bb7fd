#include "BalancerShell.h"

#include "BootClock.h"
#include "burdockstream/base/JsonText.h"
#include "burdockstream/flowd/AgentEntries.h"
#include "burdockstream/flowd/PeerState.h"
#include "burdockstream/flowd/StorePacing.h"
#include "burdockstream/network/LoopTimer.h"

#include <utility>

namespace burdockstream::flowd {

namespace {

// The core's timers: searches and statuses have a resolution of this.
constexpr base::Duration TickInterval = std::chrono::milliseconds(50);

// The fabric checks readiness twice a second and takes a balancer out after two
// misses; packets keep arriving until then.
constexpr base::Duration LingerTime = std::chrono::milliseconds(2200);

// Once the store has not answered for this long after the start, one peer after
// another is asked for all that it knows.
constexpr base::Duration PeerDelay = std::chrono::milliseconds(300);
constexpr base::Duration PeerRound = std::chrono::milliseconds(300);
// Peers answer from memory, within a round trip of some 10 ms; a VM that is
// down does not answer at all, and no flow is reset while a peer is asked.
constexpr base::Duration PeerTimeout = std::chrono::milliseconds(250);

constexpr double BytesPerSecondAndMbps = 1e6 / 8;

// A state with its routes has 50 kilobytes and more. When all balancers start,
// those answers would fill a small VM's link for a second.
constexpr const char *StatePath = "/v1/state";
constexpr const char *AgentsPath = "/v1/agents"; // the same without routes

} // namespace

BalancerShell::BalancerShell(FlowSettings InitSettings,
                             FlowEnvironment InitEnvironment, EventLog &InitLog,
                             std::function<void()> InitOnFinished)
    : Settings(std::move(InitSettings)),
      Environment(std::move(InitEnvironment)), Log(InitLog),
      OnFinished(std::move(InitOnFinished)), Decisions(Log, Registry),
      Core({Settings.FailureDomain, Settings.Control,
            Environment.Codec.HeaderBytes,
            Settings.LinkMbps * BytesPerSecondAndMbps},
           coreHooks(), base::newRandomSource()),
      Random(base::newRandomSource()),
      Store(Environment.OpenStore(Settings.Store)),
      Server([this](const http::ServerRequest &Request,
                    const std::shared_ptr<http::Responder> &Out) {
        onRequest(Request, *Out);
      }) {}

BalancerShell::~BalancerShell() {
  if (Timer != 0)
    g_source_remove(Timer);
}

flows::BalancerHooks BalancerShell::coreHooks() {
  flows::BalancerHooks Hooks;
  Hooks.SendFrame = [this](base::SocketAddress Agent,
                           const flows::FrameHeader &Header,
                           std::span<const uint8_t> Body) {
    sendFrame(*Frames, Agent, Header, Body);
  };
  Hooks.SendReset = [this](const flows::FlowKey &Flow, uint32_t Sequence) {
    Ingress->send(Environment.Codec.MakeReset(Flow, Sequence),
                  {Flow.Client.Ip, Settings.Data.Port});
  };
  Hooks.OnDecision = [this](const flows::FlowDecision &Decision) {
    Decisions.note(Decision, readClocks());
  };
  Hooks.CatchUp = [this](flows::ViewPart Part) {
    WatchedPrefix &Watched =
        Part == flows::ViewPart::Routes ? *Routes : *Agents;
    Watched.catchUp([this, Part] { Core.markCaughtUp(Part); });
  };
  Hooks.OnNewerRoutes = [this](base::Revision Revision,
                               base::SocketAddress Control) {
    Questions.noteNewerRoutes(Revision, Control, readClocks().Monotonic);
  };
  return Hooks;
}

WatchHooks BalancerShell::storeHooks(const char *What) {
  WatchHooks Hooks;
  Hooks.OnLost = [this, What](const base::Error &Reason) {
    logStore("store_lost", What, &Reason);
    updateFreshness();
  };
  Hooks.OnRegained = [this, What] {
    logStore("store_regained", What, nullptr);
    updateFreshness();
  };
  return Hooks;
}

WatchHooks BalancerShell::routesHooks() {
  WatchHooks Hooks = storeHooks("routes");
  Hooks.OnSnapshot = [this](const store::RangeReply &Reply) {
    for (const store::KeyValue &Each : Reply.Values)
      if (Each.Key == Environment.RoutesKey)
        takeRoutes(Each.Value, Each.ModRevision, "store");
  };
  Hooks.OnEvent = [this](const store::WatchEvent &Event) {
    if (!Event.Deleted && Event.Entry.Key == Environment.RoutesKey)
      takeRoutes(Event.Entry.Value, Event.Entry.ModRevision, "store");
  };
  return Hooks;
}

WatchHooks BalancerShell::agentsHooks() {
  WatchHooks Hooks = storeHooks("agents");
  Hooks.OnSnapshot = [this](const store::RangeReply &Reply) {
    std::vector<flows::AgentEntry> Entries;
    for (const store::KeyValue &Each : Reply.Values) {
      auto Entry = readEntry(Each.Key, Each.Value);
      if (Entry.has_value())
        Entries.push_back(std::move(Entry.value()));
      else
        logStore("entry_refused", "agents", &Entry.error());
    }
    Core.setAgentEntries(Entries, readClocks().Monotonic);
  };
  Hooks.OnEvent = [this](const store::WatchEvent &Event) { takeAgent(Event); };
  return Hooks;
}

void BalancerShell::takeAgent(const store::WatchEvent &Event) {
  const base::TimePoint Now = readClocks().Monotonic;
  if (Event.Deleted) {
    if (const auto Agent = agentOfKey(Event.Entry.Key))
      Core.removeAgentEntry(*Agent, Now);
    return;
  }
  const auto Entry = readEntry(Event.Entry.Key, Event.Entry.Value);
  if (Entry.has_value())
    Core.applyAgentEntry(Entry.value(), Now);
  else
    logStore("entry_refused", "agents", &Entry.error());
}

void BalancerShell::takeRoutes(const std::string &Text, base::Revision Revision,
                               const std::string &Source) {
  const base::Now Now = readClocks();
  if (Core.routes() && Revision <= Core.routesRevision())
    return;
  Json::Value Fields;
  Fields["revision"] = Json::Int64(Revision);
  Fields["source"] = Source;
  auto Table = Environment.ReadRoutes(Text);
  if (Table.has_error()) {
    Fields["problem"] = Table.error().Message;
    return Log.write(LogPriority::Process, "routes_refused", Fields, Now);
  }
  Table.value().Revision = Revision;
  Fields["version"] = Json::UInt64(Table.value().Version);
  Fields["routes"] = Json::UInt64(Table.value().Routes.size());
  Core.setRoutes(std::make_shared<flows::RouteTable>(std::move(Table.value())),
                 Now.Monotonic);
  RoutesText = Text;
  Log.write(LogPriority::Process, "routes_applied", Fields, Now);
  tick(); // agents learn the revision at once
}

void BalancerShell::logStore(const char *Event, const char *What,
                             const base::Error *Reason) {
  Json::Value Fields;
  Fields["watch"] = What;
  if (Reason)
    Fields["reason"] = Reason->Message;
  Log.write(LogPriority::Process, Event, Fields, readClocks());
}

void BalancerShell::updateFreshness() {
  Core.setStoreFresh(Routes && Routes->inStep() && Agents && Agents->inStep());
}

base::Result<void> BalancerShell::openSockets() {
  auto Opened = openFrameSocket(Settings.Data, Ingress);
  if (Opened.has_value())
    Opened = openFrameSocket(Settings.Control, Frames);
  if (Opened.has_error())
    return Opened;
  for (const auto &Address :
       {Settings.Ready, std::optional(Settings.Control), Settings.Seed}) {
    if (!Address)
      continue;
    const auto Listening = Server.listen(*Address);
    if (Listening.has_error())
      return Listening.error();
  }
  return boost::outcome_v2::success();
}

base::Result<void> BalancerShell::start() {
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
  const auto Wait = [this] { return watchWait(Core.targets().size(), Random); };
  Routes = std::make_unique<WatchedPrefix>(
      *Store, Environment.RoutesKey,
      store::WatchPacing{[] { return RoutesPause; }, Wait}, routesHooks());
  Agents = std::make_unique<WatchedPrefix>(
      *Store, std::string(AgentPrefix),
      store::WatchPacing{[this] { return agentsPause(Core.targets().size()); },
                         Wait},
      agentsHooks());
  Routes->start();
  Agents->start();
  for (const base::SocketAddress Peer : Settings.Peers)
    meetPeer(Peer);
  Timer = network::callEvery(TickInterval, [this] { tick(); });
  return boost::outcome_v2::success();
}

void BalancerShell::onFrame(std::span<uint8_t> Datagram,
                            base::SocketAddress From) {
  const auto Frame = flows::readFrame(Datagram);
  const base::TimePoint Now = readClocks().Monotonic;
  if (Frame && Frame->Header.Kind == flows::FrameKind::Status) {
    if (const auto Status = flows::unpackStatus(Frame->Body)) {
      if (Status->NewestRoutesAt != base::SocketAddress())
        meetPeer(Status->NewestRoutesAt);
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

bool BalancerShell::isReady() const {
  return !Stopping && Core.canServe(readClocks().Monotonic);
}

void BalancerShell::onRequest(const http::ServerRequest &Request,
                              http::Responder &Out) {
  if (Request.Method != "GET")
    return Out.send({405, "text/plain", "only GET is served here\n"});
  if (const auto Report = answerReport(Request, reports()))
    return Out.send(*Report);
  if (Request.Path == StatePath || Request.Path == AgentsPath)
    return Out.send(
        {200, "application/json", stateForPeers(Request.Path == StatePath)});
  if (Request.Path == Environment.ReadyPath)
    return Out.send({isReady() ? 200U : 503U, "application/json", "{}"});
  Out.send({404, "text/plain", "no such path\n"});
}

ReportSources BalancerShell::reports() {
  ReportSources Sources;
  Sources.Metrics = [this] {
    network::exportCounters(Registry, Ingress->counters(),
                            {{"socket", "packets"}});
    network::exportCounters(Registry, Frames->counters(),
                            {{"socket", "frames"}});
    store::exportCounters(Registry, Store->counters());
    exportState(Registry, Core, readClocks().Monotonic);
    return Registry.snapshot();
  };
  Sources.Daemon = [this] {
    Json::Value Report = describe(Core, readClocks().Monotonic);
    Report["name"] = Settings.Name;
    Report["ready"] = isReady();
    for (const base::SocketAddress Peer : Questions.known())
      Report["peers"].append(base::toString(Peer));
    return Report;
  };
  Sources.Flow = [this](const flows::FlowKey &Flow) {
    return describe(Core.view(Flow));
  };
  return Sources;
}

std::string BalancerShell::stateForPeers(bool WithRoutes) const {
  PeerState State;
  if (WithRoutes)
    State = {Core.routesRevision(), RoutesText, {}};
  const base::TimePoint Now = readClocks().Monotonic;
  for (const auto &Each : Core.targets().all())
    if (Each && !Each->ServiceName.empty() && !isLost(*Each, Now))
      State.Agents.push_back(
          {Each->Agent, Each->ServiceName, Each->FailureDomain});
  return writePeerState(State);
}

// A peer that was not known before is asked which agents it knows, unless
// enough others have said so.
void BalancerShell::meetPeer(base::SocketAddress Peer) {
  if (Peer.Ip != Settings.Control.Ip && Questions.meet(Peer))
    askPeer(Peer, AgentsPath);
}

// Asks one of the peers in the settings for all that it knows.
void BalancerShell::askNextPeer() {
  if (Settings.Peers.empty())
    return;
  const base::SocketAddress Peer =
      Settings.Peers[NextPeer++ % Settings.Peers.size()];
  if (Peer.Ip != Settings.Control.Ip)
    askPeer(Peer, StatePath);
}

void BalancerShell::askPeer(base::SocketAddress Peer, const char *Path) {
  const http::HttpRequest Request{
      "http://" + base::toString(Peer) + Path, "", {}, PeerTimeout, "GET"};
  ++OpenPeerCalls;
  Core.setPeersQueried(false);
  Client.send(Request, [this, Peer](base::Result<http::HttpResponse> Answer) {
    Core.setPeersQueried(--OpenPeerCalls == 0);
    if (Answer.has_value() && Answer.value().Status == 200)
      return takePeerState(Peer, Answer.value().Body);
    Questions.forgetNewerRoutes(); // ask again when the next status says so
    logPeerFailure(Peer, Answer.has_error()
                             ? Answer.error().Message
                             : std::to_string(Answer.value().Status));
  });
}

void BalancerShell::logPeerFailure(base::SocketAddress Peer,
                                   const std::string &Reason) {
  Json::Value Fields;
  Fields["peer"] = base::toString(Peer);
  Fields["reason"] = Reason;
  Log.write(LogPriority::Process, "peer_failed", Fields, readClocks());
}

void BalancerShell::takePeerState(base::SocketAddress Peer,
                                  const std::string &Body) {
  const auto State = readPeerState(Body, base::toString(Peer));
  if (State.has_error())
    return logPeerFailure(Peer, State.error().Message);
  if (State.value().Revision > 0)
    takeRoutes(State.value().Routes, State.value().Revision,
               base::toString(Peer));
  Questions.noteAnswer(State.value().Agents.size());
  // Agents that are found this way stay in use if they answer.
  for (const flows::AgentEntry &Each : State.value().Agents)
    Core.addAgentFromPeer(Each, readClocks().Monotonic);
}

void BalancerShell::tick() {
  const base::Now Now = readClocks();
  Core.tick(Now.Monotonic);
  Log.reportDropsAtIntervals(Now);
  if (const auto Peer =
          Questions.dueForRoutes(Core.routesRevision(), Now.Monotonic))
    askPeer(*Peer, StatePath);
  const bool Unaided = !Core.routes() || Core.targets().size() == 0;
  if (Unaided && Now.Monotonic - StartedAt > PeerDelay &&
      Now.Monotonic >= NextPeerRound) {
    NextPeerRound = Now.Monotonic + PeerRound;
    askNextPeer();
  }
  if (isReady() != WasReady) {
    WasReady = !WasReady;
    Json::Value Fields;
    Fields["ready"] = WasReady;
    Fields["agents"] = Json::UInt64(Core.targets().size());
    Log.write(LogPriority::Process, "readiness", Fields, Now);
  }
}

void BalancerShell::applySettings(const FlowSettings &New) {
  Settings.Peers = New.Peers; // all that may change while a balancer runs
}

void BalancerShell::beginShutdown() {
  Stopping = true;
  network::callLater(std::min(LingerTime, Settings.GracePeriod), OnFinished);
}

} // namespace burdockstream::flowd
