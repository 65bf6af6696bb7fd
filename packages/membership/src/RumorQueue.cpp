#include "burdockstream/membership/RumorQueue.h"

#include "WireSize.h"

#include <algorithm>
#include <cmath>

namespace burdockstream::membership {

namespace {

using messages::MemberInfo;
using messages::MemberState;

enum class Priority : uint8_t { Leaving, Record, Other };

struct Item {
  Priority Level;
  size_t *Sent;
  const MemberInfo *Member;
  const messages::RecordEntry *Record;
};

Priority priorityOf(const MemberInfo &Member) {
  const bool Leaving =
      Member.State == MemberState::Draining || isStoppedOrDead(Member.State);
  return Leaving && Member.Kind == messages::Role::Agent ? Priority::Leaving
                                                         : Priority::Other;
}

} // namespace

size_t rumorTransmissions(size_t Balancers) {
  const double Rounds = std::log2(static_cast<double>(Balancers + 1));
  return std::max(MinRumorTransmissions,
                  static_cast<size_t>(std::ceil(3 * Rounds)));
}

std::vector<messages::Rumor>
RumorQueue::nextRound(const MemberTable &MemberSource,
                      const RecordTable &RecordSource, size_t Peers,
                      size_t MaxTransmissions) {
  std::vector<Item> Items;
  Items.reserve(Members.size() + Records.size());
  for (auto &[Id, Sent] : Members)
    if (const MemberInfo *Member = MemberSource.find(Id))
      Items.push_back({priorityOf(*Member), &Sent, Member, nullptr});
  for (auto &[Id, Sent] : Records)
    Items.push_back({Priority::Record, &Sent, nullptr, RecordSource.find(Id)});
  std::sort(Items.begin(), Items.end(), [](const Item &A, const Item &B) {
    return A.Level != B.Level ? A.Level < B.Level : *A.Sent < *B.Sent;
  });
  MessagePacker<messages::Rumor> Packer(MaxRumorDatagrams);
  for (const Item &Next : Items) {
    if (!(Next.Member ? Packer.add(*Next.Member) : Packer.add(*Next.Record)))
      break;
    *Next.Sent += Peers;
  }
  std::erase_if(Members, [&](const auto &Entry) {
    return Entry.second >= MaxTransmissions || !MemberSource.find(Entry.first);
  });
  std::erase_if(Records, [&](const auto &Entry) {
    return Entry.second >= MaxTransmissions;
  });
  return Packer.take();
}

} // namespace burdockstream::membership
