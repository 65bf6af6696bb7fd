#include "AgentDaemon.h"

#include "BootClock.h"
#include "burdockstream/flowd/AgentEntries.h"
#include "burdockstream/network/LoopTimer.h"

#include <algorithm>
#include <utility>

namespace burdockstream::flowd {

namespace {

// Resolution of the core's timers, such as those for statuses.
constexpr base::Duration TickInterval = std::chrono::milliseconds(25);

// For a health check of the target, which runs on the same VM.
constexpr base::Duration ProbeTimeout = std::chrono::milliseconds(500);

// A stopping agent waits until balancers have been notified and requests in
// progress are complete, because other agents cannot answer these requests.
constexpr base::Duration MinShutdownDelay = std::chrono::milliseconds(150);
constexpr base::Duration MaxShutdownDelay = std::chrono::milliseconds(900);
constexpr base::Duration ShutdownPollInterval = std::chrono::milliseconds(25);
// Time after which the process ends even if the store has not confirmed the
// removal of the entry.
constexpr base::Duration DeregistrationTimeout = std::chrono::milliseconds(400);

// Limits rewrites of the entry: a balancer may report it missing because it has
// not yet received the last write.
constexpr base::Duration MinEntryRewriteInterval = std::chrono::seconds(2);

// The target counts as silent this long before its address may be reused.
constexpr base::Duration AddressReuseMargin = std::chrono::milliseconds(200);

// Returns the age of the last heartbeat from which on the target counts as
// silent. A heartbeat may be late by half an interval.
base::Duration heartbeatOverdue(const AgentSettings &Agent) {
  return std::min<base::Duration>(Agent.HeartbeatInterval * 3 / 2,
                                  Agent.AddressReuseDelay - AddressReuseMargin);
}

} // namespace

AgentDaemon::AgentDaemon(FlowSettings InitSettings,
                         FlowEnvironment InitEnvironment, EventLog &InitLog,
                         std::function<void()> InitOnFinished)
    : Settings(std::move(InitSettings)),
      Environment(std::move(InitEnvironment)), Log(InitLog),
      OnFinished(std::move(InitOnFinished)), Decisions(Log, Registry),
      Core(coreOptions(), coreHooks()),
      Store(Environment.OpenStore(Settings.StoreAddress)),
      Registration(*Store, {[this](const base::Error &Reason) {
                              Json::Value Fields;
                              Fields["reason"] = Reason.Message;
                              Log.write(LogPriority::Process, "entry_lost",
                                        Fields, readClocks());
                            },
                            [this](store::LeaseId Lease) {
                              Json::Value Fields;
                              Fields["lease"] = Json::Int64(Lease);
                              Log.write(LogPriority::Process, "entry_written",
                                        Fields, readClocks());
                            }}),
      Server([this](const http::ServerRequest &Request,
                    const std::shared_ptr<http::Responder> &Out) {
        onRequest(Request, *Out);
      }) {
  for (size_t Class = 0; Class < flows::WorkClasses; ++Class)
    ResponseTimes[Class] = &Registry.histogram(
        "answer_time",
        {{"service", Settings.Agent->Service},
         {"class",
          std::string(toString(static_cast<flows::WorkClass>(Class)))}});
}

AgentDaemon::~AgentDaemon() {
  if (Timer != 0)
    g_source_remove(Timer);
}

flows::AgentOptions AgentDaemon::coreOptions() const {
  const AgentSettings &Agent = *Settings.Agent;
  flows::AgentOptions Options;
  Options.Target = {Agent.Service, Agent.TargetAddress};
  Options.FailureDomain = Settings.FailureDomain;
  Options.Incarnation = base::newRandomSource()();
  Options.HeartbeatOverdue = heartbeatOverdue(Agent);
  Options.HeartbeatInterval = Agent.HeartbeatInterval;
  Options.PacketHeaderBytes = Environment.Codec.HeaderBytes;
  return Options;
}

flows::AgentHooks AgentDaemon::coreHooks() {
  flows::AgentHooks Hooks;
  Hooks.DeliverToTarget = [this](std::span<const uint8_t> Bytes) {
    Outbound->send(Bytes, Settings.Agent->TargetAddress);
  };
  Hooks.SendToClient = [this](const flows::FlowKey &Flow,
                              std::span<const uint8_t> Bytes) {
    Data->send(Bytes, {Flow.Client.Ip, Settings.DataAddress.Port});
  };
  Hooks.SendReset = [this](const flows::FlowKey &Flow, uint32_t Sequence) {
    Data->send(Environment.Codec.MakeReset(Flow, Sequence),
               {Flow.Client.Ip, Settings.DataAddress.Port});
  };
  Hooks.SendFrame = [this](base::SocketAddress Balancer,
                           const flows::FrameHeader &Header,
                           std::span<const uint8_t> Body) {
    sendFrame(*Data, Balancer, Header, Body);
  };
  Hooks.Stamp = Environment.Codec.Stamp;
  Hooks.ProbeTarget = [this] { probeTarget(); };
  Hooks.OnDecision = [this](const flows::FlowDecision &Decision) {
    Decisions.record(Decision, readClocks());
  };
  Hooks.OnAnswered = [this](flows::WorkClass Class, base::Duration Elapsed) {
    ResponseTimes[static_cast<size_t>(Class)]->add(Elapsed);
  };
  Hooks.OnState = [this](auto From, auto To, auto Cause, auto HeartbeatAge) {
    logTargetState(From, To, Cause, HeartbeatAge);
  };
  Hooks.OnEvacuation = [this](const flows::DomainEvacuation &State,
                              base::SocketAddress Balancer) {
    Json::Value Fields;
    Fields["failure_domain"] = Settings.FailureDomain;
    Fields["evacuated"] = State.Evacuated;
    Fields["revision"] = Json::Int64(State.Revision);
    Fields["source"] = base::toString(Balancer);
    Fields["flows"] = Json::UInt64(Core.flows());
    Log.write(LogPriority::Process, "evacuation", Fields, readClocks());
  };
  Hooks.OnEjected = [this](base::Duration Time) {
    Json::Value Fields;
    Fields["for_ms"] = Json::Int64(base::toMilliseconds(Time));
    Fields["waiting"] = Core.waiting();
    Log.write(LogPriority::Process, "target_ejected", Fields, readClocks());
    Registry.counter("ejections").add();
  };
  Hooks.OnEntryMissing = [this](base::SocketAddress) {
    const base::TimePoint Now = readClocks().Monotonic;
    if (Now - LastEntryRewrite < MinEntryRewriteInterval)
      return;
    LastEntryRewrite = Now;
    Registration.onEntryMissing();
  };
  return Hooks;
}

base::Result<void> AgentDaemon::openSockets() {
  auto Opened = openFrameSocket(Settings.DataAddress, Data);
  if (Opened.has_value())
    Opened = openFrameSocket(Settings.Agent->OutboundAddress, Outbound);
  if (Opened.has_error())
    return Opened;
  for (const base::SocketAddress Address :
       {Settings.Agent->HeartbeatAddress, Settings.ControlAddress}) {
    const auto Listening = Server.listen(Address);
    if (Listening.has_error())
      return Listening.error();
  }
  return boost::outcome_v2::success();
}

base::Result<void> AgentDaemon::start() {
  const auto Opened = openSockets();
  if (Opened.has_error())
    return Opened.error();
  Data->attach(nullptr,
               [this](std::span<uint8_t> Datagram, base::SocketAddress From) {
                 onFrame(Datagram, From);
               });
  Outbound->attach(nullptr,
                   [this](std::span<uint8_t> Datagram, base::SocketAddress) {
                     onTargetDatagram(Datagram);
                   });
  Core.start(readClocks().Monotonic);
  Registration.set(entry());
  Timer = network::callEvery(TickInterval, [this] { tick(); });
  return boost::outcome_v2::success();
}

void AgentDaemon::onFrame(std::span<uint8_t> Datagram,
                          base::SocketAddress From) {
  const auto Frame = flows::readFrame(Datagram);
  const base::TimePoint Now = readClocks().Monotonic;
  if (Frame && Frame->Header.Kind == flows::FrameKind::Hello) {
    if (const auto Hello = flows::unpackHello(Frame->Body))
      return Core.onHello(From, Frame->Header.Routes, *Hello, Now);
  } else if (Frame && Frame->Header.Kind == flows::FrameKind::Policy) {
    if (const auto Policy = flows::unpackPolicy(Frame->Body))
      return Core.onPolicy(From, Frame->Header.Routes, *Policy, Now);
  } else if (Frame && Frame->Header.Kind == flows::FrameKind::Search) {
    const auto Packets = flows::decodeHeaders(Environment.Codec, Frame->Body);
    if (!Packets.empty())
      return Core.onSearches(From, Packets);
  } else if (Frame) {
    const auto Packet =
        Environment.Codec.Decode(Frame->Body, flows::Sender::Client);
    if (Packet)
      return Core.onFrame(From, Frame->Header, *Packet, Now);
  }
  Registry.counter("malformed_frames").add();
}

void AgentDaemon::onTargetDatagram(std::span<uint8_t> Datagram) {
  const auto Packet = Environment.Codec.Decode(Datagram, flows::Sender::Target);
  if (Packet)
    return Core.onTargetPacket(*Packet, readClocks().Monotonic);
  Registry.counter("malformed_packets").add();
}

void AgentDaemon::onRequest(const http::ServerRequest &Request,
                            http::Responder &Out) {
  if (const auto Report = handleReportRequest(Request, reports()))
    return Out.send(*Report);
  const TargetRequest Parsed = Environment.Api.Parse(Request);
  if (Parsed.Kind == TargetRequestKind::Unknown)
    return Out.send({404, "text/plain", "no such path\n"});
  const unsigned Status = onTargetRequest(Parsed);
  Out.send({Status, "application/json", "{}"});
}

ReportSources AgentDaemon::reports() {
  ReportSources Sources;
  Sources.Metrics = [this] {
    network::exportCounters(Registry, Data->counters(), {{"socket", "frames"}});
    network::exportCounters(Registry, Outbound->counters(),
                            {{"socket", "packets"}});
    store::exportCounters(Registry, Store->counters());
    exportState(Registry, Core, readClocks().Monotonic);
    return Registry.snapshot();
  };
  Sources.Daemon = [this] {
    Json::Value Report = describe(Core, readClocks().Monotonic);
    Report["name"] = Settings.Name;
    return Report;
  };
  Sources.Flow = [this](const flows::FlowKey &Flow) {
    return describe(Core.view(Flow));
  };
  return Sources;
}

unsigned AgentDaemon::onTargetRequest(const TargetRequest &Request) {
  const base::Now Now = readClocks();
  flows::Heartbeat Heartbeat = Request.Heartbeat;
  Heartbeat.StartsInFuture =
      Heartbeat.StartedAtMs - base::toMilliseconds(flows::MaxClockDifference) >
      Now.Wall.Milliseconds;
  Json::Value Fields;
  Fields["target_id"] = Heartbeat.TargetId;
  Fields["started_at_ms"] = Json::Int64(Heartbeat.StartedAtMs);
  if (!Request.Problem.empty()) {
    Fields["problem"] = Request.Problem;
    Log.write(LogPriority::Process, "heartbeat_refused", Fields, Now);
    return 400;
  }
  if (Request.Kind == TargetRequestKind::Deregister) {
    const flows::EndVerdict Verdict = Core.onDeregister(
        Heartbeat.TargetId, Heartbeat.StartedAtMs, Now.Monotonic);
    Fields["verdict"] = std::string(toString(Verdict));
    Log.write(LogPriority::Process, "deregistered", Fields, Now);
    return 200;
  }
  const auto Verdict = Core.onHeartbeat(Heartbeat, Now.Monotonic);
  if (Verdict == flows::HeartbeatVerdict::Accepted)
    return 200;
  Fields["verdict"] = std::string(toString(Verdict));
  Fields["sequence"] = Json::UInt64(Heartbeat.Sequence);
  Fields["service"] = Heartbeat.Service;
  Log.write(LogPriority::Process, "heartbeat", Fields, Now);
  return Verdict == flows::HeartbeatVerdict::Foreign ? 409 : 200;
}

void AgentDaemon::probeTarget() {
  const http::HttpRequest Request{
      "http://" + base::toString(Settings.Agent->TargetAddress) +
          Environment.Api.HealthPath,
      "",
      {},
      ProbeTimeout,
      "GET"};
  Client.send(Request, [this, StartedAt = readClocks().Monotonic](
                           const base::Result<http::HttpResponse> &Response) {
    auto Result = flows::ProbeResult::NoAnswer;
    if (Response.has_value())
      Result = Response.value().Status == 200 ? flows::ProbeResult::Healthy
                                              : flows::ProbeResult::Unwilling;
    else if (Response.error().Kind == base::ErrorKind::Unavailable)
      Result = flows::ProbeResult::NoProcess;
    const base::Now Now = readClocks();
    Json::Value Fields;
    Fields["result"] = std::string(toString(Result));
    Log.write(LogPriority::Process, "target_probed", Fields, Now);
    Core.onProbe(Result, StartedAt, Now.Monotonic);
  });
}

void AgentDaemon::logTargetState(flows::TargetState From, flows::TargetState To,
                                 std::string_view Cause,
                                 base::Duration HeartbeatAge) {
  Json::Value Fields;
  Fields["from"] = std::string(toString(From));
  Fields["to"] = std::string(toString(To));
  Fields["cause"] = std::string(Cause);
  Fields["heartbeat_age_ms"] = Json::Int64(base::toMilliseconds(HeartbeatAge));
  Fields["flows"] = Json::UInt64(Core.flows());
  Log.write(LogPriority::Process, "target_state", Fields, readClocks());
}

flows::AgentEntry AgentDaemon::entry() const {
  return {Settings.DataAddress, Settings.Agent->Service,
          Settings.FailureDomain};
}

void AgentDaemon::tick() {
  const base::Now Now = readClocks();
  Core.tick(Now.Monotonic);
  Log.reportDroppedLines(Now);
}

void AgentDaemon::applySettings(const FlowSettings &New) {
  if (!New.Agent || New.Agent == Settings.Agent)
    return;
  const bool TargetChanged =
      New.Agent->Service != Settings.Agent->Service ||
      New.Agent->TargetAddress != Settings.Agent->TargetAddress;
  Settings.Agent = New.Agent;
  Core.setHeartbeatTimes(Settings.Agent->HeartbeatInterval,
                         heartbeatOverdue(*Settings.Agent));
  if (!TargetChanged)
    return;
  Core.setTarget({New.Agent->Service, New.Agent->TargetAddress},
                 readClocks().Monotonic);
  Registration.set(entry());
}

void AgentDaemon::beginShutdown() {
  const base::TimePoint Now = readClocks().Monotonic;
  Core.startLeaving(Now);
  network::callLater(MinShutdownDelay,
                     [this, Now] { finishWhenIdle(Now + MaxShutdownDelay); });
}

void AgentDaemon::finishWhenIdle(base::TimePoint Latest) {
  const bool Stopped = Core.state() == flows::TargetState::Stopped;
  if (!Stopped && Core.waiting() > 0 && readClocks().Monotonic < Latest) {
    network::callLater(ShutdownPollInterval,
                       [this, Latest] { finishWhenIdle(Latest); });
    return;
  }
  network::callLater(DeregistrationTimeout, OnFinished);
  // If the target still runs, this is a restart of the agent only; the next run
  // uses the same entry.
  if (!Stopped)
    Registration.announceRestart(OnFinished);
  else
    Registration.deregister(OnFinished);
}

} // namespace burdockstream::flowd
