// A simulated endpoint with a fixed number of slots and a bounded FIFO queue.
// After a cold start its first requests run more slowly.
#ifndef BURDOCKSTREAM_BENCH_POLICY_SIMULATEDENDPOINT_H
#define BURDOCKSTREAM_BENCH_POLICY_SIMULATEDENDPOINT_H

#include "burdockstream/base/Time.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <set>

namespace burdockstream::bench {

// A job to which SimulatedEndpoint::startNext has given a slot.
struct StartedJob {
  uint64_t Job = 0;
  unsigned Slowdown = 1; // multiplies the job's run time
};

class SimulatedEndpoint {
public:
  SimulatedEndpoint(size_t InitSlots, size_t InitQueueLimit, bool InitCold)
      : Slots(InitSlots), QueueLimit(InitQueueLimit),
        ColdRequestsLeft(InitCold ? ColdRequests : 0) {}

  // Queues the job. Returns false if the endpoint sheds it, because all slots
  // are taken and the queue is full. Thread safety: one thread, as for all
  // methods below.
  bool tryAccept(uint64_t Job) {
    if (Running.size() >= Slots && Waiting.size() >= QueueLimit)
      return false;
    Waiting.push_back(Job);
    return true;
  }

  // Gives a free slot to the job that has waited longest and stores it in Next.
  // Returns false if no slot is free or no job waits.
  bool startNext(StartedJob &Next) {
    if (Waiting.empty() || Running.size() >= Slots)
      return false;
    Next = {Waiting.front(), ColdRequestsLeft > 0 ? ColdSlowdown : 1U};
    Waiting.pop_front();
    Running.insert(Next.Job);
    ColdRequestsLeft -= ColdRequestsLeft > 0 ? 1 : 0;
    return true;
  }

  // Frees the slot of a job that has run to its end. Returns false if the job
  // was cancelled before.
  bool finish(uint64_t Job) { return Running.erase(Job) > 0; }

  // Removes the job, whether it waits or runs. Does nothing for an unknown job.
  void cancel(uint64_t Job) {
    Running.erase(Job);
    std::erase(Waiting, Job);
  }

private:
  static constexpr unsigned ColdRequests = 10;
  static constexpr unsigned ColdSlowdown = 2;

  size_t Slots;
  size_t QueueLimit;
  unsigned ColdRequestsLeft;
  std::deque<uint64_t> Waiting;
  std::set<uint64_t> Running;
};

} // namespace burdockstream::bench

#endif
