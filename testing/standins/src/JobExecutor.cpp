#include "burdockstream/standins/JobExecutor.h"

#include <algorithm>

namespace burdockstream::standins {

JobExecutor::JobExecutor(TimerQueue &InitTimers, JobOptions InitOptions)
    : Timers(InitTimers), Options(std::move(InitOptions)),
      ColdUntil(monotonicNow() + Options.ColdPeriod) {}

JobExecutor::~JobExecutor() {
  for (const auto &[Id, Run] : Running)
    Timers.cancel(Run.Timer);
}

base::Duration JobExecutor::runTime(const std::string &Path) const {
  base::Duration Time = Options.DefaultRunTime;
  size_t Longest = 0;
  for (const auto &[Prefix, PrefixTime] : Options.RunTimes) {
    if (Path.starts_with(Prefix) && Prefix.size() >= Longest) {
      Longest = Prefix.size();
      Time = PrefixTime;
    }
  }
  return monotonicNow() < ColdUntil ? Time * Options.ColdFactor : Time;
}

JobExecutor::JobId JobExecutor::submit(Job Item, Callback Done) {
  const JobId Id = ++LastId;
  const bool Full =
      Running.size() >= Options.Slots && Queue.size() >= Options.QueueLimit;
  if (Options.Shedding || Full) {
    ++Counters.Shed;
    Done(JobResult::Shed);
    return Id;
  }
  Queue.push_back({Id, std::move(Item), std::move(Done)});
  startNext();
  return Id;
}

void JobExecutor::startNext() {
  while (Running.size() < Options.Slots && !Queue.empty()) {
    QueuedJob Next = std::move(Queue.front());
    Queue.pop_front();
    // Checked when the run starts, not on arrival, because a job may expire in
    // the queue.
    if (Next.Item.NotAfter && wallNow() > *Next.Item.NotAfter) {
      ++Counters.Expired;
      Next.Done(JobResult::Expired);
      continue;
    }
    start(std::move(Next));
  }
}

void JobExecutor::start(QueuedJob Next) {
  const JobId Id = Next.Id;
  const base::Duration Time = runTime(Next.Item.Path);
  Journal.push_back({std::move(Next.Item.RequestId), std::move(Next.Item.Path),
                     Next.Item.Method, wallNow(), std::nullopt, false});
  const auto Timer =
      Timers.after(Time, [this, Id] { finish(Id, JobResult::Completed); });
  Running.emplace(Id,
                  RunningJob{Journal.size() - 1, Timer, std::move(Next.Done)});
}

void JobExecutor::finish(JobId Id, JobResult Outcome) {
  const auto Found = Running.find(Id);
  if (Found == Running.end())
    return;
  const RunningJob Run = std::move(Found->second);
  Running.erase(Found);
  JournalEntry &Entry = Journal[Run.JournalIndex];
  Entry.End = wallNow();
  Entry.Cancelled = Outcome == JobResult::Cancelled;
  ++(Entry.Cancelled ? Counters.CancelledRunning : Counters.Completed);
  Run.Done(Outcome);
  startNext();
}

void JobExecutor::cancel(JobId Id) {
  const auto Found =
      std::find_if(Queue.begin(), Queue.end(),
                   [Id](const QueuedJob &Entry) { return Entry.Id == Id; });
  if (Found != Queue.end()) {
    const Callback Done = std::move(Found->Done);
    Queue.erase(Found);
    ++Counters.CancelledQueued;
    Done(JobResult::Cancelled);
    return;
  }
  const auto Run = Running.find(Id);
  if (Run == Running.end())
    return;
  Timers.cancel(Run->second.Timer);
  finish(Id, JobResult::Cancelled);
}

} // namespace burdockstream::standins
