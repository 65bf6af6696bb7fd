// The daemon of an agent. It connects the protocol core, FlowAgent, to the
// frames of balancers, the packets, heartbeats and health checks of the target,
// and the agent's entry in the store.
#ifndef BURDOCKSTREAM_FLOWD_AGENTDAEMON_H
#define BURDOCKSTREAM_FLOWD_AGENTDAEMON_H

#include "DecisionLog.h"
#include "FlowReports.h"
#include "FrameSocket.h"
#include "burdockstream/flowd/AgentRegistration.h"
#include "burdockstream/flowd/FlowDaemon.h"
#include "burdockstream/flows/FlowAgent.h"

#include <array>

namespace burdockstream::flowd {

// Thread safety, for all methods: loop thread only.
class AgentDaemon : public FlowDaemon {
public:
  // Precondition: the role of InitSettings is Agent. InitLog must outlive the
  // object. InitOnFinished is called when a shutdown is complete.
  AgentDaemon(FlowSettings InitSettings, FlowEnvironment InitEnvironment,
              EventLog &InitLog, std::function<void()> InitOnFinished);
  ~AgentDaemon() override;

  base::Result<void> start() override;
  void applySettings(const FlowSettings &New) override;
  void beginShutdown() override;

private:
  flows::AgentOptions coreOptions() const;
  flows::AgentHooks coreHooks();
  base::Result<void> openSockets();
  void onFrame(std::span<uint8_t> Datagram, base::SocketAddress From);
  void onTargetDatagram(std::span<uint8_t> Datagram);
  // Answers an HTTP request of an operator or the target.
  void onRequest(const http::ServerRequest &Request, http::Responder &Out);
  ReportSources reports();
  // Returns the HTTP status of the answer.
  unsigned onTargetRequest(const TargetRequest &Request);
  void probeTarget();
  void logTargetState(flows::TargetState From, flows::TargetState To,
                      std::string_view Cause, base::Duration HeartbeatAge);
  // Completes the shutdown once no request waits, at the latest at Latest.
  void finishWhenIdle(base::TimePoint Latest);
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
  std::unique_ptr<network::UdpSocket> Data;     // frames of balancers
  std::unique_ptr<network::UdpSocket> Outbound; // packets of the target
  http::HttpServer Server;
  http::HttpClient Client;
  std::array<base::Histogram *, flows::WorkClasses> ResponseTimes{};
  base::TimePoint LastEntryRewrite{};
  guint Timer = 0;
};

} // namespace burdockstream::flowd

#endif
