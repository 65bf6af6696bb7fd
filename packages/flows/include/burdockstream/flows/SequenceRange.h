// The sequence numbers that a target has used in a flow. A client's packet
// belongs to the flow if it acknowledges one of them. An observation that began
// in the middle of the flow bounds the numbers, but only those that were
// observed prove anything.
//
// Load pattern: clients use a port again half a minute after its flow has
// ended, and the new flow opens at another target. Records of the former flow
// last as long as an idle flow may. Only the numbers, which each target starts
// at random, tell the two flows apart: their keys are the same, and a client
// that gives up ends its flow without a packet.
#ifndef BURDOCKSTREAM_FLOWS_SEQUENCERANGE_H
#define BURDOCKSTREAM_FLOWS_SEQUENCERANGE_H

#include <algorithm>
#include <cstdint>

namespace burdockstream::flows {

// Whether a client's packet belongs to the flow of a SequenceRange.
enum class SequenceMatch : uint8_t {
  Same,    // it acknowledges a number that the target was observed to use
  Unknown, // it may acknowledge a packet that was not observed
  Other,   // it belongs to another flow with the same key
};

// Not thread-safe.
class SequenceRange {
public:
  // Returns whether the target can have started the flow at Sequence, as far as
  // its packets were observed.
  bool mayStartAt(uint32_t Sequence) const {
    switch (State) {
    case Knowledge::None:
    case Knowledge::Ambiguous:
      return true;
    case Knowledge::Complete:
    case Knowledge::StartKnown:
      return Sequence == First;
    case Knowledge::Partial:
      return First - Sequence <= MaxUnobservedBytes;
    }
    return true;
  }

  // Records that the target accepts the flow, starting at Sequence. MaySucceed:
  // it may have accepted the flow before and answers a copy of the opening
  // packet, after others that were not observed.
  void start(uint32_t Sequence, bool MaySucceed) {
    if (!mayStartAt(Sequence)) {
      State = Knowledge::Ambiguous; // it starts anew with each copy
    } else if (State == Knowledge::None) {
      First = Last = Sequence;
      State = MaySucceed ? Knowledge::StartKnown : Knowledge::Complete;
    } else if (State == Knowledge::Partial) {
      First = Sequence;
      State = Knowledge::StartKnown;
    }
  }

  // Records another packet of the target with Length bytes, a closing flag
  // included.
  void extend(uint32_t Sequence, uint32_t Length) {
    const uint32_t End = Sequence + Length;
    if (State == Knowledge::None) {
      First = Sequence;
      Last = End;
      State = Knowledge::Partial;
    } else if (!mayContinueAt(Sequence)) {
      State = Knowledge::Ambiguous;
    } else {
      if (precedes(Sequence, First))
        First = Sequence;
      if (precedes(Last, End))
        Last = End;
      // Numbers wrap, and older ones are no longer acknowledged.
      First = Last - std::min(Last - First, MaxUnobservedBytes);
    }
  }

  // Returns whether no packet of the target was observed.
  bool isEmpty() const { return State == Knowledge::None; }

  // Returns whether the target's numbers do not follow one another, so that
  // they distinguish the flow from no other.
  bool isAmbiguous() const { return State == Knowledge::Ambiguous; }

  // Compares the flow with that of a client's packet that acknowledges
  // Acknowledged.
  SequenceMatch match(uint32_t Acknowledged) const {
    if (isEmpty() || isAmbiguous())
      return SequenceMatch::Unknown;
    const uint32_t Observed = Last - First;
    const uint32_t Before =
        State == Knowledge::Partial ? MaxUnobservedBytes : 0;
    const uint32_t Beyond =
        State == Knowledge::Complete ? 0 : MaxUnobservedWindow;
    const uint32_t End = Last + FlagNumbers;
    if (End - Acknowledged <= std::min(Observed, MaxProvenBytes) + FlagNumbers)
      return SequenceMatch::Same;
    return End + Beyond - Acknowledged <=
                   Before + Observed + FlagNumbers + Beyond
               ? SequenceMatch::Unknown
               : SequenceMatch::Other;
  }

private:
  enum class Knowledge : uint8_t {
    None,       // no packet of the target
    Complete,   // from its first packet on
    StartKnown, // its first number, but possibly not all packets since
    Partial,    // possibly from a later packet on
    Ambiguous,  // the target's numbers do not follow one another
  };

  // The opening and the closing flag use a number each.
  static constexpr uint32_t FlagNumbers = 2;
  // A client acknowledges packets of the last round trips. In a longer range a
  // number of another flow would lie by chance: 1 MiB is 0.02% of all numbers.
  static constexpr uint32_t MaxProvenBytes = 1U << 20;
  // Bytes that a target may have sent before the observation began, and that
  // are acknowledged late. A client's packet that is two seconds old lags by
  // less on a link of 1 Gbit/s.
  static constexpr uint32_t MaxUnobservedBytes = 1U << 28;
  // An observation that begins with a retransmission, or with the answer to a
  // late copy of the opening packet, lacks what was sent before and after it.
  static constexpr uint32_t MaxUnobservedWindow = 1U << 24;

  static bool precedes(uint32_t Number, uint32_t Other) {
    return static_cast<int32_t>(Number - Other) < 0;
  }

  // Returns whether a packet at Sequence can be one of the same flow.
  bool mayContinueAt(uint32_t Sequence) const {
    return precedes(Sequence, First)
               ? State == Knowledge::Partial && mayStartAt(Sequence)
               : !precedes(Last + MaxUnobservedWindow, Sequence);
  }

  uint32_t First = 0; // of the observed numbers
  uint32_t Last = 0;
  Knowledge State = Knowledge::None;
};

} // namespace burdockstream::flows

#endif
