// The counters that an agent reports as load, for any order of packets.
#include "burdockstream/flows/FlowAgent.h"

#include "burdockstream/base/Random.h"

#include <gtest/gtest.h>
#include <map>

namespace burdockstream::flows::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::SocketAddress BalancerAddress{0x0A020000, 7000};
constexpr base::SocketAddress ServiceAddress{0xC6120001, 8443};
constexpr std::string_view Service = "shopdesk";

// An agent whose frames are recorded, and the packets of its clients and of its
// target, which the test sends in any order.
class LoadCountersTest : public ::testing::Test {
protected:
  void SetUp() override {
    AgentHooks Hooks;
    Hooks.DeliverToTarget = [](std::span<const uint8_t>) {};
    Hooks.SendToClient = [](const FlowKey &, std::span<const uint8_t>) {};
    Hooks.SendReset = [](const FlowKey &, uint32_t) {};
    Hooks.Stamp = [this](std::span<const uint8_t>, uint32_t Tag) {
      LastTag = Tag;
    };
    Hooks.ProbeTarget = [] {};
    Hooks.SendFrame = [this](base::SocketAddress, const FrameHeader &Header,
                             std::span<const uint8_t> Body) {
      if (Header.Kind == FrameKind::Status)
        Reported = unpackStatus(Body).value_or(TargetStatus());
    };
    AgentOptions Options;
    Options.Target = {std::string(Service), {0x0A010000, 8080}};
    Agent = std::make_unique<FlowAgent>(Options, Hooks);
    Agent->start(Now);
    Agent->onHello(BalancerAddress, 10, {}, Now);
    advance(milliseconds(0));
  }

  static FlowKey flow(uint16_t Port) {
    return {{0x64400007, Port}, ServiceAddress};
  }

  void sendHeartbeat() {
    Heartbeat Beat;
    Beat.TargetId = "i-0";
    Beat.Service = std::string(Service);
    Beat.Address = {0x0A010000, 8080};
    Beat.StartedAtMs = StartedAtMs;
    Beat.Sequence = ++Heartbeats;
    Beat.Slots = 2;
    Agent->onHeartbeat(Beat, Now);
  }

  // Advances the time in ticks, with a heartbeat in each.
  void advance(base::Duration Time) {
    const base::TimePoint End = Now + Time;
    do {
      Now = std::min(End, Now + milliseconds(50));
      sendHeartbeat();
      Agent->tick(Now);
    } while (Now < End);
  }

  // Returns a packet with one of its flags set.
  static Packet with(bool Packet::*Flag) {
    Packet Result;
    Result.*Flag = true;
    return Result;
  }

  static Packet data(uint32_t Sequence) {
    Packet Result;
    Result.Sequence = Sequence;
    Result.DataBytes = 100;
    return Result;
  }

  void fromClient(uint16_t Port, Packet Value) {
    Value.Flow = flow(Port);
    FrameHeader Header;
    Header.Service = base::serviceIdOf(Service);
    Header.Routes = 10;
    Agent->onFrame(BalancerAddress, Header, Value, Now);
  }

  void fromTarget(uint16_t Port, Packet Value) {
    Value.Flow = flow(Port);
    Agent->onTargetPacket(Value, Now);
  }

  void open(uint16_t Port) { fromClient(Port, with(&Packet::Opens)); }
  void accept(uint16_t Port) { fromTarget(Port, with(&Packet::Accepts)); }
  void request(uint16_t Port, uint32_t Sequence = 1) {
    fromClient(Port, data(Sequence));
  }
  void respond(uint16_t Port) { fromTarget(Port, data(1)); }

  // Serves one request on a flow that both ends close, the target first.
  void serve(uint16_t Port, uint32_t Sequence = 1) {
    open(Port);
    accept(Port);
    request(Port, Sequence);
    respond(Port);
    fromTarget(Port, with(&Packet::Finishes));
    fromClient(Port, with(&Packet::Finishes));
    fromTarget(Port, Packet()); // acknowledges the client's end
  }

  // Returns the status after all that is due to be reported.
  const TargetStatus &status() {
    advance(seconds(1));
    return Reported;
  }

  std::unique_ptr<FlowAgent> Agent;
  TargetStatus Reported;
  base::TimePoint Now = base::TimePoint(seconds(100));
  uint64_t Heartbeats = 0;
  int64_t StartedAtMs = 1000;
  uint32_t LastTag = 0;
};

// Guards against a flow that counts as open again when the target acknowledges
// the client's end: the load of a target would grow with all flows that it has
// served, and balancers would prefer those that have served the fewest.
TEST_F(LoadCountersTest, AClosedFlowStaysClosed) {
  for (uint16_t Port = 1; Port <= 20; ++Port)
    serve(Port);
  EXPECT_EQ(status().Flows, 0U);
  EXPECT_EQ(status().Waiting, 0U);
}

// Guards against a closed flow that an agent counts as open for up to two idle
// timeouts: it was restarted after the target had closed the flow, and sees
// only the target's last acknowledgement.
TEST_F(LoadCountersTest, AnAcknowledgementOfAnUnknownFlowDoesNotOpenIt) {
  fromTarget(1, Packet());
  fromClient(1, with(&Packet::Finishes));
  fromTarget(1, Packet());
  EXPECT_EQ(status().Flows, 0U);
  respond(1); // only an open flow gets data
  EXPECT_EQ(status().Flows, 1U);
}

// Guards against a target that has restarted cold and looks as fast as before,
// so that balancers prefer it to warm ones.
TEST_F(LoadCountersTest, ANewRunHasNoSlotTimeYet) {
  for (uint16_t Port = 1; Port <= 20; ++Port) {
    open(Port);
    accept(Port);
    request(Port);
    advance(milliseconds(50));
    respond(Port);
  }
  EXPECT_GT(status().SlotTimeUs, 40'000U);
  StartedAtMs += 20'000;
  Heartbeats = 0;
  EXPECT_EQ(status().SlotTimeUs, 0U);
}

// Guards against the same of a target whose failure domain returns from an
// evacuation, in which it had no work.
TEST_F(LoadCountersTest, AnEvacuationEndsTheSlotTime) {
  for (uint16_t Port = 1; Port <= 20; ++Port) {
    open(Port);
    accept(Port);
    request(Port);
    advance(milliseconds(50));
    respond(Port);
  }
  ASSERT_GT(status().SlotTimeUs, 0U);
  TargetPolicy Policy;
  Policy.WarmupFlowsPerSecond = 10;
  Policy.Evacuation = {1, true};
  Agent->onPolicy(BalancerAddress, 10, Policy, Now);
  Policy.Evacuation = {2, false};
  Agent->onPolicy(BalancerAddress, 10, Policy, Now);
  EXPECT_EQ(status().SlotTimeUs, 0U);
}

// Guards against a flow at a reused port that counts neither as open nor as
// waiting, since the record of the closed flow before it has another sequence.
TEST_F(LoadCountersTest, AReusedPortIsANewFlow) {
  serve(1, 1U << 31);
  open(1);
  accept(1);
  request(1, 1);
  EXPECT_EQ(status().Waiting, 1U);
  respond(1);
  EXPECT_EQ(status().Flows, 1U);
  EXPECT_EQ(status().Waiting, 0U);
}

// Guards against a flow that its client has reset and that counts as open
// again, because a packet of the target was on its way.
TEST_F(LoadCountersTest, AFlowThatItsClientResetStaysClosed) {
  open(1);
  accept(1);
  request(1);
  fromClient(1, with(&Packet::Aborts));
  respond(1);
  EXPECT_EQ(status().Flows, 0U);
  EXPECT_EQ(status().Waiting, 0U);
}

// Packets of random flows in random order, as copies, losses and reordering on
// the way produce them. A fake target that holds a flow from its opening packet
// to its end bounds the counters.
class RandomPacketsTest : public LoadCountersTest {
protected:
  static constexpr uint16_t Ports = 12;

  struct TargetFlow {
    uint32_t Sequence = 0;
    bool Finished = false; // the target has closed its side
  };

  void openAt(uint16_t Port) {
    open(Port);
    if (base::randomBelow(Random, 4) == 0) {
      Held.erase(Port);
      Packet Refused = with(&Packet::Opens);
      Refused.Returned = true;
      Refused.Tag = LastTag;
      return fromTarget(Port, Refused);
    }
    Held.try_emplace(Port, TargetFlow{static_cast<uint32_t>(base::randomBelow(
                                          Random, uint64_t(1) << 32)),
                                      false});
    accept(Port);
  }

  void step() {
    const auto Port =
        static_cast<uint16_t>(1 + base::randomBelow(Random, Ports));
    const auto Found = Held.find(Port);
    const uint64_t Choice = base::randomBelow(Random, 10);
    if (Choice == 0)
      return advance(milliseconds(base::randomBelow(Random, 200)));
    if (Found == Held.end())
      return openAt(Port);
    TargetFlow &Flow = Found->second;
    switch (Choice) {
    case 1: // a further copy of the opening packet
      if (!Flow.Finished)
        open(Port);
      return;
    case 2:
      return fromClient(Port, with(&Packet::Finishes));
    case 3:
      Flow.Finished = true;
      return fromTarget(Port, with(&Packet::Finishes));
    case 4:
      fromTarget(Port, with(&Packet::Aborts));
      Held.erase(Found);
      return;
    case 5: // an acknowledgement of the target is on its way
      fromClient(Port, with(&Packet::Aborts));
      Held.erase(Found);
      return fromTarget(Port, Packet());
    case 6:
      return fromTarget(Port, Packet());
    case 7:
      return respond(Port);
    default: // a new request, or a copy of the last one
      if (base::randomBelow(Random, 2) == 0)
        Flow.Sequence += 100;
      return request(Port, Flow.Sequence);
    }
  }

  std::map<uint16_t, TargetFlow> Held;
  base::RandomSource Random{20261206};
};

// Guards against counters of a status that exceed the flows that exist, or that
// stay above zero when no flow is left.
TEST_F(RandomPacketsTest, CountersFollowTheFlowsThatExist) {
  for (int Round = 0; Round < 200; ++Round) {
    for (int I = 0; I < 100; ++I)
      step();
    Agent->startLeaving(Now); // sends a status at once
    size_t Open = 0;
    for (const auto &[Port, Flow] : Held)
      Open += Flow.Finished ? 0 : 1;
    ASSERT_LE(Reported.Flows, Open) << "round " << Round;
    // Openings that the target refused or reset may count for a while.
    ASSERT_LE(Reported.Waiting, uint32_t(Ports)) << "round " << Round;
    for (const auto &[Port, Flow] : Held)
      fromTarget(Port, with(&Packet::Aborts));
    Held.clear();
    // Longer than the handshake of an opening that was refused.
    advance(OpeningTimeoutHandshakes * MaxHandshake + milliseconds(100));
    ASSERT_EQ(status().Flows, 0U) << "round " << Round;
    ASSERT_EQ(status().Waiting, 0U) << "round " << Round;
  }
}

} // namespace
} // namespace burdockstream::flows::test
