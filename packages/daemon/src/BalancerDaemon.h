// The balancer role: connects a BalancerNode with the data port, the store and
// the administration API.
#ifndef BURDOCKSTREAM_DAEMON_BALANCERDAEMON_H
#define BURDOCKSTREAM_DAEMON_BALANCERDAEMON_H

#include "CallerPath.h"
#include "Daemon.h"
#include "DataSocket.h"
#include "DeadlineTimer.h"
#include "RecordWriter.h"
#include "WatcherDriver.h"
#include "burdockstream/nodes/BalancerNode.h"

#include <memory>

namespace burdockstream::daemon {

class BalancerDaemon : public Daemon {
public:
  // Thread safety: loop thread only, for all methods.
  BalancerDaemon(const settings::DaemonSettings &InitSettings,
                 std::function<void()> InitOnShutdownComplete);

  base::Result<void> start() override;
  void beginShutdown() override;

private:
  // Refreshes the exported counters at most once per ExportInterval.
  void refreshMetrics(base::TimePoint Now);
  void feed(const std::function<void(base::Now, nodes::ActionSink &)> &Event);
  // Keeps the watcher election informed of the balancers that are alive.
  void refreshRank();
  void learnRecord(const messages::RecordEntry &Record);
  std::vector<admin::RpcMethod> methods();

  settings::DaemonSettings Settings;
  std::function<void()> OnShutdownComplete;
  base::RandomSource Random;
  base::DaemonId Self;
  base::Metrics Registry;
  base::TimePoint NextExport = base::TimePoint::min();
  store::StoreClient Store;
  nodes::BalancerNode Node;
  DeadlineTimer Timer;
  std::unique_ptr<DataSocket> Data;
  std::unique_ptr<CallerPath> Callers;
  WatcherDriver Watcher;
  RecordWriter Writer;
  uint64_t RankedGeneration = 0; // of the balancers when the rank was set
  std::unique_ptr<admin::RpcServer> Server;
};

} // namespace burdockstream::daemon

#endif
