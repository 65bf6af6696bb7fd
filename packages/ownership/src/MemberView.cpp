#include "MemberView.h"

#include <algorithm>

namespace burdockstream::ownership::internal {
namespace {

// A member list from a recently started balancer may be incomplete at first.
constexpr base::Duration MissingTimeout = std::chrono::seconds(3);

} // namespace

void MemberView::set(std::span<const messages::MemberInfo> Members) {
  HasList = true;
  List.assign(Members.begin(), Members.end());
  for (const messages::MemberInfo &Member : List)
    MissingSince.erase(Member.Id);
}

void MemberView::trackMissing(std::span<const base::DaemonId> Owners,
                              base::TimePoint Now) {
  if (!HasList)
    return;
  std::erase_if(MissingSince, [&](const auto &Item) {
    return std::ranges::find(Owners, Item.first) == Owners.end();
  });
  for (const base::DaemonId Owner : Owners)
    if (!find(Owner))
      MissingSince.try_emplace(Owner, Now);
}

const messages::MemberInfo *MemberView::find(base::DaemonId Id) const {
  const auto It = std::ranges::find(List, Id, &messages::MemberInfo::Id);
  return It == List.end() ? nullptr : &*It;
}

bool MemberView::ready(base::DaemonId Id) const {
  const messages::MemberInfo *Member = find(Id);
  return Member && Member->State == messages::MemberState::Ready;
}

bool MemberView::departed(base::DaemonId Id, base::TimePoint Now) const {
  if (const messages::MemberInfo *Member = find(Id))
    return Member->State == messages::MemberState::Dead ||
           Member->State == messages::MemberState::Stopped;
  const auto It = MissingSince.find(Id);
  return It != MissingSince.end() && Now - It->second >= MissingTimeout;
}

} // namespace burdockstream::ownership::internal
