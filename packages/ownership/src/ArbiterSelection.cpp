#include "burdockstream/ownership/ArbiterSelection.h"

#include "burdockstream/base/Hash.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace burdockstream::ownership {
namespace {

// Arbitrary, but all daemons must use the same value.
constexpr uint64_t SelectionSeed = 0x6172626974657273;

using ScoredAddress = std::pair<uint64_t, base::SocketAddress>;

size_t arbiterCount(size_t AddressCount) {
  const size_t Bounded = std::min(AddressCount, MaxArbiters);
  return Bounded % 2 == 0 && Bounded > 0 ? Bounded - 1 : Bounded;
}

} // namespace

std::optional<size_t> ArbiterList::indexOf(base::SocketAddress Address) const {
  const auto It = std::ranges::find(Arbiters, Address);
  if (It == Arbiters.end())
    return std::nullopt;
  return static_cast<size_t>(It - Arbiters.begin());
}

ArbiterList
selectArbiters(std::span<const base::SocketAddress> BalancerAddresses,
               base::ServiceId Service) {
  std::vector<ScoredAddress> Scored;
  Scored.reserve(BalancerAddresses.size());
  for (const base::SocketAddress &Address : BalancerAddresses)
    Scored.push_back({base::hashPair(base::packAddress(Address), Service.Value,
                                     SelectionSeed),
                      Address});
  std::sort(Scored.begin(), Scored.end(), std::greater<>());
  Scored.erase(std::unique(Scored.begin(), Scored.end()), Scored.end());

  ArbiterList List;
  Scored.resize(arbiterCount(Scored.size()));
  for (const auto &[Score, Address] : Scored)
    List.Arbiters.push_back(Address);
  std::sort(List.Arbiters.begin(), List.Arbiters.end());
  List.Hash = SelectionSeed;
  for (const base::SocketAddress &Arbiter : List.Arbiters)
    List.Hash =
        base::hashPair(base::packAddress(Arbiter), Service.Value, List.Hash);
  return List;
}

} // namespace burdockstream::ownership
