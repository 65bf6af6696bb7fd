#include "burdockstream/messages/ReplayWindow.h"

#include <glog/logging.h>

namespace burdockstream::messages {

ReplayWindow::ReplayWindow(size_t InitMaxSenders) : MaxSenders(InitMaxSenders) {
  CHECK_GT(MaxSenders, 0U);
}

ReplayWindow::SenderState &
ReplayWindow::findOrAddSender(base::DaemonId Sender) {
  const auto Found = Index.find(Sender);
  if (Found != Index.end()) {
    Senders.splice(Senders.begin(), Senders, Found->second);
    return Senders.front();
  }
  if (Senders.size() == MaxSenders) {
    Index.erase(Senders.back().Id);
    Senders.pop_back();
  }
  Senders.emplace_front();
  Senders.front().Id = Sender;
  Index.emplace(Sender, Senders.begin());
  return Senders.front();
}

// Moves the window forward to end at Sequence and clears the bits of the
// numbers that enter it.
void ReplayWindow::advance(SenderState &State, uint64_t Sequence) {
  if (Sequence - State.Highest >= WindowSize) {
    State.Seen.fill(0);
  } else {
    for (uint64_t Entering = State.Highest + 1; Entering <= Sequence;
         ++Entering)
      State.Seen[Entering % WindowSize / 64] &=
          ~(uint64_t{1} << (Entering % 64));
  }
  State.Highest = Sequence;
}

bool ReplayWindow::accept(base::DaemonId Sender, uint64_t Sequence) {
  // UINT64_MAX is rejected because the window's arithmetic would wrap around.
  if (Sequence == 0 || Sequence == UINT64_MAX)
    return false;
  SenderState &State = findOrAddSender(Sender);
  if (Sequence > State.Highest)
    advance(State, Sequence);
  else if (State.Highest - Sequence >= WindowSize)
    return false;
  uint64_t &Word = State.Seen[Sequence % WindowSize / 64];
  const uint64_t Bit = uint64_t{1} << (Sequence % 64);
  if ((Word & Bit) != 0)
    return false;
  Word |= Bit;
  return true;
}

} // namespace burdockstream::messages
