// Runs a balancer's watcher election against the store: performs its actions
// and follows the configuration records while the balancer is an elected
// watcher.
#ifndef BURDOCKSTREAM_DAEMON_WATCHERDRIVER_H
#define BURDOCKSTREAM_DAEMON_WATCHERDRIVER_H

#include "DeadlineTimer.h"
#include "RecordWatch.h"
#include "burdockstream/base/Random.h"
#include "burdockstream/membership/WatcherElection.h"
#include "burdockstream/store/StoreClient.h"

#include <functional>
#include <string>

namespace burdockstream::daemon {

class WatcherDriver {
public:
  // InitClient and Random must outlive the driver. OnRecord is called for each
  // record that the watch reads. Thread safety: loop thread only,
  // for all methods.
  WatcherDriver(store::StoreClient &InitClient, base::RandomSource &Random,
                const std::string &FailureDomain,
                std::function<void(const messages::RecordEntry &)> OnRecord);

  // Sets this balancer's rank among the live balancers of its failure domain.
  void setRank(size_t Rank);

  // Ends the watch and leaves the election. A watcher key that this balancer
  // holds expires with its lease.
  void stop();

  // Returns whether this balancer is an elected watcher.
  bool holdsKey() const { return Election.holdsKey(); }

private:
  void deliver(const membership::watcher::Event &Event);
  void perform(const membership::watcher::Sink &Actions);
  void readKeys();
  void requestLease(const membership::watcher::RequestLease &Action);
  void takeKey(const membership::watcher::TakeKey &Action);
  void keepAlive(const membership::watcher::KeepAlive &Action);
  std::string keyOf(size_t Slot) const;

  store::StoreClient &Client;
  std::string KeyPrefix;
  membership::WatcherElection Election;
  RecordWatch Watch;
  DeadlineTimer Timer;
  bool Stopped = false;
};

} // namespace burdockstream::daemon

#endif
