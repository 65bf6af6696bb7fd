// A balancer that receives nothing: the silence of agents is its own.
#include "FlowFixture.h"

#include <gtest/gtest.h>

namespace burdockstream::flows::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr size_t Fleet = 8;

class ReceptionTest : public ::testing::Test {
protected:
  void SetUp() override {
    Sim.LinkBytesPerSecond = 125'000; // searches are limited by the link
    for (size_t I = 0; I < 2; ++I) {
      Sim.addBalancer();
      Sim.setRoutes(I, 10, {{ShopAddress, std::string(Shop)}});
    }
    for (size_t I = 0; I < Fleet; ++I)
      Sim.addAgent();
    Sim.listAll();
    run(seconds(3));
    Sim.openAndRequest(0, Flow);
    Holder = static_cast<size_t>(Sim.holder(Flow));
  }

  void run(base::Duration Time) {
    for (base::Duration Done{0}; Done < Time; Done += Step) {
      Sim.sendHeartbeats();
      Sim.run(Step);
    }
  }

  // Sends packets of Flow through the balancer that does not know it.
  void sendFor(base::Duration Time) {
    for (base::Duration Done{0}; Done < Time; Done += Step) {
      Sim.send(1, Flow);
      run(Step);
    }
  }

  // Frames to the second balancer are lost if Agents contains their sender.
  void loseFramesOf(const std::set<size_t> &Agents) {
    Sim.DropsFrameFrom = [this, Agents](base::SocketAddress From,
                                        base::SocketAddress To) {
      for (const size_t Index : Agents)
        if (Sim.Agents[Index].Address == From)
          return To == Sim.Balancers[1].Address;
      return false;
    };
  }

  static constexpr base::Duration Step = milliseconds(200);
  const FlowKey Flow = Simulation::flow(30'001);
  size_t Holder = 0;
  Simulation Sim;
};

// Guards against a balancer on a full link that receives no status, takes all
// agents for gone and resets open flows (review/11).
TEST_F(ReceptionTest, SilenceOfAllAgentsIsNoDenial) {
  loseFramesOf({0, 1, 2, 3, 4, 5, 6, 7});
  run(seconds(2));
  EXPECT_TRUE(Sim.Balancers[1].Core->isReceptionImpaired());
  sendFor(seconds(4));
  EXPECT_TRUE(Sim.Resets.empty());
  EXPECT_EQ(Sim.Agents[Holder].Target.Requests, 1U);
  loseFramesOf({});
  sendFor(seconds(2));
  EXPECT_FALSE(Sim.Balancers[1].Core->isReceptionImpaired());
  EXPECT_TRUE(Sim.Resets.empty());
  EXPECT_GT(Sim.Agents[Holder].Target.Requests, 1U);
}

// Guards against a balancer that gets statuses of most agents again, but of
// some not yet: their subscriptions have ended, or their statuses are lost.
TEST_F(ReceptionTest, AnAgentMustBeHeardAgainBeforeItsSilenceCounts) {
  loseFramesOf({0, 1, 2, 3, 4, 5, 6, 7});
  run(seconds(3));
  loseFramesOf({Holder});
  sendFor(seconds(5));
  loseFramesOf({});
  sendFor(seconds(1));
  EXPECT_TRUE(Sim.Resets.empty());
  EXPECT_GT(Sim.Agents[Holder].Target.Requests, 1U);
}

// Guards against searches that keep a full link full.
TEST_F(ReceptionTest, SearchesAreRareWhileNobodyIsHeard) {
  const auto SearchesIn = [&](base::Duration Time) {
    const uint64_t Before = Sim.count(DecisionKind::Searched);
    for (base::Duration Done{0}; Done < Time; Done += Step) {
      for (uint16_t Port = 0; Port < 3'000; ++Port)
        Sim.send(1, Simulation::flow(static_cast<uint16_t>(30'000 + Port)));
      run(Step);
    }
    return Sim.count(DecisionKind::Searched) - Before;
  };
  const uint64_t Usual = SearchesIn(seconds(4));
  loseFramesOf({0, 1, 2, 3, 4, 5, 6, 7});
  run(seconds(4));
  EXPECT_LT(SearchesIn(seconds(4)), Usual / 4);
}

// Guards against a search that began when the holder already counted as lost,
// just before the balancer notices that it receives no status.
TEST_F(ReceptionTest, ASearchInProgressWaitsAgain) {
  loseFramesOf({Holder});
  run(milliseconds(800));
  loseFramesOf({0, 1, 2, 3, 4, 5, 6, 7});
  run(milliseconds(1000));
  ASSERT_FALSE(Sim.Balancers[1].Core->isReceptionImpaired());
  ASSERT_TRUE(isLost(
      *Sim.Balancers[1].Core->targets().at(
          Sim.Balancers[1].Core->targets().indexOf(Sim.Agents[Holder].Address)),
      Sim.Now));
  loseFramesOf({Holder}); // the others answer at once, and fall silent again
  Sim.send(1, Flow);
  loseFramesOf({0, 1, 2, 3, 4, 5, 6, 7});
  sendFor(seconds(3));
  EXPECT_TRUE(Sim.Resets.empty());
}

// Guards against a status from before the loss that says that the target has
// stopped, while a new run of it has the flow.
TEST_F(ReceptionTest, AStoppedTargetMayHaveStartedMeanwhile) {
  SimulatedAgent &Place = Sim.Agents[Holder];
  Place.Core->onDeregister("i-" + std::to_string(Holder), Place.StartedAtMs,
                           Sim.Now);
  Place.Target.Held.clear();
  Sim.run(milliseconds(300)); // without heartbeats
  loseFramesOf({0, 1, 2, 3, 4, 5, 6, 7});
  Place.StartedAtMs += 5000;
  Place.HeartbeatsSent = 0;
  run(seconds(3));
  for (size_t I = 0; I < Fleet; ++I)
    Sim.Agents[I].Target.Full = I != Holder;
  Sim.Resets.clear();
  Sim.OpeningSequence = 7;
  Sim.openAndRequest(0, Flow);
  ASSERT_EQ(Sim.holder(Flow), static_cast<int>(Holder));
  sendFor(seconds(3));
  EXPECT_TRUE(Sim.Resets.empty());
}

// Guards against flows that are never reset because some agents are gone for
// good: the others are heard.
TEST_F(ReceptionTest, TheLossOfHalfOfTheAgentsIsNoticed) {
  for (size_t I = 0; I < Fleet / 2; ++I)
    Sim.Agents[I].Running = false;
  Sim.run(seconds(3));
  EXPECT_FALSE(Sim.Balancers[1].Core->isReceptionImpaired());
  for (int I = 0; I < 3; ++I) {
    Sim.send(1, Simulation::flow(40'000));
    run(Step);
  }
  EXPECT_FALSE(Sim.Resets.empty());
}

} // namespace
} // namespace burdockstream::flows::test
