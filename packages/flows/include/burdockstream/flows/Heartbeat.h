// A heartbeat of a target, and the rule which heartbeats count: one that was
// delayed may arrive after its sender has ended and a new one has started at
// the same address.
#ifndef BURDOCKSTREAM_FLOWS_HEARTBEAT_H
#define BURDOCKSTREAM_FLOWS_HEARTBEAT_H

#include "burdockstream/base/SocketAddress.h"
#include "burdockstream/base/Time.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace burdockstream::flows {

struct Heartbeat {
  std::string TargetId;
  std::string Service;
  base::SocketAddress Address;
  bool Draining = false;
  int64_t StartedAtMs = 0; // Unix time of the target's start
  uint64_t Sequence = 0;   // rises within one run of the target
  uint32_t Slots = 1;
  uint32_t WarmupMs = 0;
};

enum class HeartbeatVerdict : uint8_t {
  Accepted,
  NewRun, // accepted, and the first one of a new run of the target
  Late,   // of an earlier run, or older than one already seen
  Foreign // another service or address than the agent's target
};

// Returns the name used in logs. Thread safety: any thread.
std::string_view toString(HeartbeatVerdict Verdict);

// The target that an agent stands beside, as its settings name it.
struct TargetIdentity {
  std::string Service;
  base::SocketAddress Address;
};

// Thread safety: one thread at a time.
class HeartbeatFilter {
public:
  // Judges Beat and remembers it if it is accepted.
  HeartbeatVerdict judge(const Heartbeat &Beat, const TargetIdentity &Own);

  // Takes the notice that the target TargetId, started at StartedAtMs (0: not
  // said), ends. Returns whether it names the run that is known; then further
  // heartbeats of this run are late.
  bool end(const std::string &TargetId, int64_t StartedAtMs);

  bool known() const { return Known; }

private:
  bool Known = false;
  bool Ended = false;
  Heartbeat Last;
};

} // namespace burdockstream::flows

#endif
