#include "burdockstream/flows/CompletionTime.h"

#include "burdockstream/flows/FlowBalancer.h"

#include <algorithm>
#include <cmath>
#include <gtest/gtest.h>
#include <memory>
#include <vector>

namespace burdockstream::flows {
namespace {

using std::chrono::milliseconds;
using Way = std::optional<uint32_t>(std::span<const Candidate>,
                                    base::RandomSource &);

constexpr double StatusIntervalMs = 50;
constexpr double FastMs = 24;
constexpr double SlowMs = FastMs * 2.4;
constexpr uint32_t Slots = 2;

// A target that serves its requests in the order of arrival.
struct ReplayedTarget {
  double MeanMs = 0;
  std::vector<double> FreeAt = std::vector<double>(Slots, 0);
  std::vector<double> Ends; // of requests without an answer

  // Returns when the request is answered.
  double serve(double Now, double WorkMs) {
    double &Slot = *std::min_element(FreeAt.begin(), FreeAt.end());
    Slot = std::max(Slot, Now) + WorkMs;
    Ends.push_back(Slot);
    return Slot;
  }
};

// Targets of one failure domain, every third of them slow, whose statuses reach
// all balancers at the same time.
class Replay {
public:
  Replay(size_t Balancers, uint32_t TargetCount)
      : Targets(TargetCount),
        Views(Balancers, std::vector<Candidate>(TargetCount)) {
    for (uint32_t I = 0; I < TargetCount; ++I) {
      Targets[I].MeanMs = I % 3 == 0 ? SlowMs : FastMs;
      for (auto &View : Views)
        View[I] = {I, Slots};
    }
  }

  // Returns the share of requests that take more than 300 ms, at Load of the
  // capacity.
  double lateShare(Way Choose, double Load) {
    double Capacity = 0; // requests per millisecond
    for (const ReplayedTarget &Each : Targets)
      Capacity += Slots / Each.MeanMs;
    size_t Requests = 0;
    size_t Late = 0;
    for (double Now = 0; Now < 30'000;
         Now += exponential(1 / Capacity / Load)) {
      for (; NextStatus <= Now; NextStatus += StatusIntervalMs)
        sendStatuses();
      auto &View = Views[base::randomBelow(Random, Views.size())];
      prefer(View);
      const uint32_t Chosen = *Choose(View, Random);
      ++View[Chosen].UnreportedFlows;
      ReplayedTarget &To = Targets[Chosen];
      Late += To.serve(Now, exponential(To.MeanMs)) > Now + 300 ? 1 : 0;
      ++Requests;
    }
    return static_cast<double>(Late) / static_cast<double>(Requests);
  }

private:
  double exponential(double Mean) {
    return -Mean *
           std::log((static_cast<double>(Random() >> 11) + 1) * 0x1p-53);
  }

  void sendStatuses() {
    for (size_t I = 0; I < Targets.size(); ++I) {
      std::erase_if(Targets[I].Ends,
                    [&](double End) { return End <= NextStatus; });
      for (auto &View : Views) {
        View[I].Waiting = static_cast<uint32_t>(Targets[I].Ends.size());
        View[I].UnreportedFlows = 0;
        View[I].SlotTimeUs = static_cast<uint32_t>(Targets[I].MeanMs * 1000);
      }
    }
  }

  // Draws the preferred targets of a new flow.
  void prefer(std::vector<Candidate> &View) {
    for (Candidate &Each : View) {
      Each.Preferred = false;
      Each.Penalty = NonPreferredPenalty;
    }
    for (size_t I = 0; I < PreferredTargetCount; ++I) {
      Candidate &Each = View[base::randomBelow(Random, View.size())];
      Each.Preferred = true;
      Each.Penalty = 0;
    }
  }

  std::vector<ReplayedTarget> Targets;
  std::vector<std::vector<Candidate>> Views; // of the balancers
  base::RandomSource Random{20261206};
  double NextStatus = 0;
};

// Expects that fewer requests are late than Limit, and less than a third of
// those of placement by requests per slot.
void expectFewLate(size_t Balancers, uint32_t Targets, double Load,
                   double Limit) {
  const double Late =
      Replay(Balancers, Targets).lateShare(chooseBetterOfTwo, Load);
  EXPECT_LT(Late, Limit) << Balancers << " balancers, load " << Load;
  EXPECT_LT(Late * 3, Replay(Balancers, Targets).lateShare(chooseTarget, Load));
}

// Guards against placement by requests per slot, which queues at slow targets.
TEST(CompletionTimeTest, FewRequestsAreLateAtUnevenTargets) {
  expectFewLate(6, 12, 0.6, 0.002);
  expectFewLate(6, 12, 0.85, 0.005);
  expectFewLate(23, 48, 0.6, 0.002);
  expectFewLate(23, 48, 0.85, 0.005);
}

// Guards against the choice of the single best target by many balancers at
// once.
TEST(CompletionTimeTest, ManyBalancersDoNotShareOneBestTarget) {
  EXPECT_LT(Replay(23, 48).lateShare(chooseBetterOfTwo, 0.85) * 3,
            Replay(23, 48).lateShare(chooseByLeastTime, 0.85));
}

Candidate target(uint32_t Index, uint32_t Waiting, uint32_t SlotTimeMs) {
  Candidate Result{Index, Slots, Waiting};
  Result.SlotTimeUs = SlotTimeMs * 1000;
  return Result;
}

// Guards against scaling a slot time that was measured during the warm-up once
// more, and against scaling the work after the warm-up.
TEST(CompletionTimeTest, CountsTheRestOfTheWarmUpOnce) {
  Candidate Warming = target(0, 0, 32);
  Warming.WarmupMs = 2000;
  EXPECT_NEAR(expectedTime(Warming, {}).count(), 32, 0.001);
  Warming.WarmupMs = 16; // 10 ms of the work of 20 ms
  EXPECT_NEAR(expectedTime(Warming, {}).count(), 26, 0.001);
  Warming.SlotTimeUs = 0;
  Warming.WarmupMs = 2000;
  EXPECT_NEAR(expectedTime(Warming, Milliseconds(20)).count(), 32, 0.001);
}

// Guards against an advantage or disadvantage of targets whose agents do not
// report a slot time.
TEST(CompletionTimeTest, AnUnknownSlotTimeIsThatOfTheMedianTarget) {
  const std::vector<Candidate> Choices = {target(0, 0, 20), target(1, 0, 90),
                                          target(2, 0, 30), target(3, 0, 0)};
  EXPECT_EQ(typicalSlotTime(Choices), Milliseconds(30));
  EXPECT_EQ(typicalSlotTime(std::span(Choices).last(1)), AssumedSlotTime);
}

// Guards against traffic between failure domains while the own one has
// capacity, and for downloads also with short queues.
TEST(CompletionTimeTest, LeavesTheFailureDomainOnlyUnderLoad) {
  base::RandomSource Random(1);
  std::vector<Candidate> Choices = {target(0, 0, 20), target(1, 9, 20),
                                    target(2, 0, 20)};
  Choices[1].Preferred = Choices[2].Preferred = false;
  Choices[2].Distance = remoteDistance(RemotePenalty);
  for (int I = 0; I < 20; ++I)
    EXPECT_EQ(chooseBetterOfTwo(Choices, Random), 0U);
  Choices[0].Waiting = 4;
  EXPECT_EQ(chooseByLeastTime(Choices, Random), 2U);
  size_t Remote = 0;
  for (int I = 0; I < 60; ++I)
    Remote += chooseBetterOfTwo(Choices, Random) == 2U ? 1 : 0;
  EXPECT_GT(Remote, 20U);
  Choices[2].Distance = remoteDistance(RemoteDownloadPenalty);
  EXPECT_EQ(chooseBetterOfTwo(Choices, Random), 0U);
}

// Places 30 flows, one between two statuses each, at a balancer with four
// targets. Target 0 has no waiting requests and the others one each, but takes
// ten times as long for a request. Returns how many flows target 0 got.
size_t placedAtIdleSlowTarget(base::Duration OpeningAttempt,
                              std::optional<RequestTime> Time) {
  const base::ServiceId Service = base::serviceIdOf("shopdesk");
  const base::SocketAddress Address{0xC6120001, 8443};
  base::TimePoint Now{std::chrono::seconds(100)};
  size_t Placed = 0;
  BalancerHooks Hooks;
  Hooks.SendReset = [](const FlowKey &, uint32_t) {};
  Hooks.SendFrame = [&](base::SocketAddress To, const FrameHeader &Header,
                        std::span<const uint8_t>) {
    Placed += Header.Kind == FrameKind::Forward && To.Port == 7000 ? 1 : 0;
  };
  FlowBalancer Balancer({"a", {}, 4, 125e6, OpeningAttempt}, Hooks,
                        base::RandomSource(1));
  auto Table = std::make_shared<RouteTable>();
  Table->Revision = 1;
  Table->Routes[Address] = {
      "route", {{Service, 1}}, {}, WorkClass::Idempotent, Time};
  Balancer.setRoutes(Table, Now);
  for (uint16_t I = 0; I < 30; ++I) {
    for (uint16_t J = 0; J < 4; ++J) {
      TargetStatus Status;
      Status.Sequence = I + 1U;
      Status.Service = Service;
      Status.FailureDomain = "a";
      Status.State = TargetState::Ready;
      Status.Slots = Slots;
      Status.Waiting = J == 0 ? 0 : 1;
      Status.SlotTimeUs = J == 0 ? 200'000 : 20'000;
      Balancer.onStatus({0x0A020000, static_cast<uint16_t>(7000 + J)}, Status,
                        Now);
    }
    Packet Opening;
    Opening.Flow = {{0x64400007, static_cast<uint16_t>(1024 + I)}, Address};
    Opening.Opens = true;
    Balancer.onClientPacket(Opening, Now += milliseconds(50));
  }
  return Placed;
}

// Guards against a change of placement where settings and route do not call for
// repeated offers.
TEST(CompletionTimeTest, OtherRoutesArePlacedByRequestsPerSlot) {
  const RequestTime Long{milliseconds(300), milliseconds(2800)};
  const RequestTime Short{milliseconds(300), milliseconds(2799)};
  EXPECT_EQ(placedAtIdleSlowTarget(milliseconds(1400), Long), 0U);
  EXPECT_EQ(placedAtIdleSlowTarget(milliseconds(1400), Short), 30U);
  EXPECT_EQ(placedAtIdleSlowTarget(milliseconds(1400), std::nullopt), 30U);
  EXPECT_EQ(placedAtIdleSlowTarget(milliseconds(0), Long), 30U);
}

} // namespace
} // namespace burdockstream::flows
