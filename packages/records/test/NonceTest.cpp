#include "burdockstream/records/Nonce.h"

#include <gtest/gtest.h>

namespace burdockstream::records {
namespace {

// Guards against a generated nonce that the record parser rejects, and against
// accepting one of the wrong length or with other characters.
TEST(NonceTest, NoncesDifferAndAreRecognized) {
  base::RandomSource Random(5);
  const std::string A = makeNonce(Random);
  const std::string B = makeNonce(Random);
  EXPECT_NE(A, B);
  EXPECT_TRUE(isNonce(A));
  EXPECT_FALSE(isNonce(A.substr(1)));
  EXPECT_FALSE(isNonce(A.substr(1) + "G"));
}

// Guards against reporting a write as not applied because its response was
// lost, which would make an operator repeat a change that has taken effect.
TEST(NonceTest, ResolvesWritesWithLostResponses) {
  ServiceConfig Current;
  Current.StoreRevision = 12;
  Current.Nonce = "mine";
  EXPECT_EQ(resolveWrite(&Current, 9, "mine"), WriteOutcome::Applied);
  EXPECT_EQ(resolveWrite(&Current, 12, "other"), WriteOutcome::Unchanged);
  EXPECT_EQ(resolveWrite(&Current, 9, "other"), WriteOutcome::Replaced);
  EXPECT_EQ(resolveWrite(nullptr, 0, "mine"), WriteOutcome::Unchanged);
  Current.Nonce.clear(); // a record that a tool wrote without a nonce
  EXPECT_EQ(resolveWrite(&Current, 9, ""), WriteOutcome::Replaced);
}

} // namespace
} // namespace burdockstream::records
