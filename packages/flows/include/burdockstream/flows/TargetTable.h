// The targets that a balancer knows, merged from the agents' entries in the
// store and from the statuses that agents send. An agent that sends statuses
// stays in use while the store lacks its entry. Service and failure domain are
// those of the last statement, a status or a changed entry: an address may be
// used again by another service, whose agent this balancer has no status of.
// An entry that contradicts a recent status may be the older of the two, since
// changes of entries are collected; the agent's next status decides.
#ifndef BURDOCKSTREAM_FLOWS_TARGETTABLE_H
#define BURDOCKSTREAM_FLOWS_TARGETTABLE_H

#include "burdockstream/base/Ids.h"
#include "burdockstream/base/SocketAddress.h"
#include "burdockstream/base/Time.h"
#include "burdockstream/flows/TargetStatus.h"
#include "burdockstream/flows/UnansweredQuestions.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace burdockstream::flows {

// Index of a target in a TargetTable; never reused.
using TargetIndex = uint32_t;
inline constexpr TargetIndex NoTarget = UINT32_MAX;

// An agent's entry in the store.
struct AgentEntry {
  base::SocketAddress Agent;
  std::string Service;
  std::string FailureDomain;
  // The target's process has ended and the agent is leaving, so the target's
  // flows no longer exist. An entry that merely disappears proves neither.
  bool Ended = false;
  // The agent's process is being restarted as planned, and the target runs on.
  // Former builds neither write nor read it.
  bool Restarting = false;

  friend bool operator==(const AgentEntry &, const AgentEntry &) = default;
};

struct Target {
  base::SocketAddress Agent;
  base::ServiceId Service;
  std::string FailureDomain;
  // From the store; empty if the agent was never listed.
  std::string ServiceName;
  std::string EntryDomain;
  bool EntryDisputed = false; // it contradicts the last status
  // The entry announces a restart, after which no status has come.
  bool EntryRestarting = false;
  bool Listed = false; // in the store's list
  base::TimePoint RemovedAt{};
  bool HasStatus = false; // whether a status has arrived
  // Arrival of the last status; before the first, when the target was added.
  base::TimePoint LastStatusAt;
  // Whether this balancer sends hellos to the agent, which then sends statuses.
  // Silence of an agent without a subscription carries no information.
  bool Subscribed = false;
  base::TimePoint SubscribedSince{};
  bool StatusSinceSubscribed = false; // the last status is of this subscription
  // This balancer received hardly any statuses until then, see
  // TargetTable::checkReception(); nothing if it always has.
  std::optional<base::TimePoint> ReceptionSince;
  base::TimePoint NextHello{};
  base::TimePoint NextPolicy{};
  UnansweredQuestions Questions;
  // When a packet was last sent to the agent, or its answer was last awaited.
  base::TimePoint LastUsed{};
  TargetStatus Status;
  bool Evacuated = false;       // its failure domain is evacuated
  uint32_t UnreportedFlows = 0; // flows placed here since the last status
};

// A target gets no new flows when its last status is older than this. Agents
// send several statuses per second.
inline constexpr base::Duration StatusStaleAfter =
    std::chrono::milliseconds(900);

// An agent with a subscription counts as lost without a status for this long.
inline constexpr base::Duration AgentLostAfter =
    std::chrono::milliseconds(1500);

// An agent with a subscription counts as silent for checkReception() after this
// long. Shorter than AgentLostAfter by more than statuses of different agents
// are apart, so that no agent counts as lost before.
inline constexpr base::Duration ReceptionCheckAge =
    std::chrono::milliseconds(1200);

// An overloaded link also loses many statuses before and after it loses most.
// For this long silence proves nothing; meanwhile the entry of an agent that
// has ended leaves the store's list, since its lease lasts 10 s.
inline constexpr base::Duration ReceptionDoubtPeriod = std::chrono::seconds(10);

// Replaces AgentLostAfter and FirstStatusTimeout for an agent that has
// announced its restart, in a status or in its entry: the platform's grace
// period for a shutdown plus the start of the new process.
inline constexpr base::Duration RestartGracePeriod = std::chrono::seconds(9);

// An agent that has never sent a status counts as lost this long after the
// subscription, unless its entry announces a restart. It may be starting, or
// restarting after a crash, which takes about 0.7 s.
inline constexpr base::Duration FirstStatusTimeout =
    std::chrono::milliseconds(1500);

// A target that is not in the store's list is dropped without a status for this
// long.
inline constexpr base::Duration UnlistedRetention = std::chrono::seconds(3);

// Not thread-safe.
class TargetTable {
public:
  // Replaces the list with the complete list of the store. Returns whether any
  // agent was added or removed, or changed its service.
  bool setEntries(const std::vector<AgentEntry> &Entries, base::TimePoint Now);

  // Applies an added or changed entry of the list. An entry with Ended drops
  // the target. Returns whether the agent is new or has another service.
  bool applyEntry(const AgentEntry &Entry, base::TimePoint Now);
  // Applies the removal of an entry. The target stays until expire() drops it.
  void removeEntry(base::SocketAddress Agent, base::TimePoint Now);

  // Applies the service that an agent names in an answer. Returns whether the
  // table had another one.
  bool setAnsweredService(TargetIndex Index, base::ServiceId Service);

  // Applies a status. Returns its target, or null if the status is a duplicate
  // or older than the last one of the same incarnation, or if the agent is
  // unknown and its target has ended.
  Target *update(base::SocketAddress Agent, const TargetStatus &Status,
                 base::TimePoint Now);

  // Drops targets that are not listed and have sent no status for
  // UnlistedRetention. Applies disputed entries of agents that have fallen
  // silent.
  void expire(base::TimePoint Now);

  // Restarts the silence time-out of all agents. For use after the balancer
  // itself was stalled and could not receive statuses.
  void resetSilence(base::TimePoint Now);

  // Returns whether this balancer receives hardly any statuses: more than half
  // of the agents that have sent it one are silent. Its own link is then more
  // likely to be overloaded or cut than all of them to be gone. Silence says
  // nothing while it lasts and for ReceptionDoubtPeriod; that of an agent that
  // sends no status afterwards never does, since it may have dropped the
  // subscription when hellos were lost. The store's list shows which ended.
  bool checkReception(base::TimePoint Now);

  // Returns the target, or null if Index is NoTarget or the target was dropped.
  Target *at(TargetIndex Index) {
    return Index < Targets.size() ? Targets[Index].get() : nullptr;
  }
  const Target *at(TargetIndex Index) const {
    return Index < Targets.size() ? Targets[Index].get() : nullptr;
  }
  // Returns NoTarget if the agent is unknown.
  TargetIndex indexOf(base::SocketAddress Agent) const;

  // Returns the targets of a service, without dropped ones.
  const std::vector<TargetIndex> &ofService(base::ServiceId Service) const;

  const std::unordered_map<base::ServiceId, std::vector<TargetIndex>> &
  services() const {
    return ByService;
  }

  // All targets by index; null where one was dropped.
  const std::vector<std::unique_ptr<Target>> &all() const { return Targets; }
  size_t size() const { return ByAgent.size(); }

private:
  Target &add(base::SocketAddress Agent, base::TimePoint Now);
  void setService(TargetIndex Index, base::ServiceId Service);
  void adoptEntry(Target &Known);
  void drop(TargetIndex Index);

  std::vector<std::unique_ptr<Target>> Targets; // null: dropped
  std::unordered_map<base::SocketAddress, TargetIndex> ByAgent;
  std::unordered_map<base::ServiceId, std::vector<TargetIndex>> ByService;
};

// Returns whether Target may get new flows: it is ready and not evacuated, and
// its status is recent. Thread safety: any thread.
bool acceptsFlows(const Target &Target, base::TimePoint Now);

// Returns whether the last status says that the target's process has ended, and
// this balancer would have received a later one, unless the agent is lost. A
// target whose agent has no subscription may have started since. Thread safety:
// any thread.
bool hasCurrentlyStopped(const Target &Target);

// Returns whether the agent of Target counts as lost: it has a subscription and
// has been silent for longer than its state allows, all the while that this
// balancer received the statuses of others. Thread safety: any thread.
bool isLost(const Target &Target, base::TimePoint Now);

} // namespace burdockstream::flows

#endif
