#include "burdockstream/flows/TargetTable.h"

#include <algorithm>
#include <unordered_set>

namespace burdockstream::flows {

namespace {

// Returns whether the store's entry and the last status name another service or
// failure domain.
bool contradictsStatus(const Target &Known) {
  return base::serviceIdOf(Known.ServiceName) != Known.Status.Service ||
         Known.EntryDomain != Known.Status.FailureDomain;
}

} // namespace

bool TargetTable::setEntries(const std::vector<AgentEntry> &Entries,
                             base::TimePoint Now) {
  std::unordered_set<base::SocketAddress> Present;
  bool Changed = false;
  for (const AgentEntry &Entry : Entries) {
    Present.insert(Entry.Agent);
    Changed = applyEntry(Entry, Now) || Changed;
  }
  for (const auto &Known : Targets)
    if (Known && Known->Listed && Present.count(Known->Agent) == 0) {
      removeEntry(Known->Agent, Now);
      Changed = true;
    }
  return Changed;
}

bool TargetTable::applyEntry(const AgentEntry &Entry, base::TimePoint Now) {
  if (Entry.Ended) {
    if (const TargetIndex Index = indexOf(Entry.Agent); Index != NoTarget)
      drop(Index);
    return false;
  }
  const bool IsNew = indexOf(Entry.Agent) == NoTarget;
  Target &Known = add(Entry.Agent, Now);
  const bool ServiceChanged = IsNew || Known.ServiceName != Entry.Service;
  const bool Changed =
      ServiceChanged || Known.EntryDomain != Entry.FailureDomain;
  Known.Listed = true;
  Known.EntryRestarting = Entry.Restarting;
  Known.ServiceName = Entry.Service;
  Known.EntryDomain = Entry.FailureDomain;
  if (Known.HasStatus && Now - Known.LastStatusAt <= StatusStaleAfter)
    Known.EntryDisputed =
        Known.EntryDisputed || (Changed && contradictsStatus(Known));
  else if (Changed)
    adoptEntry(Known);
  return ServiceChanged;
}

void TargetTable::adoptEntry(Target &Known) {
  Known.EntryDisputed = false;
  Known.FailureDomain = Known.EntryDomain;
  setService(indexOf(Known.Agent), base::serviceIdOf(Known.ServiceName));
}

bool TargetTable::setAnsweredService(TargetIndex Index,
                                     base::ServiceId Service) {
  if (Targets[Index]->Service == Service)
    return false;
  setService(Index, Service);
  return true;
}

void TargetTable::removeEntry(base::SocketAddress Agent, base::TimePoint Now) {
  Target *Known = at(indexOf(Agent));
  if (!Known)
    return;
  Known->Listed = false;
  Known->RemovedAt = Now;
}

Target *TargetTable::update(base::SocketAddress Agent,
                            const TargetStatus &Status, base::TimePoint Now) {
  // The last statuses of an agent may arrive after its entry has ended.
  if (indexOf(Agent) == NoTarget && Status.State == TargetState::Stopped)
    return nullptr;
  Target &Known = add(Agent, Now);
  if (Known.HasStatus && Known.Status.Incarnation == Status.Incarnation &&
      Status.Sequence <= Known.Status.Sequence)
    return nullptr;
  Known.HasStatus = true;
  Known.Questions.recordAnswer();
  Known.EntryDisputed = false;
  Known.EntryRestarting =
      Known.EntryRestarting && Status.State == TargetState::Leaving;
  Known.LastStatusAt = Now;
  Known.StatusSinceSubscribed = Known.Subscribed;
  Known.Status = Status;
  Known.FailureDomain = Status.FailureDomain;
  Known.UnreportedFlows = 0;
  setService(indexOf(Agent), Status.Service);
  return &Known;
}

void TargetTable::expire(base::TimePoint Now) {
  for (const auto &Known : Targets)
    if (Known && Known->EntryDisputed &&
        Now - Known->LastStatusAt > StatusStaleAfter)
      adoptEntry(*Known);
  for (TargetIndex I = 0; I < Targets.size(); ++I)
    if (Targets[I] && !Targets[I]->Listed &&
        Now - std::max(Targets[I]->LastStatusAt, Targets[I]->RemovedAt) >
            UnlistedRetention)
      drop(I);
}

void TargetTable::resetSilence(base::TimePoint Now) {
  for (const auto &Known : Targets)
    if (Known)
      Known->LastStatusAt = Now;
}

bool TargetTable::checkReception(base::TimePoint Now) {
  size_t Heard = 0;
  size_t Silent = 0;
  for (const auto &Known : Targets)
    if (Known && Known->Subscribed && Known->StatusSinceSubscribed)
      ++(Now - Known->LastStatusAt > ReceptionCheckAge ? Silent : Heard);
  if (Silent <= Heard)
    return false;
  for (const auto &Known : Targets)
    if (Known)
      Known->ReceptionSince = Now;
  return true;
}

TargetIndex TargetTable::indexOf(base::SocketAddress Agent) const {
  const auto Found = ByAgent.find(Agent);
  return Found == ByAgent.end() ? NoTarget : Found->second;
}

const std::vector<TargetIndex> &
TargetTable::ofService(base::ServiceId Service) const {
  static const std::vector<TargetIndex> None;
  const auto Found = ByService.find(Service);
  return Found == ByService.end() ? None : Found->second;
}

Target &TargetTable::add(base::SocketAddress Agent, base::TimePoint Now) {
  if (Target *Known = at(indexOf(Agent)))
    return *Known;
  ByAgent[Agent] = static_cast<TargetIndex>(Targets.size());
  Targets.push_back(std::make_unique<Target>());
  Targets.back()->Agent = Agent;
  Targets.back()->LastStatusAt = Now;
  return *Targets.back();
}

void TargetTable::setService(TargetIndex Index, base::ServiceId Service) {
  Target &Known = *Targets[Index];
  if (Known.Service == Service)
    return;
  std::erase(ByService[Known.Service], Index);
  ByService[Service].push_back(Index);
  Known.Service = Service;
}

void TargetTable::drop(TargetIndex Index) {
  std::erase(ByService[Targets[Index]->Service], Index);
  ByAgent.erase(Targets[Index]->Agent);
  Targets[Index].reset();
}

bool acceptsFlows(const Target &Target, base::TimePoint Now) {
  return Target.HasStatus && Target.Status.State == TargetState::Ready &&
         !Target.Evacuated && Now - Target.LastStatusAt <= StatusStaleAfter;
}

bool hasCurrentlyStopped(const Target &Target) {
  return Target.Subscribed && Target.StatusSinceSubscribed &&
         Target.LastStatusAt >= Target.ReceptionSince &&
         Target.Status.State == TargetState::Stopped;
}

bool isLost(const Target &Target, base::TimePoint Now) {
  if (!Target.Subscribed)
    return false;
  const base::TimePoint Since =
      std::max(Target.LastStatusAt, Target.SubscribedSince);
  if (Target.ReceptionSince &&
      (Since < *Target.ReceptionSince ||
       Now - *Target.ReceptionSince <= ReceptionDoubtPeriod))
    return false;
  const base::Duration Silence = Now - Since;
  const bool Leaving =
      Target.HasStatus && Target.Status.State == TargetState::Leaving;
  if (Leaving || Target.EntryRestarting)
    return Silence > RestartGracePeriod;
  return Silence > (Target.HasStatus ? AgentLostAfter : FirstStatusTimeout);
}

} // namespace burdockstream::flows
