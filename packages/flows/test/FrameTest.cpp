#include "burdockstream/flows/Frame.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace burdockstream::flows {
namespace {

TEST(FrameTest, CarriesAHeaderAndABody) {
  std::vector<uint8_t> Bytes(FrameHeaderBytes + 3, 7);
  FrameHeader Header;
  Header.Kind = FrameKind::Returned;
  Header.Reason = ReturnReason::OldRoutes;
  Header.WorkClass = 2;
  Header.Service = base::serviceIdOf("shopdesk");
  Header.Routes = -3;
  writeHeader(Header, Bytes);
  const auto Read = readFrame(Bytes);
  ASSERT_TRUE(Read.has_value());
  EXPECT_EQ(Read->Header.Kind, Header.Kind);
  EXPECT_EQ(Read->Header.Reason, Header.Reason);
  EXPECT_EQ(Read->Header.WorkClass, Header.WorkClass);
  EXPECT_EQ(Read->Header.Service, Header.Service);
  EXPECT_EQ(Read->Header.Routes, Header.Routes);
  EXPECT_EQ(Read->Body.size(), 3U);
}

TEST(FrameTest, CarriesAStatus) {
  TargetStatus Status;
  Status.Incarnation = 1ULL << 63;
  Status.Sequence = 5;
  Status.Service = base::serviceIdOf("shopdesk");
  Status.FailureDomain = "bc-kam";
  Status.State = TargetState::Leaving;
  Status.Waiting = 9;
  Status.NewestRoutes = 77;
  Status.NewestRoutesAt = {0x0A010203, 7000};
  Status.Evacuation = {88, true};
  Status.EjectedMs = 1234;
  Status.SlotTimeUs = 24'000;
  Status.HeldOpenings = 70;
  const auto Read = unpackStatus(packStatus(Status));
  ASSERT_TRUE(Read.has_value());
  EXPECT_EQ(Read->Incarnation, Status.Incarnation);
  EXPECT_EQ(Read->FailureDomain, Status.FailureDomain);
  EXPECT_EQ(Read->State, Status.State);
  EXPECT_EQ(Read->Waiting, Status.Waiting);
  EXPECT_EQ(Read->NewestRoutesAt, Status.NewestRoutesAt);
  EXPECT_EQ(Read->Evacuation, Status.Evacuation);
  EXPECT_EQ(Read->EjectedMs, Status.EjectedMs);
  EXPECT_EQ(Read->SlotTimeUs, Status.SlotTimeUs);
  EXPECT_EQ(Read->HeldOpenings, Status.HeldOpenings);
}

// Guards against losing the statuses of agents of an older build, which lack
// the last fields.
TEST(FrameTest, ReadsAStatusOfAnOlderAgent) {
  TargetStatus Status;
  Status.Slots = 6;
  Status.Evacuation = {88, true};
  std::vector<uint8_t> Body = packStatus(Status);
  constexpr uint8_t FixedArray = 0x90; // msgpack: an array of up to 15 elements
  constexpr uint8_t Array16 = 0xDC;    // followed by a 16-bit length
  ASSERT_EQ(Body[0], Array16);
  ASSERT_EQ(Body[2], 18);
  Body.erase(Body.begin(), Body.begin() + 2);
  Body[0] = FixedArray | 12;
  Body.resize(Body.size() - 6); // the last fields take one byte each
  const auto Read = unpackStatus(Body);
  ASSERT_TRUE(Read.has_value());
  EXPECT_EQ(Read->Slots, 6U);
  EXPECT_EQ(Read->Evacuation, DomainEvacuation());
}

TEST(FrameTest, CarriesAPolicy) {
  const auto Read = unpackPolicy(packPolicy({"bc-kam", {88, true}, 9}));
  ASSERT_TRUE(Read.has_value());
  EXPECT_EQ(Read->FailureDomain, "bc-kam");
  EXPECT_EQ(Read->Evacuation, (DomainEvacuation{88, true}));
  EXPECT_EQ(Read->WarmupFlowsPerSecond, 9U);
}

TEST(FrameTest, CarriesAHello) {
  const auto Read = unpackHello(packHello({{0x0A010203, 7000}, true, "thun"}));
  ASSERT_TRUE(Read.has_value());
  EXPECT_EQ(Read->Control, (base::SocketAddress{0x0A010203, 7000}));
  EXPECT_TRUE(Read->EntryMissing);
  EXPECT_EQ(Read->FailureDomain, "thun");
}

// Guards against lost or wrong deadlines in a frame header, and against
// rejecting frames of balancers that do not send them.
TEST(FrameTest, CarriesTheTimeOfARequest) {
  for (const int Ms : {-50, 1, 150, 1'200, 60'000}) {
    FrameHeader Header;
    Header.Time = RequestTime{std::chrono::milliseconds(Ms),
                              std::chrono::milliseconds(2 * Ms)};
    std::vector<uint8_t> Bytes(MaxFrameHeaderBytes);
    ASSERT_EQ(writeHeader(Header, Bytes), Bytes.size());
    const auto Read = readFrame(Bytes);
    ASSERT_TRUE(Read && Read->Header.Time);
    const double Carried =
        static_cast<double>(Read->Header.Time->ToLatencyTarget.count()) / 1000;
    const int Expected = std::max(Ms, 0);
    EXPECT_NEAR(Carried, Expected, 0.03 * Expected);
    Bytes[3] = 0; // no deadlines
    EXPECT_FALSE(readFrame(Bytes)->Header.Time.has_value());
    Bytes[3] = 7;
    EXPECT_FALSE(readFrame(Bytes).has_value());
  }
}

// Guards against a crash on arbitrary datagrams.
RC_GTEST_PROP(FrameTest, AnyBytesAreReadOrRefused,
              (std::vector<uint8_t> Bytes)) {
  if (const auto Read = readFrame(Bytes)) {
    const size_t TimeBytes = Read->Header.Time ? FrameTimeBytes : 0;
    RC_ASSERT(Read->Body.size() + FrameHeaderBytes + TimeBytes == Bytes.size());
  }
  unpackStatus(Bytes);
  unpackHello(Bytes);
  unpackPolicy(Bytes);
}

} // namespace
} // namespace burdockstream::flows
