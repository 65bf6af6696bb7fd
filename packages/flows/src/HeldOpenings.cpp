#include "burdockstream/flows/HeldOpenings.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace burdockstream::flows {

namespace {

bool runsOnce(const HeldOpening &Each) {
  return Each.Header.WorkClass ==
         static_cast<uint8_t>(WorkClass::NonIdempotent);
}

} // namespace

void HeldOpenings::hold(base::SocketAddress Balancer, const FrameHeader &Header,
                        const Packet &Packet, base::TimePoint Now) {
  for (const HeldOpening &Each : Held)
    if (Each.Kept.flow() == Packet.Flow)
      return;
  Held.push_back({Balancer, Header, KeptPacket(Packet), Now});
}

std::optional<HeldOpening> HeldOpenings::takeNext() {
  if (Held.empty())
    return std::nullopt;
  auto Next = std::find_if(Held.rbegin(), Held.rend(), runsOnce);
  if (Next == Held.rend())
    Next = Held.rbegin();
  HeldOpening Result = std::move(*Next);
  Held.erase(std::prev(Next.base()));
  return Result;
}

std::vector<HeldOpening> HeldOpenings::takeOverdue(base::TimePoint Now) {
  size_t Count = Held.size() > MaxHeld ? Held.size() - MaxHeld : 0;
  while (Count < Held.size() && Now - Held[Count].HeldSince >= HoldTime)
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

} // namespace burdockstream::flows
