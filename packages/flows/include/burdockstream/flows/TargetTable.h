// What a balancer knows of the targets: which agents are listed in the store,
// and what each agent says of its target. A status is newer than any list, so
// an agent that is heard stays in use while the store has lost its entry.
#ifndef BURDOCKSTREAM_FLOWS_TARGETTABLE_H
#define BURDOCKSTREAM_FLOWS_TARGETTABLE_H

#include "burdockstream/base/Ids.h"
#include "burdockstream/base/SocketAddress.h"
#include "burdockstream/base/Time.h"
#include "burdockstream/flows/TargetStatus.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace burdockstream::flows {

using TargetIndex = uint32_t;
inline constexpr TargetIndex NoTarget = UINT32_MAX;

// An agent's entry in the store.
struct AgentEntry {
  base::SocketAddress Agent;
  std::string Service;
  std::string FailureDomain;
  // The agent has seen its target end and is leaving: the target's flows are
  // gone. Where an entry only vanishes, nobody knows.
  bool Ended = false;

  friend bool operator==(const AgentEntry &, const AgentEntry &) = default;
};

struct Target {
  base::SocketAddress Agent;
  base::ServiceId Service;
  std::string ServiceName; // as listed; empty if the agent never was
  std::string FailureDomain;
  bool Listed = false;
  base::TimePoint UnlistedAt{};
  bool Heard = false;        // whether a status has arrived
  base::TimePoint LastHeard; // of the last status; before the first, of listing
  // A greeted agent sends statuses; the silence of another one means nothing.
  bool Greeted = false;
  base::TimePoint GreetedSince{};
  base::TimePoint NextHello{};
  base::TimePoint
      LastNeeded{}; // a flow of its target passed, or it was awaited
  TargetStatus Status;
  uint32_t Unreported = 0; // flows placed since the last status
};

// An agent sends several statuses a second; without one for this long its
// target gets no new flows.
inline constexpr base::Duration StaleStatus = std::chrono::milliseconds(900);

// Without a status for this long an agent counts as lost.
inline constexpr base::Duration LostStatus = std::chrono::milliseconds(1500);

// An agent that announced its restart may be silent for this long: the
// platform's grace period and a start.
inline constexpr base::Duration RestartTime = std::chrono::seconds(9);

// A greeted agent that was never heard counts as lost after this: it may be
// starting, or restarting without the balancer having heard that it would, for
// which it is silent for about 0.7 s.
inline constexpr base::Duration NeverHeard = std::chrono::milliseconds(1500);

// A status that is not followed by another for this long, from an agent that is
// not listed, is forgotten.
inline constexpr base::Duration UnlistedLife = std::chrono::seconds(3);

// Thread safety, for all methods: one thread at a time.
class TargetTable {
public:
  // Takes the whole list of the store. Returns whether it differs.
  bool setList(const std::vector<AgentEntry> &Entries, base::TimePoint Now);

  // Takes one change of the list. Returns whether it names another agent, or
  // another service of one.
  bool list(const AgentEntry &Entry, base::TimePoint Now);
  void unlist(base::SocketAddress Agent, base::TimePoint Now);

  // Takes a status; one that is older than a known one is ignored. Returns the
  // target if the status was news.
  Target *update(base::SocketAddress Agent, const TargetStatus &Status,
                 base::TimePoint Now);

  // Drops targets that are neither listed nor heard.
  void expire(base::TimePoint Now);

  // After the balancer itself stood still, silence means nothing: all agents
  // count as heard now.
  void forgiveSilence(base::TimePoint Now);

  // Returns the target, or null if it was dropped.
  Target *at(TargetIndex Index) {
    return Index < Targets.size() ? Targets[Index].get() : nullptr;
  }
  const Target *at(TargetIndex Index) const {
    return Index < Targets.size() ? Targets[Index].get() : nullptr;
  }
  TargetIndex indexOf(base::SocketAddress Agent) const;

  // Targets of a service, dropped ones excluded.
  const std::vector<TargetIndex> &ofService(base::ServiceId Service) const;

  const std::unordered_map<base::ServiceId, std::vector<TargetIndex>> &
  services() const {
    return ByService;
  }

  const std::vector<std::unique_ptr<Target>> &all() const { return Targets; }
  size_t size() const { return ByAgent.size(); }

private:
  Target &add(base::SocketAddress Agent, base::TimePoint Now);
  void setService(TargetIndex Index, base::ServiceId Service);
  void drop(TargetIndex Index);

  std::vector<std::unique_ptr<Target>> Targets; // an index is never reused
  std::unordered_map<base::SocketAddress, TargetIndex> ByAgent;
  std::unordered_map<base::ServiceId, std::vector<TargetIndex>> ByService;
};

// Whether Target may get new flows. Thread safety: any thread.
bool takesFlows(const Target &Target, base::TimePoint Now);

// Whether the agent of Target is lost: it is greeted and silent although it did
// not announce a restart. Thread safety: any thread.
bool isLost(const Target &Target, base::TimePoint Now);

} // namespace burdockstream::flows

#endif
