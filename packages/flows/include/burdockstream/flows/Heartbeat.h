// Heartbeats of targets, and a filter that rejects stale ones: a delayed
// heartbeat may arrive after its sender has ended and a new process has started
// at the same address.
//
// Of two runs the one that has started later is recorded, and of two heartbeats
// of a run the one with the higher number. Either figure may be wrong, from
// another writer or after a step of a clock, so that it would outrank the
// target's valid heartbeats for good. Therefore a run with a start in the
// future does not replace one that is alive, and heartbeats that keep coming
// while the recorded run has sent none take over.
#ifndef BURDOCKSTREAM_FLOWS_HEARTBEAT_H
#define BURDOCKSTREAM_FLOWS_HEARTBEAT_H

#include "burdockstream/base/SocketAddress.h"
#include "burdockstream/base/Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace burdockstream::flows {

struct Heartbeat {
  std::string TargetId;
  std::string Service;
  base::SocketAddress Address;
  bool Draining = false;
  int64_t StartedAtMs = 0; // Unix time of the target's start
  // StartedAtMs is later than the agent's time of day allows.
  bool StartsInFuture = false;
  uint64_t Sequence = 0; // increases within one run of the target's process
  uint32_t Slots = 1;
  uint32_t WarmupMs = 0;
};

enum class HeartbeatVerdict : uint8_t {
  Accepted,
  NewRun,  // accepted; the first one of a new run of the target's process
  Resumed, // accepted; of a run that may have been alive all the while
  Late,    // rejected: of an earlier run, or not newer than the last one
  Foreign  // rejected: service or address differs from the agent's target
};

// Returns the name used in logs. Thread safety: any thread.
std::string_view toString(HeartbeatVerdict Verdict);

// Whether an announcement that a run has ended is that of the last recorded
// run.
enum class EndVerdict : uint8_t {
  Ended,    // it names the run, or the run has reported that it is draining
  Unproven, // of a run with this id, possibly a former one
  OtherRun
};

// Returns the name used in logs. Thread safety: any thread.
std::string_view toString(EndVerdict Verdict);

// The target of an agent, as defined in its settings.
struct TargetIdentity {
  std::string Service;
  base::SocketAddress Address;
};

// A start later than the agent's time of day by more than this is in the
// future. Clocks of VMs differ, and may be stepped by seconds.
inline constexpr base::Duration MaxClockDifference = std::chrono::minutes(1);

// Highest number of slots that a heartbeat can state; more count as this many.
inline constexpr uint32_t MaxSlots = 1'000'000;

// Not thread-safe.
class HeartbeatFilter {
public:
  // A run counts as alive for InitOverdue after its last accepted heartbeat.
  explicit HeartbeatFilter(base::Duration InitOverdue) : Overdue(InitOverdue) {}

  // Classifies Beat, and records it as the last one if it is accepted. Own is
  // the agent's target.
  HeartbeatVerdict classify(const Heartbeat &Beat, const TargetIdentity &Own,
                            base::TimePoint Now);

  // Handles the announcement that the run of TargetId that started at
  // StartedAtMs (Unix time in ms, 0 if unknown) has ended. After Ended, further
  // heartbeats of the run are Late, unless they keep coming. A target may start
  // again under its id while the announcement of its former run is delayed; a
  // run drains before it ends.
  EndVerdict end(const std::string &TargetId, int64_t StartedAtMs);

  // Changes the time given at construction.
  void setOverdue(base::Duration NewOverdue) { Overdue = NewOverdue; }

  // Whether a heartbeat has been accepted.
  bool known() const { return Known; }

private:
  bool outranksLast(const Heartbeat &Beat, base::TimePoint Now) const;
  // Records a rejected heartbeat. Returns whether its run takes over.
  bool takesOver(const Heartbeat &Beat, base::TimePoint Now);

  base::Duration Overdue;
  bool Known = false;
  bool Ended = false;
  Heartbeat Last;
  base::TimePoint LastAt{};
  // The last rejected heartbeat of those that have kept coming since
  // RejectedSince, if there is one.
  std::optional<Heartbeat> Rejected;
  base::TimePoint RejectedSince{};
};

} // namespace burdockstream::flows

#endif
