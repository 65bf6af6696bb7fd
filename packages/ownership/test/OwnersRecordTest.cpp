#include "burdockstream/ownership/OwnersRecord.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace burdockstream::ownership {
namespace {

OwnersRecord makeRecord(size_t Owners, size_t Buckets, uint64_t Salt) {
  OwnersRecord Record{Salt * 0x9e3779b97f4a7c15, {}, {}};
  for (size_t I = 0; I < Owners; ++I)
    Record.Owners.push_back({{~0ULL - I * (Salt | 1)}, Salt + I, Salt << 1});
  for (size_t I = 0; I < Buckets; ++I)
    Record.Buckets.push_back(
        Owners == 0 || (I + Salt) % 7 == 0
            ? BucketEntry{}
            : BucketEntry{Record.Owners[I % Owners].Id, Salt / 2 + I + 1});
  return Record;
}

// Guards against lost fields and against ids rounded as JSON numbers.
TEST(OwnersRecordTest, DecodesWhatItEncodes) {
  rc::check([](uint64_t Salt) {
    const OwnersRecord Record = makeRecord(Salt % 5, Salt % 300, Salt >> 3);
    const auto Decoded = decodeOwnersRecord(encodeOwnersRecord(Record));
    RC_ASSERT(Decoded.has_value());
    RC_ASSERT(Decoded.value() == Record);
  });
}

// Guards against a record too large for the write rate of the store.
TEST(OwnersRecordTest, IsCompact) {
  EXPECT_LT(encodeOwnersRecord(makeRecord(100, 256, 1ULL << 40)).size(),
            16'384U);
}

// Guards against owners read from a corrupt record.
TEST(OwnersRecordTest, RefusesMalformedText) {
  for (const char *Text :
       {"", "[]", R"({"v":2})", R"({"v":1,"nonce":1})",
        R"({"v":1,"nonce":"1","owners":[],"buckets":[[1,0]]})",
        R"({"v":1,"nonce":"1","owners":[["0",1,"1"]],"buckets":[]})",
        R"({"v":1,"nonce":"x","owners":[],"buckets":[]})"})
    EXPECT_FALSE(decodeOwnersRecord(Text).has_value()) << Text;
}

} // namespace
} // namespace burdockstream::ownership
