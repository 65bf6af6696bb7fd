#include "burdockstream/flows/ParkedPackets.h"

#include <algorithm>

namespace burdockstream::flows {

bool ParkedPackets::add(const Packet &Packet, ParkReason Reason,
                        base::TimePoint ArrivedAt) {
  if (Packets.size() >= MaxParkedPackets && Packets.count(Packet.Flow) == 0)
    return false;
  Packets.insert_or_assign(
      Packet.Flow, ParkedPacket{OwnedPacket(Packet), Reason, ArrivedAt});
  return true;
}

template <typename PredicateT>
std::vector<ParkedPacket> ParkedPackets::takeIf(PredicateT Matches) {
  std::vector<ParkedPacket> Result;
  std::erase_if(Packets, [&](auto &Each) {
    if (!Matches(Each.second))
      return false;
    Result.push_back(std::move(Each.second));
    return true;
  });
  std::sort(Result.begin(), Result.end(), [](const auto &A, const auto &B) {
    return A.ArrivedAt < B.ArrivedAt;
  });
  return Result;
}

std::vector<ParkedPacket> ParkedPackets::take(ParkReason Reason) {
  return takeIf(
      [Reason](const ParkedPacket &Each) { return Each.Reason == Reason; });
}

std::vector<ParkedPacket> ParkedPackets::takeExpired(base::TimePoint Now) {
  return takeIf([Now](const ParkedPacket &Each) {
    return Now - Each.ArrivedAt >
           (Each.Stored.opens() ? MaxOpeningParkTime : MaxParkTime);
  });
}

} // namespace burdockstream::flows
