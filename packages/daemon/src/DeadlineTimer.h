// A one-shot timer on the GLib main loop, set to the next deadline of a node.
#ifndef BURDOCKSTREAM_DAEMON_DEADLINETIMER_H
#define BURDOCKSTREAM_DAEMON_DEADLINETIMER_H

#include "burdockstream/base/Time.h"

#include <functional>
#include <glib.h>

namespace burdockstream::daemon {

class DeadlineTimer {
public:
  // InitOnDeadline is called from GLib's default main context after each
  // deadline. The timer then stays off until the next set().
  explicit DeadlineTimer(std::function<void()> InitOnDeadline);
  ~DeadlineTimer();
  DeadlineTimer(const DeadlineTimer &) = delete;
  DeadlineTimer &operator=(const DeadlineTimer &) = delete;

  // Sets the timer to Deadline and replaces an earlier one; Never turns it off.
  // Thread safety: loop thread only.
  void set(base::TimePoint Deadline);

private:
  static gboolean dispatch(GSource *Source, GSourceFunc, gpointer);
  struct TimerSource;

  std::function<void()> OnDeadline;
  GSource *Source;
};

} // namespace burdockstream::daemon

#endif
