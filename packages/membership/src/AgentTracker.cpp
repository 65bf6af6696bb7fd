#include "burdockstream/membership/AgentTracker.h"

#include "burdockstream/membership/Settings.h"

#include <algorithm>

namespace burdockstream::membership {

AgentTracker::Agent &AgentTracker::recordAnnouncement(base::DaemonId Id,
                                                      base::TimePoint Now) {
  Agent &Entry = Agents[Id];
  Entry.LastAnnouncement = Now;
  Entry.Deadline = Now + AgentSilenceTimeout;
  Next = std::min(Next, Entry.Deadline);
  return Entry;
}

void AgentTracker::startTracking(base::DaemonId Id, base::TimePoint Now,
                                 base::Duration GracePeriod) {
  const auto [It, Added] = Agents.try_emplace(Id);
  if (!Added)
    return;
  It->second.LastAnnouncement = Now;
  It->second.Deadline = Now + GracePeriod;
  Next = std::min(Next, It->second.Deadline);
}

void AgentTracker::stopTrackingIfSilent(base::DaemonId Id, base::TimePoint Now,
                                        base::Duration Silence) {
  const auto It = Agents.find(Id);
  if (It != Agents.end() && Now - It->second.LastAnnouncement > Silence)
    Agents.erase(It);
}

std::vector<base::DaemonId>
AgentTracker::takeOverdue(base::TimePoint Now, base::Duration Extension) {
  std::vector<base::DaemonId> Result;
  if (Now < Next)
    return Result;
  Next = base::Never;
  for (auto &[Id, Entry] : Agents) {
    if (Entry.Deadline <= Now) {
      Result.push_back(Id);
      Entry.Deadline = Now + Extension;
    }
    Next = std::min(Next, Entry.Deadline);
  }
  return Result;
}

void AgentTracker::extendDeadlines(base::TimePoint Now) {
  for (auto &[Id, Entry] : Agents)
    Entry.Deadline = std::max(Entry.Deadline, Now + AgentSilenceTimeout);
}

} // namespace burdockstream::membership
