#include "burdockstream/network/LoopTimer.h"

#include <utility>

namespace burdockstream::network {

namespace {

using Action = std::function<void()>;

gboolean runOnce(gpointer Data) {
  (*static_cast<Action *>(Data))();
  return G_SOURCE_REMOVE;
}

gboolean runAgain(gpointer Data) {
  (*static_cast<Action *>(Data))();
  return G_SOURCE_CONTINUE;
}

void destroyAction(gpointer Data) { delete static_cast<Action *>(Data); }

guint add(base::Duration Delay, GSourceFunc Function, Action Run) {
  return g_timeout_add_full(
      G_PRIORITY_DEFAULT, static_cast<guint>(base::toMilliseconds(Delay)),
      Function, new Action(std::move(Run)), destroyAction);
}

} // namespace

guint callLater(base::Duration Delay, std::function<void()> Run) {
  return add(Delay, runOnce, std::move(Run));
}

guint callEvery(base::Duration Interval, std::function<void()> Run) {
  return add(Interval, runAgain, std::move(Run));
}

} // namespace burdockstream::network
