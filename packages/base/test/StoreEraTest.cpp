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

// Builds that do not know eras exchange revisions as the store gave them out.
TEST(StoreEraTest, FirstEraChangesRevisions) {
  EXPECT_EQ(orderRevision(FirstEra, 4711), 4711);
  EXPECT_EQ(orderRevision(0, 4711), 4711); // the store numbers no eras
}

TEST(StoreEraTest, EraOutOfRangeOverflows) {
  EXPECT_GT(orderRevision(INT64_MAX, 1), orderRevision(MaxEra - 1, 1));
  EXPECT_EQ(orderRevision(-5, 1), 1);
}

} // namespace
} // namespace burdockstream::base
