// Selects the arbiters of a service from the configured balancer addresses.
// Daemons with equal address lists select equal arbiters.
#ifndef BURDOCKSTREAM_OWNERSHIP_ARBITERSELECTION_H
#define BURDOCKSTREAM_OWNERSHIP_ARBITERSELECTION_H

#include "burdockstream/base/Ids.h"
#include "burdockstream/base/SocketAddress.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace burdockstream::ownership {

inline constexpr size_t MaxArbiters = 5;

struct ArbiterList {
  std::vector<base::SocketAddress> Arbiters; // sorted; odd size, or empty
  uint64_t Hash = 0;

  // Returns the smallest number of arbiters that is a majority. Thread safety:
  // any thread.
  size_t majority() const { return Arbiters.size() / 2 + 1; }

  // Returns the index of Address in Arbiters, or std::nullopt. Thread safety:
  // any thread.
  std::optional<size_t> indexOf(base::SocketAddress Address) const;
};

// Returns the addresses with the highest rendezvous hash for Service. Their
// number is the largest odd number that exceeds neither MaxArbiters nor the
// number of distinct addresses; an empty input gives an empty list. The order
// of BalancerAddresses does not matter. Thread safety: any thread.
ArbiterList
selectArbiters(std::span<const base::SocketAddress> BalancerAddresses,
               base::ServiceId Service);

} // namespace burdockstream::ownership

#endif
