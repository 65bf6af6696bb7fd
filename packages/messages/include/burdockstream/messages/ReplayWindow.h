// Replay protection: rejects datagrams whose sequence number was already seen
// from the same sender or is older than the window. Reordering within the
// window is accepted.
#ifndef BURDOCKSTREAM_MESSAGES_REPLAYWINDOW_H
#define BURDOCKSTREAM_MESSAGES_REPLAYWINDOW_H

#include "burdockstream/base/Ids.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>

namespace burdockstream::messages {

class ReplayWindow {
public:
  // Number of sequence numbers tracked per sender. A sender numbers its
  // datagrams to all destinations together, so the window covers reordering,
  // not loss.
  static constexpr uint64_t WindowSize = 4096;

  // Covers every daemon of the largest supported deployment (2,000 balancers
  // and 15,000 agents) at about 600 bytes each.
  static constexpr size_t DefaultMaxSenders = 20'000;

  // MaxSenders must not be zero. When it is reached, the least recently active
  // sender is evicted. Its old datagrams could then be replayed, so the bound
  // should exceed the number of daemons.
  explicit ReplayWindow(size_t MaxSenders = DefaultMaxSenders);

  // Returns true and records Sequence if it is new for Sender. Call only for
  // authenticated datagrams. An unknown sender may start at any number except
  // zero, so a restarted daemon is accepted at once under its new DaemonId.
  // Thread safety: loop thread only.
  bool accept(base::DaemonId Sender, uint64_t Sequence);

  // Number of senders tracked. Thread safety: loop thread only.
  size_t senders() const { return Senders.size(); }

private:
  struct SenderState {
    base::DaemonId Id;
    uint64_t Highest = 0;
    std::array<uint64_t, WindowSize / 64> Seen{}; // bit Sequence % WindowSize
  };
  using SenderList = std::list<SenderState>; // most recently active first

  SenderState &findOrAddSender(base::DaemonId Sender);
  static void advance(SenderState &State, uint64_t Sequence);

  size_t MaxSenders;
  SenderList Senders;
  std::unordered_map<base::DaemonId, SenderList::iterator> Index;
};

} // namespace burdockstream::messages

#endif
