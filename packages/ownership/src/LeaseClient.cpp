#include "burdockstream/ownership/LeaseClient.h"

#include <algorithm>
#include <utility>

namespace burdockstream::ownership {

LeaseClient::LeaseClient(base::DaemonId InitSelf, base::ServiceId InitService,
                         ArbiterList InitList)
    : Self(InitSelf), Service(InitService), List(std::move(InitList)),
      GrantedAt(List.Arbiters.size(), base::TimePoint::min()) {}

std::optional<messages::LeaseRequest> LeaseClient::tick(base::Now Now) {
  if (List.Arbiters.empty() || Now.Monotonic < NextRequest)
    return std::nullopt;
  ++Sequence;
  Sent[Sequence % MaxTrackedRequests] = {Sequence, Now.Monotonic};
  NextRequest =
      Now.Monotonic +
      (held(Now.Monotonic) ? LeaseRequestInterval : SuspendedRequestInterval);
  return messages::LeaseRequest{Self, Service, Sequence, List.Hash};
}

void LeaseClient::handle(const messages::LeaseGrant &Grant, base::Now Now) {
  const auto Index = List.indexOf(Grant.Arbiter);
  const SentRequest &Request = Sent[Grant.Sequence % MaxTrackedRequests];
  if (!Grant.Granted || Grant.Agent != Self || !Index || Grant.Sequence == 0 ||
      Request.Sequence != Grant.Sequence)
    return;
  GrantedAt[*Index] = std::max(GrantedAt[*Index], Request.SentAt);

  std::vector<base::TimePoint> Newest = GrantedAt;
  const auto Majority = Newest.begin() + static_cast<long>(List.majority()) - 1;
  std::ranges::nth_element(Newest, Majority, std::greater<>());
  if (*Majority == base::TimePoint::min())
    return;
  const base::TimePoint NewEnd = *Majority + LeaseTerm;
  if (NewEnd <= Now.Monotonic)
    return;
  // If the lease had already ended when this grant was processed, a new period
  // starts, even if the grants themselves leave no gap.
  if (!held(Now.Monotonic))
    ++Period;
  End = std::max(End, NewEnd);
}

} // namespace burdockstream::ownership
