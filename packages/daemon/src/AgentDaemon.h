// The agent role of burdockstreamd: connects an AgentNode with the sockets, the
// store and the administration API.
#ifndef BURDOCKSTREAM_DAEMON_AGENTDAEMON_H
#define BURDOCKSTREAM_DAEMON_AGENTDAEMON_H

#include "Daemon.h"
#include "DataSocket.h"
#include "DeadlineTimer.h"
#include "OwnersStore.h"
#include "burdockstream/admin/RpcClient.h"
#include "burdockstream/admin/RpcServer.h"
#include "burdockstream/nodes/AgentNode.h"

#include <memory>

namespace burdockstream::daemon {

class AgentDaemon : public Daemon {
public:
  // InitOnShutdownComplete is called once the graceful shutdown is complete.
  // Precondition: InitSettings has an agent part. Thread safety: loop thread
  // only, for all methods.
  AgentDaemon(const settings::DaemonSettings &InitSettings,
              std::function<void()> InitOnShutdownComplete);

  base::Result<void> start() override;
  void beginShutdown() override;

private:
  // Exports the counters of other modules, at most once per ExportInterval.
  void refreshMetrics(base::TimePoint Now);
  void perform(nodes::ActionSink &Actions);
  void perform(nodes::Action &Action);
  void pingEndpoint();
  void transfer(const nodes::TransferBuckets &Action);
  void acknowledge(const nodes::AcknowledgeTransfer &Action);
  std::vector<admin::RpcMethod> methods();
  base::Result<void> openSockets();
  // Passes an event to the node, performs the resulting actions and updates the
  // timer.
  void
  dispatch(const std::function<void(base::Now, nodes::ActionSink &)> &Event);

  settings::DaemonSettings Settings;
  std::function<void()> OnShutdownComplete;
  base::RandomSource Random;
  base::DaemonId Self;
  base::Metrics Registry;
  base::TimePoint NextExport = base::TimePoint::min();
  store::StoreClient Store;
  nodes::AgentNode Node;
  OwnersStore Owners;
  DeadlineTimer Timer;
  std::unique_ptr<DataSocket> Data;
  std::unique_ptr<network::UdpSocket> EndpointSocket;
  std::unique_ptr<network::UdpSocket> PingSocket;
  admin::RpcClient Peers;
  std::unique_ptr<admin::RpcServer> Server;
  uint16_t NextPingId = 0;
};

} // namespace burdockstream::daemon

#endif
