// A client uses a port again: records of its former flow must not answer for
// the new one, whatever ended the former flow.
#include "FlowFixture.h"

#include <gtest/gtest.h>
#include <tuple>

namespace burdockstream::flows::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// How the former flow ends.
enum class FormerEnd : uint8_t {
  Closed,     // by both sides, the target first
  ClosedLate, // the same; the target still repeats its last packet
  ResetByClient,
  ResetLate, // by the client, while an answer is on its way
  Abandoned, // by the client, without a packet; the target still holds it
  Discarded, // as before, and the target has dropped it
};

class ReusedPortFixture : public ::testing::Test {
protected:
  void SetUp() override {
    for (size_t I = 0; I < 3; ++I) {
      Sim.addBalancer();
      Sim.setRoutes(I, 10, {{ShopAddress, std::string(Shop)}});
    }
    Sim.addAgent();
    Sim.addAgent();
    Sim.listAll();
    run(seconds(2));
  }

  void run(base::Duration Time) {
    for (base::Duration Done{0}; Done < Time; Done += milliseconds(1000)) {
      Sim.sendHeartbeats();
      Sim.run(milliseconds(1000));
    }
  }

  // Opens a flow at Target through Balancer, with one request.
  void openAt(size_t Target, size_t Balancer = 0) {
    Sim.Agents[1 - Target].Target.Full = true;
    Sim.OpeningSequence += 5'000'000;
    const std::vector<FlowKey> &Opened = Sim.Agents[Target].Target.Opened;
    const size_t Before = Opened.size();
    Sim.openAndRequest(Balancer, Flow);
    ASSERT_EQ(Opened.size(), Before + 1);
    ASSERT_EQ(Opened.back(), Flow);
    Sim.Agents[1 - Target].Target.Full = false;
  }

  void endFormer(FormerEnd End) {
    FakeTarget &Target = Sim.Agents[0].Target;
    switch (End) {
    case FormerEnd::Closed:
    case FormerEnd::ClosedLate:
      Sim.finishAtTarget(0, Flow);
      Sim.sendEnd(0, Flow);
      if (End == FormerEnd::ClosedLate)
        Sim.finishAtTarget(0, Flow);
      break;
    case FormerEnd::ResetByClient:
    case FormerEnd::ResetLate: {
      const auto Held = Target.Held;
      Sim.sendEnd(0, Flow, true);
      if (End == FormerEnd::ResetLate) {
        Target.Held = Held;
        Sim.finishAtTarget(0, Flow);
      }
      break;
    }
    case FormerEnd::Abandoned:
      return;
    case FormerEnd::Discarded:
      break;
    }
    Target.Held.clear();
  }

  // The new flow is served by Target and not reset.
  void expectServed(size_t Target = 1) {
    const size_t Before = Sim.Agents[Target].Target.Requests;
    const size_t FormerRequests = Sim.Agents[1 - Target].Target.Requests;
    EXPECT_TRUE(Sim.Resets.empty());
    for (int I = 0; I < 3; ++I) {
      Sim.send(1, Flow);
      run(milliseconds(1000));
    }
    EXPECT_TRUE(Sim.Resets.empty());
    EXPECT_EQ(Sim.Agents[Target].Target.Requests, Before + 3);
    EXPECT_EQ(Sim.Agents[1 - Target].Target.Requests, FormerRequests);
  }

  // Returns a packet of the client's open flow.
  Packet clientPacket() {
    Packet Result;
    Result.Flow = Flow;
    Result.Acknowledged = Sim.acknowledged(Flow);
    return Result;
  }

  const FlowKey Flow = Simulation::flow(30'001);
  Simulation Sim;
};

class ReusedPortTest : public ReusedPortFixture,
                       public ::testing::WithParamInterface<FormerEnd> {};

// Guards against the agent of the former flow, which answers a search of
// another balancer, gets the packet back from its target and resets the new
// flow (review/8).
TEST_P(ReusedPortTest, ASearchFindsTheNewFlow) {
  openAt(0);
  endFormer(GetParam());
  run(seconds(33));
  openAt(1);
  expectServed();
}

// Guards against a balancer whose own entry is that of the former flow.
TEST_P(ReusedPortTest, AFormerEntryOfABalancerDoesNotKeepTheNewFlow) {
  openAt(0);
  Sim.send(1, Flow);
  endFormer(GetParam());
  run(seconds(13));
  openAt(1);
  expectServed();
}

// Guards against an agent that has restarted during the former flow and does
// not know its beginning.
TEST_P(ReusedPortTest, ARestartOfTheFormerAgentChangesNothing) {
  openAt(0);
  Sim.restartAgent(0);
  run(seconds(1));
  Sim.send(0, Flow);
  endFormer(GetParam());
  run(seconds(13));
  openAt(1);
  expectServed();
}

// Guards against a search for the former flow that goes on with a packet of the
// new one: agents that have denied the former flow counted for both.
TEST_F(ReusedPortFixture, ASearchOfTheFormerFlowEndsNoOther) {
  openAt(0);
  Sim.Agents[0].Target.Held.clear();
  Sim.DropsFrameFrom = [&](base::SocketAddress From, base::SocketAddress To) {
    return From == Sim.Agents[0].Address && To == Sim.Balancers[1].Address;
  };
  Sim.send(1, Flow); // the second agent denies it, the first one is not heard
  openAt(1);
  Sim.send(1, Flow);
  Sim.DropsFrameFrom = nullptr;
  Sim.run(milliseconds(500));
  EXPECT_TRUE(Sim.Resets.empty());
  run(seconds(2));
  expectServed();
}

// Guards against a search for the former flow that ends while the client opens
// the new one at the same balancer: it resets the opening and drops its entry.
TEST_F(ReusedPortFixture, AnOpeningEndsTheSearchOfTheFormerFlow) {
  openAt(0);
  Sim.Agents[0].Target.Held.clear();
  Sim.DropsFrameFrom = [&](base::SocketAddress From, base::SocketAddress To) {
    return From == Sim.Agents[0].Address && To == Sim.Balancers[1].Address;
  };
  Sim.send(1, Flow);
  openAt(1, 1);
  Sim.DropsFrameFrom = nullptr;
  run(seconds(2));
  EXPECT_TRUE(Sim.Resets.empty());
  expectServed();
}

// How the former flow ends, and by how much the first number of the new flow's
// target differs from the former one's.
class RestartedAgentTest
    : public ReusedPortFixture,
      public ::testing::WithParamInterface<std::tuple<FormerEnd, uint32_t>> {
protected:
  // Opens the former flow, whose agent restarts in the middle.
  void openFormer() {
    Sim.NextStart = FormerStart;
    openAt(0);
    Sim.restartAgent(0);
    run(seconds(1));
    Sim.send(0, Flow);
  }

  static constexpr uint32_t FormerStart = 0xFFFFFFF0; // the numbers wrap
};

// Guards against the record of an agent that has restarted during the former
// flow: it was completed by a guess of 6.6% of all numbers, and an agent that
// took a new flow for the former one answered for it and reset it (review/12).
TEST_P(RestartedAgentTest, AGuessedRecordDoesNotAnswerForTheNewFlow) {
  const auto [End, Distance] = GetParam();
  openFormer();
  endFormer(End);
  run(seconds(13));
  Sim.NextStart = FormerStart + Distance;
  openAt(1);
  expectServed();
}

// Guards against a record that is taken over by a second flow from the same
// port, since an agent that has restarted does not know which opening packet
// its record began with, and that answers for the third flow.
TEST_P(RestartedAgentTest, ARecordOfTwoFlowsDoesNotAnswerForTheThird) {
  const auto [End, Distance] = GetParam();
  openFormer();
  endFormer(End);
  run(seconds(3));
  Sim.NextStart = FormerStart + 2 * Distance;
  openAt(0);
  expectServed(0);
  endFormer(End);
  run(seconds(3));
  Sim.NextStart = FormerStart + Distance;
  openAt(1);
  expectServed();
}

// Guards against an agent with all records that drops that of the new flow, and
// then denies it, because of a late reset of the former flow.
TEST_F(ReusedPortFixture, ALateResetOfTheFormerFlowEndsNoOther) {
  openAt(0);
  Packet Late = clientPacket();
  Late.Aborts = true;
  Sim.Agents[0].Target.Held.clear();
  openAt(0);
  Sim.Balancers[0].Core->onClientPacket(Sim.Registry.write(Late), Sim.Now);
  run(milliseconds(1000));
  expectServed(0);
}

// As before, because the target resets the former flow late.
TEST_F(ReusedPortFixture, ALateResetByTheTargetEndsNoOther) {
  openAt(0);
  Packet Late = clientPacket();
  Late.Aborts = true;
  Late.Sequence = Late.Acknowledged;
  Sim.Agents[0].Target.Held.clear();
  openAt(0);
  Sim.Agents[0].Core->onTargetPacket(Sim.Registry.write(Late, Sender::Target),
                                     Sim.Now);
  expectServed(0);
}

// As before, because the target has returned a packet of the former flow just
// before it accepted the new one.
TEST_F(ReusedPortFixture, AReturnedPacketOfTheFormerFlowEndsNoOther) {
  openAt(0);
  Sim.Agents[0].Target.Held.clear();
  const Packet Late = Sim.Registry.write(clientPacket());
  Sim.Agents[0].Core->onFrame(Sim.Balancers[0].Address, FrameHeader(), Late,
                              Sim.Now);
  Sim.Resets.clear(); // of the former flow, which the target has lost
  openAt(0);
  Packet Returned = Sim.Registry.read(Late.Bytes);
  Returned.Returned = true;
  Sim.Agents[0].Core->onTargetPacket(Returned, Sim.Now);
  run(milliseconds(1000));
  // The packet may be answered by a reset with the number of its own flow.
  for (const uint32_t Sequence : Sim.ResetSequences)
    EXPECT_EQ(Sequence, Late.Acknowledged);
  Sim.Resets.clear();
  expectServed(0);
}

// Guards against the end of the former target, which resets the flows that its
// agent has records of.
TEST_P(ReusedPortTest, TheEndOfTheFormerTargetResetsNoClosedFlow) {
  if (GetParam() == FormerEnd::Abandoned || GetParam() == FormerEnd::Discarded)
    return; // nothing distinguishes these from flows that are still open
  openAt(0);
  endFormer(GetParam());
  run(seconds(13));
  openAt(1);
  Sim.Agents[0].StartedAtMs += 5000; // a new run
  Sim.Agents[0].HeartbeatsSent = 0;
  expectServed();
}

// Guards against a flow that its target has closed and whose client's end is
// not delivered, because the target's sequence numbers do not follow one
// another.
TEST(UnknownSequenceNumbersTest, TheClientsEndIsDelivered) {
  Simulation Sim;
  Sim.addBalancer();
  Sim.setRoutes(0, 10, {{ShopAddress, std::string(Shop)}});
  Sim.addAgent();
  Sim.listAll();
  for (int I = 0; I < 2; ++I) {
    Sim.sendHeartbeats();
    Sim.run(milliseconds(1000));
  }
  const FlowKey Flow = Simulation::flow(1);
  Sim.openAndRequest(0, Flow);
  for (auto &[Key, Numbers] : Sim.Agents[0].Target.Held)
    Numbers.Next -= 1'000'000;
  Sim.finishAtTarget(0, Flow);
  const size_t Before = Sim.Agents[0].Target.Ends;
  Sim.sendEnd(0, Flow);
  Sim.run(seconds(1));
  EXPECT_EQ(Sim.Agents[0].Target.Ends, Before + 1);
  EXPECT_TRUE(Sim.Resets.empty());
}

// Guards against a holder that denies its open flow: the target refuses a copy
// of the opening packet, which drops the record, and answers a later copy when
// it has sent more already.
TEST(OpeningCopyTest, ALaterCopyDoesNotStartTheFlowAnew) {
  Simulation Sim;
  Sim.addBalancer();
  Sim.setRoutes(0, 10, {{ShopAddress, std::string(Shop)}});
  Sim.addAgent();
  Sim.listAll();
  for (int I = 0; I < 2; ++I) {
    Sim.sendHeartbeats();
    Sim.run(milliseconds(1000));
  }
  const FlowKey Flow = Simulation::flow(1);
  FakeTarget &Target = Sim.Agents[0].Target;
  Sim.openAndRequest(0, Flow);
  Sim.send(0, Flow);
  const auto Held = std::exchange(Target.Held, {});
  Target.Full = true;
  Sim.open(0, Flow, 1, milliseconds(200));
  Target.Held = Held;
  Target.Full = false;
  Sim.open(0, Flow, 2, milliseconds(600));
  Sim.Resets.clear(); // the balancer has no other target for the refused copy
  const size_t Before = Target.Requests;
  Sim.send(0, Flow);
  EXPECT_EQ(Target.Requests, Before + 1);
  EXPECT_TRUE(Sim.Resets.empty());
}

// Guards against a refusal of the third flow by a balancer that has found the
// first one by a search, and does not know its opening packet.
TEST_F(ReusedPortFixture, OffersBehindASearchedFlowDoNotCount) {
  openAt(0);
  Sim.send(1, Flow);
  for (const size_t Target : {1U, 0U, 1U, 0U}) {
    endFormer(FormerEnd::Discarded);
    run(seconds(3));
    openAt(Target, 1);
    EXPECT_TRUE(Sim.Resets.empty());
  }
}

class ReusedPortOffersTest : public ReusedPortTest {};

// Guards against a refusal of the new flow because the targets that the former
// one was offered to count as asked.
TEST_P(ReusedPortOffersTest, OffersOfTheFormerFlowDoNotCount) {
  openAt(0); // after an offer to the other target
  endFormer(GetParam());
  run(seconds(13));
  openAt(1);
  EXPECT_TRUE(Sim.Resets.empty());
}

INSTANTIATE_TEST_SUITE_P(Ends, ReusedPortOffersTest,
                         ::testing::Values(FormerEnd::Closed));
// Distances within and beyond what an agent that has restarted allows for.
INSTANTIATE_TEST_SUITE_P(
    Ends, RestartedAgentTest,
    ::testing::Combine(
        ::testing::Values(FormerEnd::Closed, FormerEnd::ClosedLate,
                          FormerEnd::ResetByClient, FormerEnd::ResetLate,
                          FormerEnd::Abandoned, FormerEnd::Discarded),
        ::testing::Values(1'000'000U, 0U - 1'000'000U, 0U - 200'000'000U,
                          0x40000000U)));
INSTANTIATE_TEST_SUITE_P(
    Ends, ReusedPortTest,
    ::testing::Values(FormerEnd::Closed, FormerEnd::ClosedLate,
                      FormerEnd::ResetByClient, FormerEnd::ResetLate,
                      FormerEnd::Abandoned, FormerEnd::Discarded));

} // namespace
} // namespace burdockstream::flows::test
