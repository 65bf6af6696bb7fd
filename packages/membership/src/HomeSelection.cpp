#include "burdockstream/membership/HomeSelection.h"

#include "burdockstream/base/Hash.h"

#include <optional>

namespace burdockstream::membership {

namespace {

// Distinct seeds make the two uses of rendezvous hashing independent.
constexpr uint64_t HomeSeed = 0x686f6d65;
constexpr uint64_t WatcherSeed = 0x77617463;

uint64_t homeScore(base::DaemonId Agent, const BalancerLocation &Candidate) {
  return base::hashPair(Agent.Value, base::packAddress(Candidate.Address),
                        HomeSeed);
}

} // namespace

std::vector<size_t> chooseHomes(base::DaemonId Agent,
                                const std::vector<BalancerLocation> &Balancers,
                                const std::function<bool(size_t)> &IsLive) {
  const auto Best = [&](const std::string *OtherThan,
                        std::optional<size_t> Taken) {
    std::optional<size_t> Result;
    uint64_t BestScore = 0;
    for (size_t I = 0; I < Balancers.size(); ++I) {
      if (!IsLive(I) || I == Taken ||
          (OtherThan && Balancers[I].FailureDomain == *OtherThan))
        continue;
      const uint64_t Score = homeScore(Agent, Balancers[I]);
      if (!Result || Score > BestScore) {
        Result = I;
        BestScore = Score;
      }
    }
    return Result;
  };
  const std::optional<size_t> First = Best(nullptr, std::nullopt);
  if (!First)
    return {};
  std::optional<size_t> Second = Best(&Balancers[*First].FailureDomain, First);
  if (!Second)
    Second = Best(nullptr, First);
  return Second ? std::vector<size_t>{*First, *Second}
                : std::vector<size_t>{*First};
}

bool isHome(base::DaemonId Agent, const BalancerLocation &Self,
            const std::vector<BalancerLocation> &LiveBalancers) {
  const uint64_t Own = homeScore(Agent, Self);
  const BalancerLocation *BetterElsewhere = nullptr;
  size_t BetterInDomain = 0;
  bool OtherDomains = false;
  for (const BalancerLocation &Candidate : LiveBalancers) {
    const bool InDomain = Candidate.FailureDomain == Self.FailureDomain;
    OtherDomains |= !InDomain;
    if (Candidate.Address != Self.Address &&
        homeScore(Agent, Candidate) > Own) {
      if (InDomain)
        ++BetterInDomain;
      else if (!BetterElsewhere)
        BetterElsewhere = &Candidate;
      else if (Candidate.FailureDomain != BetterElsewhere->FailureDomain)
        return false; // two other domains have better candidates
    }
    // If there are several failure domains, only the best balancer of a domain
    // can be a home.
    if (BetterInDomain > 1 || (BetterInDomain == 1 && OtherDomains))
      return false;
  }
  return true;
}

size_t watcherRank(const BalancerLocation &Self,
                   const std::vector<BalancerLocation> &LiveBalancers) {
  const uint64_t Domain = base::hashBytes(Self.FailureDomain, WatcherSeed);
  const auto Score = [&](const BalancerLocation &Candidate) {
    return base::hashPair(Domain, base::packAddress(Candidate.Address),
                          WatcherSeed);
  };
  const uint64_t Own = Score(Self);
  size_t Rank = 0;
  for (const BalancerLocation &Candidate : LiveBalancers)
    if (Candidate.FailureDomain == Self.FailureDomain && Score(Candidate) > Own)
      ++Rank;
  return Rank;
}

} // namespace burdockstream::membership
