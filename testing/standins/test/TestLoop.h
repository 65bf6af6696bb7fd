// A GLib main context for tests that use sockets and timers.
#ifndef BURDOCKSTREAM_STANDINS_TEST_TESTLOOP_H
#define BURDOCKSTREAM_STANDINS_TEST_TESTLOOP_H

#include "burdockstream/standins/TimerQueue.h"

#include <glib.h>

namespace burdockstream::standins::testing {

class TestLoop {
public:
  TestLoop() : Context(g_main_context_new()) {}
  ~TestLoop() { g_main_context_unref(Context); }
  TestLoop(const TestLoop &) = delete;
  TestLoop &operator=(const TestLoop &) = delete;

  GMainContext *context() { return Context; }

  // Runs the loop until Condition returns true. Returns false after 30 s, far
  // longer than any condition takes without a fault.
  template <typename ConditionT> bool runUntil(ConditionT Condition) {
    TimerQueue Timers(Context);
    bool Expired = false;
    Timers.after(std::chrono::seconds(30), [&Expired] { Expired = true; });
    while (!Condition() && !Expired)
      g_main_context_iteration(Context, TRUE);
    return !Expired;
  }

  // Runs the loop for the given time.
  void runFor(base::Duration Time) {
    TimerQueue Timers(Context);
    bool Expired = false;
    Timers.after(Time, [&Expired] { Expired = true; });
    while (!Expired)
      g_main_context_iteration(Context, TRUE);
  }

private:
  GMainContext *Context;
};

} // namespace burdockstream::standins::testing

#endif
