#include "burdockstream/base/StoreEra.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace burdockstream::base {
namespace {

Revision drawRevision() {
  return *rc::gen::inRange<Revision>(0, Revision{1} << RevisionBits);
}

TEST(StoreEraTest, RevisionOfAnEarlierEraComparesHigher) {
  EXPECT_TRUE(rc::check([] {
    const Era Earlier = *rc::gen::inRange(FirstEra, MaxEra);
    const Era Later = *rc::gen::inRange(Earlier + 1, MaxEra + 1);
    RC_ASSERT(orderRevision(Earlier, drawRevision()) <
              orderRevision(Later, drawRevision()));
  }));
}

TEST(StoreEraTest, OrderedRevisionLosesEraOrRevision) {
  EXPECT_TRUE(rc::check([] {
    const Era Drawn = *rc::gen::inRange(FirstEra, MaxEra + 1);
    const Revision Given = drawRevision();
    RC_ASSERT(eraOf(orderRevision(Drawn, Given)) == Drawn);
    RC_ASSERT(givenRevision(orderRevision(Drawn, Given)) == Given);
  }));
}

Revision drawLargeRevision() {
  return *rc::gen::inRange<Revision>(Revision{1} << RevisionBits,
                                     MaxRevisionInEra + 1);
}

// Guards against a store that is not read because it counts from its time of
// start (review/10).
TEST(StoreEraTest, OrdersLargeRevisions) {
  EXPECT_TRUE(rc::check([] {
    const Era Earlier = *rc::gen::inRange(FirstEra, MaxLargeEra);
    const Era Later = *rc::gen::inRange(Earlier + 1, MaxLargeEra + 1);
    const Revision A = drawLargeRevision();
    const Revision B = drawLargeRevision();
    RC_ASSERT(orderRevision(Earlier, A) < orderRevision(Later, B));
    RC_ASSERT((orderRevision(Later, A) < orderRevision(Later, B)) == (A < B));
    RC_ASSERT(eraOf(orderRevision(Later, A)) == Later);
    RC_ASSERT(givenRevision(orderRevision(Later, A)) == A);
    // A counter that passes 2^40 within its era.
    RC_ASSERT(orderRevision(Later, drawRevision()) < orderRevision(Later, A));
  }));
}

// Builds that do not know eras exchange revisions as the store gave them out.
TEST(StoreEraTest, FirstEraChangesRevisions) {
  EXPECT_EQ(orderRevision(FirstEra, 4711), 4711);
  EXPECT_EQ(orderRevision(0, 4711), 4711); // the store numbers no eras
}

TEST(StoreEraTest, EraOutOfRangeOverflows) {
  EXPECT_GT(orderRevision(INT64_MAX, 1), orderRevision(MaxEra - 1, 1));
  EXPECT_EQ(orderRevision(-5, 1), 1);
  EXPECT_GT(orderRevision(INT64_MAX, MaxRevisionInEra),
            orderRevision(MaxLargeEra - 1, MaxRevisionInEra));
}

} // namespace
} // namespace burdockstream::base
