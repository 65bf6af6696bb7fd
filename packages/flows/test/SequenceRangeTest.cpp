#include "burdockstream/flows/SequenceRange.h"

#include <gtest/gtest.h>
#include <initializer_list>

namespace burdockstream::flows {
namespace {

constexpr uint32_t NearWrap = 0xFFFFFF00;
constexpr uint32_t Mebibyte = 1U << 20;

void expectMatch(const SequenceRange &Range, SequenceMatch Expected,
                 std::initializer_list<uint32_t> Numbers) {
  for (const uint32_t Number : Numbers)
    EXPECT_EQ(Range.match(Number), Expected) << Number;
}

TEST(SequenceRangeTest, ExcludesAllOthersIfObservedFromTheStart) {
  SequenceRange Range;
  expectMatch(Range, SequenceMatch::Unknown, {0, 5, NearWrap});
  Range.start(NearWrap, false);
  Range.extend(NearWrap + 1, 1000); // wraps
  Range.extend(NearWrap + 1, 200);  // a retransmission
  EXPECT_FALSE(Range.isAmbiguous());
  for (const uint32_t Offset : {0U, 1U, 500U, 1001U, 1002U})
    expectMatch(Range, SequenceMatch::Same, {NearWrap + Offset});
  expectMatch(Range, SequenceMatch::Other,
              {NearWrap - 1, NearWrap + 1010, 0x1234567});
}

// Guards against a holder that denies its flow because its agent has restarted
// and sees a retransmission first, or an old acknowledgement; and against a
// proof by numbers that were not observed (review/12).
TEST(SequenceRangeTest, UnobservedNumbersProveNothing) {
  SequenceRange Range;
  Range.extend(5'000'000, 1200);
  EXPECT_FALSE(Range.isAmbiguous());
  expectMatch(Range, SequenceMatch::Same, {5'000'000, 5'001'200});
  // Beyond the retransmission, and before it.
  expectMatch(Range, SequenceMatch::Unknown, {5'019'200, 4'999'999, 1'000});
  expectMatch(Range, SequenceMatch::Other, {0x80000000});
  Range.extend(4'999'500, 100); // an earlier retransmission
  expectMatch(Range, SequenceMatch::Same, {4'999'500});
  Range.start(4'999'000, true); // in an answer to a late copy of the opening
  expectMatch(Range, SequenceMatch::Same, {4'999'000, 5'001'200});
  expectMatch(Range, SequenceMatch::Unknown, {5'019'200});
  expectMatch(Range, SequenceMatch::Other, {1'000, 4'998'999});
}

// Guards against a holder that denies its flow because its agent has restarted
// and observes the answer to a late copy of the opening packet first.
TEST(SequenceRangeTest, AnAnswerToALateCopyIsNotTheLastPacket) {
  SequenceRange Range;
  Range.start(7'000'000, true);
  expectMatch(Range, SequenceMatch::Same, {7'000'000, 7'000'001});
  expectMatch(Range, SequenceMatch::Unknown, {7'500'000});
  expectMatch(Range, SequenceMatch::Other, {6'999'999});
}

// Guards against a holder that denies its flow because it answers each copy of
// the opening packet with another number.
TEST(SequenceRangeTest, AnUnknownSchemeProvesNothing) {
  SequenceRange Range;
  Range.start(5, false);
  EXPECT_FALSE(Range.mayStartAt(0x40000000));
  Range.start(0x40000000, false);
  EXPECT_TRUE(Range.isAmbiguous());
  expectMatch(Range, SequenceMatch::Unknown, {5, 0x40000000, 0x90000000});
  for (const uint32_t Next : {4U, 0x30000000U}) { // backwards, and far ahead
    SequenceRange Jumping;
    Jumping.start(1'000, false);
    Jumping.extend(Next, 4);
    EXPECT_TRUE(Jumping.isAmbiguous()) << Next;
    expectMatch(Jumping, SequenceMatch::Unknown, {1'000, 0x90000000});
  }
}

// Guards against a flow that takes most numbers for its own after it has sent
// gigabytes, or that is ambiguous once its numbers have wrapped.
TEST(SequenceRangeTest, OnlyTheLastNumbersOfALongFlowProveAnything) {
  SequenceRange Range;
  Range.start(NearWrap, false);
  uint32_t Next = NearWrap + 1;
  for (int I = 0; I < 5'000; ++I, Next += Mebibyte)
    Range.extend(Next, Mebibyte);
  EXPECT_FALSE(Range.isAmbiguous());
  expectMatch(Range, SequenceMatch::Same, {Next, Next - Mebibyte});
  expectMatch(Range, SequenceMatch::Unknown, {Next - 2 * Mebibyte});
  expectMatch(Range, SequenceMatch::Other,
              {Next + Mebibyte, Next - 512 * Mebibyte});
}

} // namespace
} // namespace burdockstream::flows
