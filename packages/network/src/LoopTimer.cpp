#include "burdockstream/network/LoopTimer.h"

#include <utility>

namespace burdockstream::network {

namespace {

using TimerCallback = std::function<void()>;

gboolean runOnce(gpointer Data) {
  (*static_cast<TimerCallback *>(Data))();
  return G_SOURCE_REMOVE;
}

gboolean runRepeatedly(gpointer Data) {
  (*static_cast<TimerCallback *>(Data))();
  return G_SOURCE_CONTINUE;
}

void destroyCallback(gpointer Data) {
  delete static_cast<TimerCallback *>(Data);
}

guint addTimer(base::Duration Delay, GSourceFunc Function, TimerCallback Run) {
  return g_timeout_add_full(
      G_PRIORITY_DEFAULT, static_cast<guint>(base::toMilliseconds(Delay)),
      Function, new TimerCallback(std::move(Run)), destroyCallback);
}

} // namespace

guint callLater(base::Duration Delay, std::function<void()> Run) {
  return addTimer(Delay, runOnce, std::move(Run));
}

guint callEvery(base::Duration Interval, std::function<void()> Run) {
  return addTimer(Interval, runRepeatedly, std::move(Run));
}

} // namespace burdockstream::network
