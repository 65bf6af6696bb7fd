// Simulated request execution of the endpoint stand-in: jobs queue for a free
// slot, occupy it for a configured time and are recorded in a journal.
#ifndef BURDOCKSTREAM_STANDINS_JOBEXECUTOR_H
#define BURDOCKSTREAM_STANDINS_JOBEXECUTOR_H

#include "burdockstream/base/Time.h"
#include "burdockstream/standins/TimerQueue.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace burdockstream::standins {

struct JobOptions {
  size_t Slots = 2;
  size_t QueueLimit = 2; // jobs that may wait for a slot; more are shed
  base::Duration DefaultRunTime = std::chrono::milliseconds(5);
  std::map<std::string, base::Duration> RunTimes; // by path prefix
  // For this time after the start, run times are multiplied by ColdFactor.
  base::Duration ColdPeriod{0};
  int ColdFactor = 5;
  bool Shedding = false; // refuse all new jobs
};

enum class JobResult : uint8_t {
  Completed,
  Shed,     // refused on arrival; not run
  Expired,  // past its "not after" time when a slot became free; not run
  Cancelled // stopped while running or removed from the queue
};

struct Job {
  std::string RequestId;
  std::string Path;
  uint8_t Method = 0;
  std::optional<base::WallTime> NotAfter;
};

// A job that was started.
struct JournalEntry {
  std::string RequestId;
  std::string Path;
  uint8_t Method = 0;
  base::WallTime Start;
  std::optional<base::WallTime> End; // empty while the job runs
  bool Cancelled = false;
};

struct JobCounters {
  uint64_t Completed = 0;
  uint64_t Shed = 0;
  uint64_t Expired = 0;
  uint64_t CancelledQueued = 0;
  uint64_t CancelledRunning = 0;
};

class JobExecutor {
public:
  using JobId = uint64_t;
  using Callback = std::function<void(JobResult)>;

  // Timers must outlive this object.
  JobExecutor(TimerQueue &Timers, JobOptions Options);
  ~JobExecutor();
  JobExecutor(const JobExecutor &) = delete;
  JobExecutor &operator=(const JobExecutor &) = delete;

  // Queues Item. Done is called once with the result, possibly before submit
  // returns. Thread safety: loop thread only.
  JobId submit(Job Item, Callback Done);

  // Stops the job if it is queued or running; its callback receives Cancelled.
  // An unknown or finished job is ignored. Thread safety: loop thread only.
  void cancel(JobId Id);

  // Options may be changed while jobs run; a change applies to jobs
  // submitted or started later and does not itself start queued jobs. Thread
  // safety: loop thread only.
  JobOptions &options() { return Options; }
  const std::vector<JournalEntry> &journal() const { return Journal; }
  const JobCounters &counters() const { return Counters; }
  size_t running() const { return Running.size(); }
  size_t queued() const { return Queue.size(); }

private:
  struct QueuedJob {
    JobId Id = 0;
    Job Item;
    Callback Done;
  };
  struct RunningJob {
    size_t JournalIndex = 0;
    TimerQueue::TimerId Timer = 0;
    Callback Done;
  };
  base::Duration runTime(const std::string &Path) const;
  void startNext();
  void start(QueuedJob Next);
  void finish(JobId Id, JobResult Outcome);

  TimerQueue &Timers;
  JobOptions Options;
  base::TimePoint ColdUntil;
  JobId LastId = 0;
  std::deque<QueuedJob> Queue;
  std::unordered_map<JobId, RunningJob> Running;
  std::vector<JournalEntry> Journal;
  JobCounters Counters;
};

} // namespace burdockstream::standins

#endif
