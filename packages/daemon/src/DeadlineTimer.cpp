#include "DeadlineTimer.h"

#include <utility>

namespace burdockstream::daemon {

struct DeadlineTimer::TimerSource {
  GSource Base;
  DeadlineTimer *Timer;
};

gboolean DeadlineTimer::dispatch(GSource *Source, GSourceFunc, gpointer) {
  g_source_set_ready_time(Source, -1);
  reinterpret_cast<TimerSource *>(Source)->Timer->OnDeadline();
  return G_SOURCE_CONTINUE;
}

DeadlineTimer::DeadlineTimer(std::function<void()> InitOnDeadline)
    : OnDeadline(std::move(InitOnDeadline)) {
  static GSourceFuncs Functions = {nullptr, nullptr, dispatch,
                                   nullptr, nullptr, nullptr};
  Source = g_source_new(&Functions, sizeof(TimerSource));
  reinterpret_cast<TimerSource *>(Source)->Timer = this;
  g_source_set_ready_time(Source, -1);
  g_source_attach(Source, nullptr);
}

DeadlineTimer::~DeadlineTimer() {
  g_source_destroy(Source);
  g_source_unref(Source);
}

void DeadlineTimer::set(base::TimePoint Deadline) {
  const bool Stopped = Deadline == base::Never;
  g_source_set_ready_time(Source,
                          Stopped ? -1 : Deadline.time_since_epoch().count());
}

} // namespace burdockstream::daemon
