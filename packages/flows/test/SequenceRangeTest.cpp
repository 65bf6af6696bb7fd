#include "burdockstream/flows/SequenceRange.h"

#include <gtest/gtest.h>

namespace burdockstream::flows {
namespace {

constexpr uint32_t NearWrap = 0xFFFFFF00;

TEST(SequenceRangeTest, ExcludesAllOthersIfObservedFromTheStart) {
  SequenceRange Range;
  EXPECT_FALSE(Range.contains(0));
  EXPECT_FALSE(Range.excludes(0));
  Range.start(NearWrap, false);
  Range.extend(NearWrap + 1, 1000); // wraps
  Range.extend(NearWrap + 1, 200);  // a retransmission
  EXPECT_TRUE(Range.isUnambiguous());
  for (const uint32_t Offset : {0U, 1U, 500U, 1001U, 1002U})
    EXPECT_TRUE(Range.contains(NearWrap + Offset)) << Offset;
  EXPECT_FALSE(Range.contains(NearWrap - 1));
  EXPECT_FALSE(Range.contains(NearWrap + 1010));
  EXPECT_FALSE(Range.contains(0x1234567));
  EXPECT_TRUE(Range.excludes(0x1234567));
}

// Guards against a holder that denies its flow because its agent has restarted
// and sees a retransmission first, or an old acknowledgement.
TEST(SequenceRangeTest, ToleratesWhatWasNotObserved) {
  SequenceRange Range;
  Range.extend(5'000'000, 1200);
  EXPECT_TRUE(Range.isUnambiguous());
  EXPECT_TRUE(Range.contains(5'019'200)); // beyond the retransmission
  EXPECT_TRUE(Range.contains(1'000));
  EXPECT_FALSE(Range.contains(0x80000000));
  Range.start(4'999'000, true); // in an answer to a late copy of the opening
  EXPECT_TRUE(Range.contains(5'001'200));
  EXPECT_FALSE(Range.contains(1'000));
}

// Guards against a holder that denies its flow because its agent has restarted
// and observes the answer to a late copy of the opening packet first.
TEST(SequenceRangeTest, AnAnswerToALateCopyIsNotTheLastPacket) {
  SequenceRange Range;
  Range.start(7'000'000, true);
  EXPECT_TRUE(Range.contains(7'500'000));
  EXPECT_FALSE(Range.contains(6'999'999));
}

// Guards against a holder that denies its flow because it answers each copy of
// the opening packet with another number.
TEST(SequenceRangeTest, ContainsAllNumbersOfAnUnknownScheme) {
  SequenceRange Range;
  Range.start(5, false);
  Range.start(0x40000000, false);
  EXPECT_FALSE(Range.isUnambiguous());
  EXPECT_TRUE(Range.contains(0x90000000));
  SequenceRange Backwards;
  Backwards.start(1'000, false);
  Backwards.extend(4, 4);
  EXPECT_FALSE(Backwards.isUnambiguous());
  EXPECT_TRUE(Backwards.contains(0x90000000));
}

} // namespace
} // namespace burdockstream::flows
