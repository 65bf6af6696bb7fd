// The process around a FlowAgent: frames of balancers, packets of the target,
// its heartbeats, checks of its process, and the agent's entry in the store.
#ifndef BURDOCKSTREAM_FLOWD_AGENTSHELL_H
#define BURDOCKSTREAM_FLOWD_AGENTSHELL_H

#include "DecisionLog.h"
#include "FlowReports.h"
#include "FrameSocket.h"
#include "burdockstream/flowd/AgentRegistration.h"
#include "burdockstream/flowd/FlowDaemon.h"
#include "burdockstream/flows/FlowAgent.h"

#include <array>

namespace burdockstream::flowd {

class AgentShell : public FlowDaemon {
public:
  AgentShell(FlowSettings InitSettings, FlowEnvironment InitEnvironment,
             EventLog &InitLog, std::function<void()> InitOnFinished);
  ~AgentShell() override;

  base::Result<void> start() override;
  void applySettings(const FlowSettings &New) override;
  void beginShutdown() override;

private:
  flows::AgentOptions coreOptions() const;
  flows::AgentHooks coreHooks();
  base::Result<void> openSockets();
  void onFrame(std::span<uint8_t> Datagram, base::SocketAddress From);
  void onTargetDatagram(std::span<uint8_t> Datagram);
  void onRequest(const http::ServerRequest &Request, http::Responder &Out);
  ReportSources reports();
  unsigned onCall(const TargetCall &Call);
  void probe();
  void logState(flows::TargetState From, flows::TargetState To,
                std::string_view Cause, base::Duration BeatAge);
  void leaveWhenIdle(base::TimePoint Latest);
  flows::AgentEntry entry() const;
  void tick();

  FlowSettings Settings;
  FlowEnvironment Environment;
  EventLog &Log;
  std::function<void()> OnFinished;
  base::Metrics Registry;
  DecisionLog Decisions;
  flows::FlowAgent Core;
  std::unique_ptr<store::Store> Store;
  AgentRegistration Registration;
  std::unique_ptr<network::UdpSocket> Data;
  std::unique_ptr<network::UdpSocket> Outbound;
  http::HttpServer Server;
  http::HttpClient Client;
  std::array<base::Histogram *, flows::WorkClasses> AnswerTimes{};
  base::TimePoint LastRewrite{};
  guint Timer = 0;
};

} // namespace burdockstream::flowd

#endif
