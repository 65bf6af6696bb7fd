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
  if (RetrySource != 0)
    g_source_remove(RetrySource);
}

void WatchedPrefix::start() { read(); }

void WatchedPrefix::read() {
  Watch.reset();
  Store.readPrefix(Prefix, [this, Alive = std::weak_ptr(Life)](
                               base::Result<store::RangeReply> Reply) {
    if (!Alive.expired())
      onRead(std::move(Reply));
  });
}

void WatchedPrefix::onRead(base::Result<store::RangeReply> Reply) {
  if (Reply.has_error())
    return retry(Reply.error());
  setInStep();
  Hooks.OnSnapshot(Reply.value());
  store::WatchRequest Request;
  Request.Prefix = Prefix;
  Request.StartRevision = Reply.value().StoreRevision + 1;
  Request.Pacing = Pacing;
  Watch = Store.watch(
      Request,
      [this](const store::WatchEvent &Event) {
        setInStep();
        Hooks.OnEvent(Event);
      },
      [this](const base::Error &Reason) { onEnd(Reason); });
}

void WatchedPrefix::catchUp(std::function<void()> Done) {
  if (Watch && InStep)
    Watch->catchUp(std::move(Done));
}

void WatchedPrefix::onEnd(const base::Error &Reason) { retry(Reason); }

void WatchedPrefix::setInStep() {
  Delay = ShortestRetry;
  if (!std::exchange(InStep, true) && Hooks.OnRegained)
    Hooks.OnRegained();
}

void WatchedPrefix::retry(const base::Error &Reason) {
  if (std::exchange(InStep, false) && Hooks.OnLost)
    Hooks.OnLost(Reason);
  if (RetrySource != 0)
    return;
  RetrySource = network::callLater(Delay, [this] {
    RetrySource = 0;
    read();
  });
  Delay = std::min(2 * Delay, LongestRetry);
}

} // namespace burdockstream::flowd
