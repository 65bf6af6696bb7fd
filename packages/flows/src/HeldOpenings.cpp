#include "burdockstream/flows/HeldOpenings.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace burdockstream::flows {

namespace {

bool isNonIdempotent(const HeldOpening &Each) {
  return Each.Header.WorkClass ==
         static_cast<uint8_t>(WorkClass::NonIdempotent);
}

} // namespace

std::optional<RequestTime> HeldOpening::left(base::TimePoint Now) const {
  if (!Header.Time)
    return std::nullopt;
  return Header.Time->after(Now - HeldSince);
}

void HeldOpenings::hold(base::SocketAddress Balancer, const FrameHeader &Header,
                        const Packet &Packet, base::TimePoint Now) {
  for (HeldOpening &Each : Held)
    if (Each.Stored.flow() == Packet.Flow) {
      // The fabric gives the flow's packets to this balancer now; the other one
      // may be gone.
      Each.Balancer = Balancer;
      return;
    }
  Held.push_back({Balancer, Header, OwnedPacket(Packet), Now});
}

void HeldOpenings::erase(const FlowKey &Flow) {
  std::erase_if(Held, [&](const HeldOpening &Each) {
    return Each.Stored.flow() == Flow;
  });
}

std::optional<HeldOpening> HeldOpenings::takeNext(const TargetLoad &Load,
                                                  base::TimePoint Now) {
  auto Next = Held.rend();
  // Urgency, and whether it is non-idempotent.
  std::pair<Urgency, bool> NextRank;
  for (auto Each = Held.rbegin(); Each != Held.rend(); ++Each) {
    const std::pair Rank(urgencyOf(Load, Each->left(Now)),
                         isNonIdempotent(*Each));
    if (!admits(Load, Rank.first) || (Next != Held.rend() && Rank <= NextRank))
      continue;
    Next = Each;
    NextRank = Rank;
  }
  if (Next == Held.rend())
    return std::nullopt;
  HeldOpening Result = std::move(*Next);
  Held.erase(std::prev(Next.base()));
  return Result;
}

std::vector<HeldOpening> HeldOpenings::takeOverdue(base::TimePoint Now) {
  size_t Count =
      Held.size() > MaxHeldOpenings ? Held.size() - MaxHeldOpenings : 0;
  while (Count < Held.size() && Now - Held[Count].HeldSince >= MaxHoldTime)
    ++Count;
  const auto End = Held.begin() + static_cast<ptrdiff_t>(Count);
  std::vector<HeldOpening> Result(std::make_move_iterator(Held.begin()),
                                  std::make_move_iterator(End));
  Held.erase(Held.begin(), End);
  return Result;
}

std::vector<HeldOpening> HeldOpenings::takeAll() {
  return std::exchange(Held, {});
}

size_t HeldOpenings::countInTime(const TargetLoad &Load,
                                 base::TimePoint Now) const {
  return static_cast<size_t>(
      std::count_if(Held.begin(), Held.end(), [&](const HeldOpening &Each) {
        return urgencyOf(Load, Each.left(Now)) >= Urgency::OnTime;
      }));
}

} // namespace burdockstream::flows
