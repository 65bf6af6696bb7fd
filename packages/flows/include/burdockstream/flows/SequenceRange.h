// The sequence numbers that a target has used in a flow. A client's packet
// belongs to the flow if it acknowledges one of them.
//
// Load pattern: clients use a port again half a minute after its flow has
// ended, and the new flow opens at another target. Records of the former flow
// last as long as an idle flow may. Only the numbers, which each target starts
// at random, tell the two flows apart: their keys are the same, and a client
// that gives up ends its flow without a packet.
#ifndef BURDOCKSTREAM_FLOWS_SEQUENCERANGE_H
#define BURDOCKSTREAM_FLOWS_SEQUENCERANGE_H

#include <cstdint>

namespace burdockstream::flows {

// Not thread-safe.
class SequenceRange {
public:
  // Records that the target accepts the flow, starting at Sequence. MaySucceed:
  // it may have accepted the flow before and answers a copy of the opening
  // packet, after others that were not observed.
  void start(uint32_t Sequence, bool MaySucceed) {
    if (State == Knowledge::None) {
      First = Last = Sequence;
      State = MaySucceed ? Knowledge::Partial : Knowledge::Exact;
    } else if (State == Knowledge::Partial && covers(Sequence, 0)) {
      First = Sequence;
    } else if (Sequence != First) {
      State = Knowledge::Ambiguous; // it starts anew with each copy
    }
  }

  // Records another packet of the target with Length bytes, a closing flag
  // included.
  void extend(uint32_t Sequence, uint32_t Length) {
    const uint32_t End = Sequence + Length;
    if (State == Knowledge::None) {
      First = Sequence - MaxUnobservedBytes;
      Last = End;
      State = Knowledge::Partial;
    } else if (static_cast<int32_t>(Sequence - First) < 0) {
      State = Knowledge::Ambiguous;
    } else if (static_cast<int32_t>(End - Last) > 0) {
      Last = End;
    }
  }

  // Returns whether no packet of the target was observed.
  bool isEmpty() const { return State == Knowledge::None; }

  // Returns whether Acknowledged may acknowledge a packet of the target.
  bool contains(uint32_t Acknowledged) const {
    switch (State) {
    case Knowledge::None:
      return false;
    case Knowledge::Exact:
      return covers(Acknowledged, FlagNumbers);
    case Knowledge::Partial:
      return covers(Acknowledged, MaxUnobservedWindow);
    case Knowledge::Ambiguous:
      return true;
    }
    return true;
  }

  // Returns whether the target has sent packets and Acknowledged acknowledges
  // none of them, so that it belongs to another flow.
  bool excludes(uint32_t Acknowledged) const {
    return State != Knowledge::None && !contains(Acknowledged);
  }

  // Returns whether contains() distinguishes the flow from others.
  bool isUnambiguous() const {
    return State == Knowledge::Exact || State == Knowledge::Partial;
  }

private:
  enum class Knowledge : uint8_t {
    None,      // no packet of the target
    Exact,     // from its first packet on
    Partial,   // possibly from a later packet on
    Ambiguous, // the target's numbers do not follow one another
  };

  // The opening and the closing flag use a number each.
  static constexpr uint32_t FlagNumbers = 2;
  // Bytes that a target may have sent before the observation began, and that
  // are acknowledged late. A client's packet that is two seconds old lags by
  // less on a link of 1 Gbit/s.
  static constexpr uint32_t MaxUnobservedBytes = 1U << 28;
  // An observation that begins with a retransmission, or with the answer to a
  // late copy of the opening packet, lacks what was sent before and after it.
  static constexpr uint32_t MaxUnobservedWindow = 1U << 24;

  bool covers(uint32_t Number, uint32_t Beyond) const {
    return Number - First <= Last - First + Beyond;
  }

  uint32_t First = 0;
  uint32_t Last = 0;
  Knowledge State = Knowledge::None;
};

} // namespace burdockstream::flows

#endif
