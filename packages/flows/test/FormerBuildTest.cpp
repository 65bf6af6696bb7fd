// Frames of build 3b4e586, which exchanges revisions without eras. Both builds
// run side by side while a fleet is upgraded.
#include "burdockstream/base/StoreEra.h"
#include "burdockstream/flows/Frame.h"

#include <gtest/gtest.h>

namespace burdockstream::flows {
namespace {

struct FormerFrames {
  base::Revision Routes;
  std::string Status;
  std::string Policy;
  std::string Hello; // the whole frame, with its header
};

// As the former build writes them: with a revision of the first era, and with
// an ordered one of a later era, which it passes on.
const FormerFrames Cases[] = {
    {4711,
     "dc00104d09cff3fbbc384d518cd9a662632d6b616d01020304cd01f4cd4268cd1267cf"
     "00000a0102031e28cd1266c3ccfa0c",
     "94a662632d6b616dcd1266c30c",
     "08000000d98c514d38bcfbf36712000000000000281e0302010a00000162632d6b616d"},
    {base::orderRevision(2, 18),
     "dc00104d09cff3fbbc384d518cd9a662632d6b616d01020304cd01f4cd4268cf000001"
     "0000000012cf00000a0102031e28cf0000010000000011c3ccfa0c",
     "94a662632d6b616dcf0000010000000011c30c",
     "08000000d98c514d38bcfbf31200000000010000281e0302010a00000162632d6b616d"},
};

std::vector<uint8_t> parseHex(const std::string &Text) {
  std::vector<uint8_t> Bytes;
  for (size_t I = 0; I < Text.size(); I += 2)
    Bytes.push_back(
        static_cast<uint8_t>(std::stoi(Text.substr(I, 2), nullptr, 16)));
  return Bytes;
}

// Returns a former status as this build writes it: the array has two more
// elements, which are zero. Former builds ignore what follows their own.
std::vector<uint8_t> withNewFields(std::vector<uint8_t> Status) {
  constexpr size_t ArrayLength = 2; // last byte of the 16-bit length
  Status[ArrayLength] += 2;
  Status.insert(Status.end(), {0, 0});
  return Status;
}

class FormerBuildTest : public ::testing::TestWithParam<FormerFrames> {};

TEST_P(FormerBuildTest, StatusDiffers) {
  const auto Bytes = parseHex(GetParam().Status);
  const auto Read = unpackStatus(Bytes);
  ASSERT_TRUE(Read.has_value());
  EXPECT_EQ(Read->NewestRoutes, GetParam().Routes);
  EXPECT_EQ(Read->Evacuation, (DomainEvacuation{GetParam().Routes - 1, true}));
  EXPECT_EQ(Read->WarmupFlowsPerSecond, 12U);
  EXPECT_EQ(Read->SlotTimeUs, 0U);
  EXPECT_EQ(Read->HeldOpenings, 0U);
  EXPECT_EQ(packStatus(*Read), withNewFields(Bytes));
}

TEST_P(FormerBuildTest, PolicyDiffers) {
  const auto Bytes = parseHex(GetParam().Policy);
  const auto Read = unpackPolicy(Bytes);
  ASSERT_TRUE(Read.has_value());
  EXPECT_EQ(Read->FailureDomain, "bc-kam");
  EXPECT_EQ(Read->Evacuation, (DomainEvacuation{GetParam().Routes - 1, true}));
  EXPECT_EQ(packPolicy(*Read), Bytes);
}

TEST_P(FormerBuildTest, HelloDiffers) {
  auto Bytes = parseHex(GetParam().Hello);
  const auto Read = readFrame(Bytes);
  ASSERT_TRUE(Read.has_value());
  EXPECT_EQ(Read->Header.Kind, FrameKind::Hello);
  EXPECT_EQ(Read->Header.Routes, GetParam().Routes);
  const auto Body = unpackHello(Read->Body);
  ASSERT_TRUE(Body.has_value());
  EXPECT_TRUE(Body->EntryMissing);
  std::vector<uint8_t> Written(FrameHeaderBytes);
  writeHeader(Read->Header, Written);
  const auto WrittenBody = packHello(*Body);
  Written.insert(Written.end(), WrittenBody.begin(), WrittenBody.end());
  EXPECT_EQ(Written, Bytes);
}

// An opening packet of a route with deadlines, as the former build forwards it:
// its reason byte is zero.
const char *const FormerOpening =
    "01000002d98c514d38bcfbf36712000000000000868e";

// Guards against a return of packets that a former balancer expects to be held.
TEST(FormerOpeningTest, HasNoReason) {
  auto Bytes = parseHex(FormerOpening);
  const auto Read = readFrame(Bytes);
  ASSERT_TRUE(Read.has_value());
  EXPECT_EQ(Read->Header.Reason, ReturnReason::None);
  std::vector<uint8_t> Written(MaxFrameHeaderBytes);
  ASSERT_EQ(writeHeader(Read->Header, Written), Written.size());
  EXPECT_EQ(Written, Bytes);
}

// Guards against a header that former agents reject or misread: they accept
// reasons up to Busy, ignore that of an opening packet, and read the rest from
// the same bytes.
TEST(FormerOpeningTest, DiffersByTheReasonByteOnly) {
  auto Bytes = parseHex(FormerOpening);
  FrameHeader Header = readFrame(Bytes)->Header;
  Header.Reason = ReturnReason::Busy;
  std::vector<uint8_t> Written(MaxFrameHeaderBytes);
  ASSERT_EQ(writeHeader(Header, Written), Written.size());
  constexpr uint8_t FormerBusy = 7;
  Bytes[1] = FormerBusy;
  EXPECT_EQ(Written, Bytes);
}

INSTANTIATE_TEST_SUITE_P(Eras, FormerBuildTest, ::testing::ValuesIn(Cases));

} // namespace
} // namespace burdockstream::flows
