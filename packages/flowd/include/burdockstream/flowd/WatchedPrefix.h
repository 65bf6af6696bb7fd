// Mirrors all keys with a prefix from the store: reads them, watches them for
// changes, and reads them again when the watch ends.
//
// Load pattern: values of a megabyte that change in quick succession. A watch
// answers with each version, and a link that is slower than the changes falls
// further behind with each answer. The store client refuses an answer beyond a
// few values, and the mirror reads the newest ones instead.
#ifndef BURDOCKSTREAM_FLOWD_WATCHEDPREFIX_H
#define BURDOCKSTREAM_FLOWD_WATCHEDPREFIX_H

#include "burdockstream/base/Time.h"
#include "burdockstream/store/Store.h"

#include <deque>
#include <functional>
#include <glib.h>
#include <memory>
#include <string>

namespace burdockstream::flowd {

struct WatchHooks {
  // All current keys; replaces what was reported before.
  std::function<void(const store::RangeReply &)> OnSnapshot;
  // A change of one key since the snapshot.
  std::function<void(const store::WatchEvent &)> OnEvent;
  // The connection to the store is lost, with the reason.
  std::function<void(const base::Error &)> OnLost;
  // A further call has failed, since the start or since OnLost.
  std::function<void(const base::Error &)> OnRetryFailed;
  // The first successful call, and the first one after OnLost.
  std::function<void()> OnRegained;
};

// Delay before the first retry; it doubles with each further failure up to
// MaxRetryDelay, which bounds the delay of changes after an outage.
inline constexpr base::Duration MinRetryDelay = std::chrono::milliseconds(250);
inline constexpr base::Duration MaxRetryDelay = std::chrono::milliseconds(1000);

class WatchedPrefix {
public:
  // Events may be delayed by up to Pacing.Pause. Store must outlive the object.
  WatchedPrefix(store::Store &InitStore, std::string InitPrefix,
                store::WatchPacing InitPacing, WatchHooks InitHooks);
  ~WatchedPrefix();
  WatchedPrefix(const WatchedPrefix &) = delete;
  WatchedPrefix &operator=(const WatchedPrefix &) = delete;

  // Starts the first read. Thread safety: loop thread only.
  void start();

  // Reads all keys again and watches from there, unless a read is due anyway.
  // Thread safety: loop thread only.
  void readAgain();

  // Calls Done once an answer of the store, to a call that was sent after this
  // one, shows that all changes made before have been reported. Done is not
  // called if the store is unavailable or becomes so. Thread safety: loop
  // thread only.
  void catchUp(std::function<void()> Done);

  // Returns whether the last call to the store succeeded. Thread safety: loop
  // thread only.
  bool isSynchronized() const { return Synchronized; }

private:
  void read();
  void onRead(base::Result<store::RangeReply> Reply);
  void onWatchEnd(const base::Error &Reason);
  void retry(const base::Error &Reason);
  // Reads all keys after RetryDelay, unless that is scheduled.
  void scheduleRead();
  void markSynchronized();
  // Passes the requests in CatchUps on to the watch.
  void requestCatchUp();

  store::Store &Store;
  std::string Prefix;
  store::WatchPacing Pacing;
  WatchHooks Hooks;
  std::unique_ptr<store::Watch> Watch;
  bool Synchronized = false;
  // Requests without an answer; they outlive a watch that is replaced.
  std::deque<std::function<void()>> CatchUps;
  uint64_t CatchUpsDone = 0; // requests that have left CatchUps
  base::Duration RetryDelay = MinRetryDelay;
  guint RetryTimer = 0;
  // Expires with the object; pending callbacks hold weak references to it.
  std::shared_ptr<int> LifetimeToken = std::make_shared<int>(0);
};

} // namespace burdockstream::flowd

#endif
