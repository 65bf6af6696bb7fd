#include "AgentShell.h"

#include "BootClock.h"
#include "burdockstream/flowd/AgentEntries.h"
#include "burdockstream/network/LoopTimer.h"

#include <algorithm>
#include <utility>

namespace burdockstream::flowd {

namespace {

// The core's timers: statuses have a resolution of this.
constexpr base::Duration TickInterval = std::chrono::milliseconds(25);

// A check of the target's process on the same VM.
constexpr base::Duration ProbeTimeout = std::chrono::milliseconds(500);

// Before it ends, an agent waits for balancers to learn of it, and for requests
// in progress; other agents cannot answer those.
constexpr base::Duration ShortestLeave = std::chrono::milliseconds(150);
constexpr base::Duration LongestLeave = std::chrono::milliseconds(900);
constexpr base::Duration LeavePoll = std::chrono::milliseconds(25);
constexpr base::Duration WithdrawTime = std::chrono::milliseconds(400);

// A balancer may not yet have seen an entry that was just written.
constexpr base::Duration RewriteInterval = std::chrono::seconds(2);

} // namespace

AgentShell::AgentShell(FlowSettings InitSettings,
                       FlowEnvironment InitEnvironment, EventLog &InitLog,
                       std::function<void()> InitOnFinished)
    : Settings(std::move(InitSettings)),
      Environment(std::move(InitEnvironment)), Log(InitLog),
      OnFinished(std::move(InitOnFinished)), Decisions(Log, Registry),
      Core(coreOptions(), coreHooks()),
      Store(Environment.OpenStore(Settings.Store)),
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
    AnswerTimes[Class] = &Registry.histogram(
        "answer_time",
        {{"service", Settings.Agent->Service},
         {"class",
          std::string(toString(static_cast<flows::WorkClass>(Class)))}});
}

AgentShell::~AgentShell() {
  if (Timer != 0)
    g_source_remove(Timer);
}

flows::AgentOptions AgentShell::coreOptions() const {
  const AgentPart &Part = *Settings.Agent;
  flows::AgentOptions Options;
  Options.Target = {Part.Service, Part.Target};
  Options.FailureDomain = Settings.FailureDomain;
  Options.Incarnation = base::newRandomSource()();
  // One heartbeat may be late by half an interval, but the address must not be
  // in other hands before the target counts as silent.
  Options.HeartbeatOverdue = std::min<base::Duration>(
      Part.HeartbeatInterval * 3 / 2,
      Part.AddressReuseDelay - std::chrono::milliseconds(200));
  Options.PacketHeaderBytes = Environment.Codec.HeaderBytes;
  return Options;
}

flows::AgentHooks AgentShell::coreHooks() {
  flows::AgentHooks Hooks;
  Hooks.DeliverToTarget = [this](std::span<const uint8_t> Bytes) {
    Outbound->send(Bytes, Settings.Agent->Target);
  };
  Hooks.SendToClient = [this](const flows::FlowKey &Flow,
                              std::span<const uint8_t> Bytes) {
    Data->send(Bytes, {Flow.Client.Ip, Settings.Data.Port});
  };
  Hooks.SendReset = [this](const flows::FlowKey &Flow, uint32_t Sequence) {
    Data->send(Environment.Codec.MakeReset(Flow, Sequence),
               {Flow.Client.Ip, Settings.Data.Port});
  };
  Hooks.SendFrame = [this](base::SocketAddress Balancer,
                           const flows::FrameHeader &Header,
                           std::span<const uint8_t> Body) {
    sendFrame(*Data, Balancer, Header, Body);
  };
  Hooks.Stamp = Environment.Codec.Stamp;
  Hooks.ProbeTarget = [this] { probe(); };
  Hooks.OnDecision = [this](const flows::FlowDecision &Decision) {
    Decisions.note(Decision, readClocks());
  };
  Hooks.OnAnswered = [this](flows::WorkClass Class, base::Duration Taken) {
    AnswerTimes[static_cast<size_t>(Class)]->add(Taken);
  };
  Hooks.OnState = [this](auto From, auto To, auto Cause, auto BeatAge) {
    logState(From, To, Cause, BeatAge);
  };
  Hooks.OnEntryMissing = [this](base::SocketAddress) {
    const base::TimePoint Now = readClocks().Monotonic;
    if (Now - LastRewrite < RewriteInterval)
      return;
    LastRewrite = Now;
    Registration.onMissed();
  };
  return Hooks;
}

base::Result<void> AgentShell::openSockets() {
  auto Opened = openFrameSocket(Settings.Data, Data);
  if (Opened.has_value())
    Opened = openFrameSocket(Settings.Agent->Outbound, Outbound);
  if (Opened.has_error())
    return Opened;
  for (const base::SocketAddress Address :
       {Settings.Agent->Heartbeats, Settings.Control}) {
    const auto Listening = Server.listen(Address);
    if (Listening.has_error())
      return Listening.error();
  }
  return boost::outcome_v2::success();
}

base::Result<void> AgentShell::start() {
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

void AgentShell::onFrame(std::span<uint8_t> Datagram,
                         base::SocketAddress From) {
  const auto Frame = flows::readFrame(Datagram);
  const base::TimePoint Now = readClocks().Monotonic;
  if (Frame && Frame->Header.Kind == flows::FrameKind::Hello) {
    if (const auto Hello = flows::unpackHello(Frame->Body))
      return Core.onHello(From, Frame->Header.Routes, *Hello, Now);
  } else if (Frame && Frame->Header.Kind == flows::FrameKind::Search) {
    const auto Packets = flows::decodeHeaders(Environment.Codec, Frame->Body);
    if (!Packets.empty())
      return Core.onSearches(From, Frame->Header, Packets);
  } else if (Frame) {
    const auto Packet =
        Environment.Codec.Decode(Frame->Body, flows::Sender::Client);
    if (Packet)
      return Core.onFrame(From, Frame->Header, *Packet, Now);
  }
  Registry.counter("malformed_frames").add();
}

void AgentShell::onTargetDatagram(std::span<uint8_t> Datagram) {
  const auto Packet = Environment.Codec.Decode(Datagram, flows::Sender::Target);
  if (Packet)
    return Core.onTargetPacket(*Packet, readClocks().Monotonic);
  Registry.counter("malformed_packets").add();
}

void AgentShell::onRequest(const http::ServerRequest &Request,
                           http::Responder &Out) {
  if (const auto Report = answerReport(Request, reports()))
    return Out.send(*Report);
  const TargetCall Call = Environment.Calls.Read(Request);
  if (Call.Kind == TargetCallKind::Unknown)
    return Out.send({404, "text/plain", "no such path\n"});
  const unsigned Status = onCall(Call);
  Out.send({Status, "application/json", "{}"});
}

ReportSources AgentShell::reports() {
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

unsigned AgentShell::onCall(const TargetCall &Call) {
  const base::Now Now = readClocks();
  const flows::Heartbeat &Beat = Call.Beat;
  Json::Value Fields;
  Fields["target_id"] = Beat.TargetId;
  Fields["started_at_ms"] = Json::Int64(Beat.StartedAtMs);
  if (!Call.Problem.empty()) {
    Fields["problem"] = Call.Problem;
    Log.write(LogPriority::Process, "heartbeat_refused", Fields, Now);
    return 400;
  }
  if (Call.Kind == TargetCallKind::Deregister) {
    Fields["current"] =
        Core.onDeregister(Beat.TargetId, Beat.StartedAtMs, Now.Monotonic);
    Log.write(LogPriority::Process, "deregistered", Fields, Now);
    return 200;
  }
  const auto Verdict = Core.onHeartbeat(Beat, Now.Monotonic);
  if (Verdict == flows::HeartbeatVerdict::Accepted)
    return 200;
  Fields["verdict"] = std::string(toString(Verdict));
  Fields["sequence"] = Json::UInt64(Beat.Sequence);
  Fields["service"] = Beat.Service;
  Log.write(LogPriority::Process, "heartbeat", Fields, Now);
  return Verdict == flows::HeartbeatVerdict::Foreign ? 409 : 200;
}

void AgentShell::probe() {
  const http::HttpRequest Request{"http://" +
                                      base::toString(Settings.Agent->Target) +
                                      Environment.Calls.HealthPath,
                                  "",
                                  {},
                                  ProbeTimeout,
                                  "GET"};
  Client.send(Request, [this](const base::Result<http::HttpResponse> &Answer) {
    auto Result = flows::ProbeResult::NoAnswer;
    if (Answer.has_value())
      Result = Answer.value().Status == 200 ? flows::ProbeResult::Healthy
                                            : flows::ProbeResult::Unwilling;
    else if (Answer.error().Kind == base::ErrorKind::Unavailable)
      Result = flows::ProbeResult::NoProcess;
    const base::Now Now = readClocks();
    Json::Value Fields;
    Fields["result"] = std::string(toString(Result));
    Log.write(LogPriority::Process, "target_probed", Fields, Now);
    Core.onProbe(Result, Now.Monotonic);
  });
}

void AgentShell::logState(flows::TargetState From, flows::TargetState To,
                          std::string_view Cause, base::Duration BeatAge) {
  Json::Value Fields;
  Fields["from"] = std::string(toString(From));
  Fields["to"] = std::string(toString(To));
  Fields["cause"] = std::string(Cause);
  Fields["heartbeat_age_ms"] = Json::Int64(base::toMilliseconds(BeatAge));
  Fields["flows"] = Json::UInt64(Core.flows());
  Log.write(LogPriority::Process, "target_state", Fields, readClocks());
}

flows::AgentEntry AgentShell::entry() const {
  return {Settings.Data, Settings.Agent->Service, Settings.FailureDomain};
}

void AgentShell::tick() {
  const base::Now Now = readClocks();
  Core.tick(Now.Monotonic);
  Log.reportDropsAtIntervals(Now);
}

void AgentShell::applySettings(const FlowSettings &New) {
  if (!New.Agent || New.Agent == Settings.Agent)
    return;
  const bool OtherTarget = New.Agent->Service != Settings.Agent->Service ||
                           New.Agent->Target != Settings.Agent->Target;
  Settings.Agent = New.Agent;
  if (!OtherTarget)
    return;
  Core.setTarget({New.Agent->Service, New.Agent->Target},
                 readClocks().Monotonic);
  Registration.set(entry());
}

void AgentShell::beginShutdown() {
  const base::TimePoint Now = readClocks().Monotonic;
  Core.startLeaving(Now);
  network::callLater(ShortestLeave,
                     [this, Now] { leaveWhenIdle(Now + LongestLeave); });
}

void AgentShell::leaveWhenIdle(base::TimePoint Latest) {
  const bool Stopped = Core.state() == flows::TargetState::Stopped;
  if (!Stopped && Core.waiting() > 0 && readClocks().Monotonic < Latest) {
    network::callLater(LeavePoll, [this, Latest] { leaveWhenIdle(Latest); });
    return;
  }
  // An agent that restarts keeps its entry for the next run.
  if (!Stopped)
    return OnFinished();
  network::callLater(WithdrawTime, OnFinished);
  Registration.withdraw(OnFinished);
}

} // namespace burdockstream::flowd
