#include "burdockstream/flowd/WatchedPrefix.h"

#include "burdockstream/network/LoopTimer.h"

#include <algorithm>
#include <utility>

namespace burdockstream::flowd {

WatchedPrefix::WatchedPrefix(store::Store &InitStore, std::string InitPrefix,
                             store::WatchPacing InitPacing,
                             WatchHooks InitHooks)
    : Store(InitStore), Prefix(std::move(InitPrefix)),
      Pacing(std::move(InitPacing)), Hooks(std::move(InitHooks)) {}

WatchedPrefix::~WatchedPrefix() {
  if (RetryTimer != 0)
    g_source_remove(RetryTimer);
}

void WatchedPrefix::start() { read(); }

void WatchedPrefix::read() {
  Watch.reset();
  Store.readPrefix(Prefix, [this, Alive = std::weak_ptr(LifetimeToken)](
                               base::Result<store::RangeReply> Reply) {
    if (!Alive.expired())
      onRead(std::move(Reply));
  });
}

void WatchedPrefix::onRead(base::Result<store::RangeReply> Reply) {
  if (Reply.has_error())
    return retry(Reply.error());
  markSynchronized();
  Hooks.OnSnapshot(Reply.value());
  store::WatchRequest Request;
  Request.Prefix = Prefix;
  Request.StartRevision = Reply.value().StoreRevision + 1;
  Request.Pacing = Pacing;
  Watch = Store.watch(
      Request,
      [this](const store::WatchEvent &Event) {
        markSynchronized();
        Hooks.OnEvent(Event);
      },
      [this](const base::Error &Reason) { onWatchEnd(Reason); });
  if (!CatchUps.empty())
    requestCatchUp();
}

void WatchedPrefix::readAgain() {
  if (Watch && RetryTimer == 0)
    read();
}

void WatchedPrefix::catchUp(std::function<void()> Done) {
  if (!Synchronized)
    return;
  CatchUps.push_back(std::move(Done));
  if (Watch)
    requestCatchUp();
}

void WatchedPrefix::requestCatchUp() {
  Watch->catchUp([this, End = CatchUpsDone + CatchUps.size(),
                  Alive = std::weak_ptr(LifetimeToken)] {
    while (!Alive.expired() && CatchUpsDone < End) {
      const auto Done = std::move(CatchUps.front());
      CatchUps.pop_front();
      ++CatchUpsDone;
      Done();
    }
  });
}

void WatchedPrefix::onWatchEnd(const base::Error &Reason) {
  // The changes take more bytes than an answer may have; the keys themselves
  // take fewer. The store is not lost.
  if (Reason.Kind == base::ErrorKind::LimitExceeded)
    return scheduleRead();
  retry(Reason);
}

void WatchedPrefix::markSynchronized() {
  RetryDelay = MinRetryDelay;
  if (!std::exchange(Synchronized, true) && Hooks.OnRegained)
    Hooks.OnRegained();
}

void WatchedPrefix::retry(const base::Error &Reason) {
  CatchUpsDone += CatchUps.size();
  CatchUps.clear();
  const auto &Report =
      std::exchange(Synchronized, false) ? Hooks.OnLost : Hooks.OnRetryFailed;
  if (Report)
    Report(Reason);
  scheduleRead();
}

void WatchedPrefix::scheduleRead() {
  if (RetryTimer != 0)
    return;
  RetryTimer = network::callLater(RetryDelay, [this] {
    RetryTimer = 0;
    read();
  });
  RetryDelay = std::min(2 * RetryDelay, MaxRetryDelay);
}

} // namespace burdockstream::flowd
