// Settings of a flow service daemon, read from a JSON file with comments.
#ifndef BURDOCKSTREAM_FLOWD_FLOWSETTINGS_H
#define BURDOCKSTREAM_FLOWD_FLOWSETTINGS_H

#include "burdockstream/base/Error.h"
#include "burdockstream/base/SocketAddress.h"
#include "burdockstream/base/Time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace burdockstream::flowd {

// Longest name of a process, service or failure domain, in bytes.
inline constexpr size_t MaxNameBytes = 200;

enum class FlowRole : uint8_t { Balancer, Agent };

// Settings that only an agent has.
struct AgentSettings {
  std::string Service;
  base::SocketAddress TargetAddress;   // the target receives packets here
  base::SocketAddress OutboundAddress; // the target sends its packets here
  base::SocketAddress HeartbeatAddress;
  base::Duration HeartbeatInterval{0};
  // After a target ends, the platform does not assign its address to another
  // service for this time.
  base::Duration AddressReuseDelay{0};

  friend bool operator==(const AgentSettings &,
                         const AgentSettings &) = default;
};

struct FlowSettings {
  FlowRole Role = FlowRole::Balancer;
  std::string Name;
  std::string FailureDomain;
  // Packets. Clients are reached at this port of their own address.
  base::SocketAddress DataAddress;
  // UDP: frames of other daemons; TCP: metrics and routes.
  base::SocketAddress ControlAddress;
  // Readiness check; required for a balancer.
  std::optional<base::SocketAddress> ReadyAddress;
  // Balancers that start request the state of this balancer here.
  std::optional<base::SocketAddress> SeedAddress;
  base::SocketAddress StoreAddress;
  // Seed addresses of balancers; the list may be stale.
  std::vector<base::SocketAddress> PeerAddresses;
  base::Duration GracePeriod{0}; // from SIGTERM to SIGKILL
  double LinkMbps = 1000;        // bandwidth of the VM's link, in Mbit/s
  // Balancers only: how long a client waits for the acceptance of a flow before
  // it tries again with another flow; 0: offers are not repeated.
  base::Duration OpeningAttempt{0};
  std::optional<AgentSettings> Agent; // present if Role is Agent

  friend bool operator==(const FlowSettings &, const FlowSettings &) = default;
};

// Returns the name of Role in the settings file. Thread safety: any thread.
std::string_view toString(FlowRole Role);

// Parses and validates the settings. The error lists every problem with Source,
// line, field and remedy. Thread safety: any thread.
base::Result<FlowSettings> parseFlowSettings(std::string_view Text,
                                             std::string Source);

// Reads and parses the file at Path; the errors are those of
// parseFlowSettings(), or that the file is unreadable. Blocks. Thread safety:
// any thread.
base::Result<FlowSettings> loadFlowSettings(const std::string &Path);

} // namespace burdockstream::flowd

#endif
