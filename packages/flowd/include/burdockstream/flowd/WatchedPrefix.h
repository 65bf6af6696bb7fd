// Keeps a copy of all keys with a prefix in step with the store: reads them,
// watches them, and starts over when the watch ends.
#ifndef BURDOCKSTREAM_FLOWD_WATCHEDPREFIX_H
#define BURDOCKSTREAM_FLOWD_WATCHEDPREFIX_H

#include "burdockstream/base/Time.h"
#include "burdockstream/store/Store.h"

#include <functional>
#include <glib.h>
#include <memory>
#include <string>

namespace burdockstream::flowd {

struct WatchHooks {
  std::function<void(const store::RangeReply &)> OnSnapshot;
  std::function<void(const store::WatchEvent &)> OnEvent;
  // Called when the store is lost, with the reason, and when it is regained.
  std::function<void(const base::Error &)> OnLost;
  std::function<void()> OnRegained;
};

// After a failure the next attempt follows after the shortest delay, which
// doubles up to the longest one. The longest one bounds how late a change is
// seen after an outage.
inline constexpr base::Duration ShortestRetry = std::chrono::milliseconds(250);
inline constexpr base::Duration LongestRetry = std::chrono::milliseconds(1000);

class WatchedPrefix {
public:
  // Events may be late by Pacing.Pause. Store must outlive the object.
  WatchedPrefix(store::Store &InitStore, std::string InitPrefix,
                store::WatchPacing InitPacing, WatchHooks InitHooks);
  ~WatchedPrefix();
  WatchedPrefix(const WatchedPrefix &) = delete;
  WatchedPrefix &operator=(const WatchedPrefix &) = delete;

  // Begins to read. Thread safety: loop thread only.
  void start();

  // Calls Done once all changes made before this call have been reported. It
  // is not called if the store is lost. Thread safety: loop thread only.
  void catchUp(std::function<void()> Done);

  // Whether the last call succeeded. Thread safety: loop thread only.
  bool inStep() const { return InStep; }

private:
  void read();
  void onRead(base::Result<store::RangeReply> Reply);
  void onEnd(const base::Error &Reason);
  void retry(const base::Error &Reason);
  void setInStep();

  store::Store &Store;
  std::string Prefix;
  store::WatchPacing Pacing;
  WatchHooks Hooks;
  std::unique_ptr<store::Watch> Watch;
  bool InStep = false;
  base::Duration Delay = ShortestRetry;
  guint RetrySource = 0;
  std::shared_ptr<int> Life = std::make_shared<int>(0);
};

} // namespace burdockstream::flowd

#endif
