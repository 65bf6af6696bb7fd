// Heartbeats of targets, and a filter that rejects stale ones: a delayed
// heartbeat may arrive after its sender has ended and a new process has started
// at the same address.
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
  uint64_t Sequence = 0;   // increases within one run of the target's process
  uint32_t Slots = 1;
  uint32_t WarmupMs = 0;
};

enum class HeartbeatVerdict : uint8_t {
  Accepted,
  NewRun, // accepted; the first one of a new run of the target's process
  Late,   // rejected: of an earlier run, or not newer than the last one
  Foreign // rejected: service or address differs from the agent's target
};

// Returns the name used in logs. Thread safety: any thread.
std::string_view toString(HeartbeatVerdict Verdict);

// The target of an agent, as defined in its settings.
struct TargetIdentity {
  std::string Service;
  base::SocketAddress Address;
};

// Not thread-safe.
class HeartbeatFilter {
public:
  // Classifies Beat, and records it as the last one if it is accepted. Own is
  // the agent's target.
  HeartbeatVerdict classify(const Heartbeat &Beat, const TargetIdentity &Own);

  // Records that the run of TargetId that started at StartedAtMs (Unix time in
  // ms, 0 if unknown) has ended. Returns whether it is the last recorded run;
  // if so, further heartbeats of it are Late.
  bool end(const std::string &TargetId, int64_t StartedAtMs);

  // Whether a heartbeat has been accepted.
  bool known() const { return Known; }

private:
  bool Known = false;
  bool Ended = false;
  Heartbeat Last;
};

} // namespace burdockstream::flows

#endif
