// Rendezvous hashing over targets: ranks them by a hash, so that a choice
// hardly changes when targets come or go.
#ifndef BURDOCKSTREAM_FLOWS_TARGETRANKING_H
#define BURDOCKSTREAM_FLOWS_TARGETRANKING_H

#include "burdockstream/flows/TargetTable.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace burdockstream::flows::internal {

// Pairs of hash and target.
using RankedTargets = std::vector<std::pair<uint64_t, TargetIndex>>;

// Returns up to Wanted targets with the lowest hashes, in rising order. Thread
// safety: any thread.
inline std::vector<TargetIndex> lowestRanked(RankedTargets Ranked,
                                             size_t Wanted) {
  const size_t Count = std::min(Wanted, Ranked.size());
  std::partial_sort(Ranked.begin(),
                    Ranked.begin() + static_cast<ptrdiff_t>(Count),
                    Ranked.end());
  std::vector<TargetIndex> Result;
  for (size_t I = 0; I < Count; ++I)
    Result.push_back(Ranked[I].second);
  return Result;
}

} // namespace burdockstream::flows::internal

#endif
