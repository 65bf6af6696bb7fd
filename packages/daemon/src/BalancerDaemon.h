// The balancer role of burdockstreamd: connects a BalancerNode with the data
// port, the store and the administration API.
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
  // InitOnShutdownComplete is called once the graceful shutdown is complete.
  // Thread safety: loop thread only, for all methods.
  BalancerDaemon(const settings::DaemonSettings &InitSettings,
                 std::function<void()> InitOnShutdownComplete);

  base::Result<void> start() override;
  void beginShutdown() override;

private:
  // Exports the counters of other modules, at most once per ExportInterval.
  void refreshMetrics(base::TimePoint Now);
  // Passes an event to the node, performs the resulting actions and updates the
  // timer.
  void
  dispatch(const std::function<void(base::Now, nodes::ActionSink &)> &Event);
  // Updates this balancer's rank in the watcher election after a change of the
  // live balancers.
  void updateWatcherRank();
  // Passes a record from the store to the node.
  void applyStoreRecord(const messages::RecordEntry &Record);
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
  uint64_t RankedGeneration = 0; // balancer generation at the last update
  std::unique_ptr<admin::RpcServer> Server;
};

} // namespace burdockstream::daemon

#endif
