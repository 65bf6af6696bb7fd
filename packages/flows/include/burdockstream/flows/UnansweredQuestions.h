// How long a search waits for an agent that may be gone.
//
// Load pattern: a power failure ends hundreds of flows and leaves a few agents
// listed in the store until their leases end, 10 s later. Each search for an
// ended flow asks these agents too. If each one waited as long as the first,
// every request of that time would miss its latency target.
#ifndef BURDOCKSTREAM_FLOWS_UNANSWEREDQUESTIONS_H
#define BURDOCKSTREAM_FLOWS_UNANSWEREDQUESTIONS_H

#include "burdockstream/base/Time.h"

#include <algorithm>
#include <optional>

namespace burdockstream::flows {

// How long a search waits for agents that count as lost, or whose target has
// stopped, before it resets the flow. Such an agent may be alive: after its
// restart it does not know this balancer until the next hello. The time is
// several round trips.
inline constexpr base::Duration LostAgentAnswerTimeout =
    std::chrono::milliseconds(300);

// Replaces LostAgentAnswerTimeout for an agent that has left questions
// unanswered for that long: many round trips to another failure domain, so
// that the answer of an agent that has returned is not missed.
inline constexpr base::Duration FurtherAnswerTimeout =
    std::chrono::milliseconds(60);

// After a pause of this length in the questions, the agent gets the full time
// again: it may have returned meanwhile, and would have received a hello.
inline constexpr base::Duration QuestionPause = std::chrono::seconds(1);

// The questions to one agent that it has not answered. Not thread-safe.
class UnansweredQuestions {
public:
  // Records a question. Precondition: Now does not decrease between calls.
  void ask(base::TimePoint Now) {
    if (!First || Now - Last > QuestionPause)
      First = Now;
    Last = Now;
  }

  // Returns until when the answer to a question of AskedAt is awaited.
  base::TimePoint answerBy(base::TimePoint AskedAt) const {
    return std::max(First.value_or(AskedAt) + LostAgentAnswerTimeout,
                    AskedAt + FurtherAnswerTimeout);
  }

  // Records that the agent has sent an answer or a status.
  void recordAnswer() { First.reset(); }

private:
  std::optional<base::TimePoint> First; // since the last answer
  base::TimePoint Last;
};

} // namespace burdockstream::flows

#endif
