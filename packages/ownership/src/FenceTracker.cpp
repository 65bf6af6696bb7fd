#include "FenceTracker.h"

#include <algorithm>

namespace burdockstream::ownership::internal {
namespace {

// Well below ConsentLifetime, so that a claim delayed by a write conflict still
// has valid consents.
constexpr base::Duration RequestInterval = std::chrono::seconds(1);

} // namespace

FenceTracker::FenceTracker(base::DaemonId InitSelf, base::ServiceId InitService,
                           const ArbiterList &InitList)
    : Self(InitSelf), Service(InitService), List(InitList) {}

void FenceTracker::setTargets(std::span<const base::DaemonId> NewTargets) {
  std::erase_if(Targets, [&](const auto &Item) {
    return std::ranges::find(NewTargets, Item.first) == NewTargets.end();
  });
  for (const base::DaemonId Id : NewTargets)
    if (Targets.try_emplace(Id).second)
      Targets[Id].ConsentedAt.assign(List.Arbiters.size(),
                                     base::TimePoint::min());
}

std::vector<messages::FenceRequest> FenceTracker::tick(base::TimePoint Now) {
  std::vector<messages::FenceRequest> Requests;
  for (auto &[Id, Item] : Targets) {
    if (Now < Item.NextRequest)
      continue;
    Item.NextRequest = Now + RequestInterval;
    Item.Sent[Item.Requests++ % MaxTrackedRequests] = {++Sequence, Now};
    Requests.push_back({Self, Id, Service, Sequence, List.Hash});
  }
  return Requests;
}

void FenceTracker::handle(const messages::FenceConsent &Consent) {
  const auto It = Targets.find(Consent.Target);
  const auto Index = List.indexOf(Consent.Arbiter);
  if (!Consent.Consented || It == Targets.end() || !Index ||
      Consent.Sequence == 0)
    return;
  Target &Item = It->second;
  const auto Sent =
      std::ranges::find(Item.Sent, Consent.Sequence, &SentRequest::Sequence);
  if (Sent != Item.Sent.end())
    Item.ConsentedAt[*Index] = std::max(Item.ConsentedAt[*Index], Sent->SentAt);
}

FenceTimes FenceTracker::activeFences(base::TimePoint Now) const {
  FenceTimes ActiveFences;
  for (const auto &[Id, Item] : Targets) {
    std::vector<base::TimePoint> Newest = Item.ConsentedAt;
    if (Newest.empty())
      continue;
    const auto Majority =
        Newest.begin() + static_cast<long>(List.majority()) - 1;
    std::ranges::nth_element(Newest, Majority, std::greater<>());
    if (*Majority != base::TimePoint::min() &&
        Now - *Majority <= ConsentLifetime)
      ActiveFences.emplace(Id, *Majority);
  }
  return ActiveFences;
}

} // namespace burdockstream::ownership::internal
