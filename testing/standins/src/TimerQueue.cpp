#include "burdockstream/standins/TimerQueue.h"

namespace burdockstream::standins {

namespace {

struct QueueSource {
  GSource Base;
  TimerQueue *Queue;
};

} // namespace

TimerQueue::TimerQueue(GMainContext *Context) {
  static GSourceFuncs Functions = {nullptr, nullptr, dispatch,
                                   nullptr, nullptr, nullptr};
  Source = g_source_new(&Functions, sizeof(QueueSource));
  reinterpret_cast<QueueSource *>(Source)->Queue = this;
  g_source_attach(Source, Context);
}

TimerQueue::~TimerQueue() {
  g_source_destroy(Source);
  g_source_unref(Source);
}

void TimerQueue::arm() {
  g_source_set_ready_time(Source,
                          Timers.empty() ? -1 : Timers.begin()->first.first);
}

TimerQueue::TimerId TimerQueue::after(base::Duration Delay, Callback Action) {
  const int64_t Due = g_get_monotonic_time() + Delay.count();
  const TimerId Id = ++LastId;
  Timers.emplace(Key{Due, Id}, std::move(Action));
  DueTimes.emplace(Id, Due);
  if (Timers.begin()->first.second == Id)
    arm();
  return Id;
}

void TimerQueue::cancel(TimerId Id) {
  const auto Found = DueTimes.find(Id);
  if (Found == DueTimes.end())
    return;
  Timers.erase(Key{Found->second, Id});
  DueTimes.erase(Found);
}

void TimerQueue::fireDue() {
  const int64_t Now = g_get_monotonic_time();
  while (!Timers.empty() && Timers.begin()->first.first <= Now) {
    auto First = Timers.extract(Timers.begin());
    DueTimes.erase(First.key().second);
    First.mapped()();
  }
  arm();
}

gboolean TimerQueue::dispatch(GSource *Source, GSourceFunc, gpointer) {
  reinterpret_cast<QueueSource *>(Source)->Queue->fireDue();
  return G_SOURCE_CONTINUE;
}

base::WallTime wallNow() { return {g_get_real_time() / 1000}; }

base::TimePoint monotonicNow() {
  return base::TimePoint(base::Duration(g_get_monotonic_time()));
}

} // namespace burdockstream::standins
