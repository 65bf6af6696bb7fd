// Decisions that require an answer of the store as proof that the view is
// current, and the store calls that they cost.
#include "FlowFixture.h"

#include <algorithm>
#include <gtest/gtest.h>

namespace burdockstream::flows::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct CatchUpRequest {
  size_t Balancer;
  ViewPart Part;
  base::TimePoint Since;
};

class ViewAgeTest : public ::testing::Test {
protected:
  void build(size_t AgentCount) {
    Sim.addBalancer();
    for (size_t I = 0; I < AgentCount; ++I)
      Sim.addAgent();
    Sim.setRoutes(0, 10, {{ShopAddress, std::string(Shop)}});
    Sim.listAll();
    runWithHeartbeats(seconds(2));
    Sim.CatchUp = [this](size_t Balancer, ViewPart Part,
                         base::TimePoint Since) {
      Requests.push_back({Balancer, Part, Since});
      if (Answers)
        answer(Requests.back());
    };
  }

  void answer(const CatchUpRequest &Each) {
    Sim.Balancers[Each.Balancer].Core->markCaughtUp(Each.Part, Each.Since);
  }

  void runWithHeartbeats(base::Duration Time) {
    for (; Time > seconds(0); Time -= milliseconds(500)) {
      Sim.sendHeartbeats();
      Sim.run(std::min<base::Duration>(Time, milliseconds(500)));
    }
    Sim.sendHeartbeats();
  }

  Simulation Sim;
  std::vector<CatchUpRequest> Requests;
  bool Answers = false;
};

// Guards against a reset that rests on a view without an answer of the store.
TEST_F(ViewAgeTest, NoResetBeforeTheStoreHasAnswered) {
  build(3);
  Sim.send(0, Simulation::flow(1));
  Sim.run(milliseconds(500));
  EXPECT_TRUE(Sim.Resets.empty());
  ASSERT_EQ(Requests.size(), 1U);
  answer(Requests[0]);
  Sim.run(milliseconds(100));
  EXPECT_EQ(Sim.Resets.size(), 1U);
}

// Guards against a reset after the answer to a request that is older than the
// search: it was interrupted by an outage and made again.
TEST_F(ViewAgeTest, AnAnswerToAnEarlierRequestIsNoProof) {
  build(3);
  Sim.send(0, Simulation::flow(1));
  Sim.Balancers[0].Core->setStoreFresh(false);
  Sim.Balancers[0].Core->setStoreFresh(true);
  runWithHeartbeats(seconds(1));
  Sim.send(0, Simulation::flow(2));
  Sim.run(milliseconds(200));
  ASSERT_GE(Requests.size(), 2U);
  answer(Requests[0]);
  Sim.run(milliseconds(200));
  EXPECT_EQ(
      std::count(Sim.Resets.begin(), Sim.Resets.end(), Simulation::flow(2)), 0);
}

// Load pattern: routes have moved to another service, and the fabric moves the
// flows of the former one. Guards against a store call for each flow that an
// agent holds: only a reset needs the proof.
TEST_F(ViewAgeTest, AFlowThatIsFoundNeedsNoStoreCall) {
  build(3);
  const size_t Holder = Sim.addAgent(Vault);
  Sim.setRoutes(0, 11, {{ShopAddress, std::string(Vault)}});
  Sim.listAll();
  runWithHeartbeats(seconds(2));
  Sim.openAndRequest(0, Simulation::flow(1));
  ASSERT_EQ(Sim.holder(Simulation::flow(1)), static_cast<int>(Holder));
  Sim.restartBalancer(0);
  Sim.setRoutes(0, 12, {{ShopAddress, std::string(Shop)}});
  Sim.listAll();
  runWithHeartbeats(seconds(2));
  Requests.clear();
  Sim.send(0, Simulation::flow(1));
  Sim.run(milliseconds(200));
  EXPECT_EQ(Sim.Agents[Holder].Target.Requests, 2U);
  EXPECT_TRUE(Requests.empty());
}

// Guards against a store call that was put off and that no search waits for any
// more when its time comes.
TEST_F(ViewAgeTest, AnUnneededRequestIsNotSent) {
  build(3);
  Answers = true;
  Sim.send(0, Simulation::flow(1));
  Sim.run(Tick);
  Sim.send(0, Simulation::flow(2)); // too soon after the first request
  ASSERT_EQ(Requests.size(), 1U);
  Sim.DropsFrame = [](base::SocketAddress, FrameKind Kind) {
    return Kind == FrameKind::Forward; // the agent would return the packet
  };
  FrameHeader Header;
  Header.Kind = FrameKind::Held;
  Header.Service = base::serviceIdOf(Shop);
  Packet Found;
  Found.Flow = Simulation::flow(2);
  Sim.Balancers[0].Core->onAgentAnswer(Sim.Agents[0].Address, Header, Found,
                                       Sim.Now);
  Sim.run(milliseconds(300));
  EXPECT_EQ(Requests.size(), 1U);
}

// Load pattern: many unknown flows at once, as after the loss of machines.
// Guards against a store call for each, and against flows that are left without
// an answer because a request was put off.
TEST_F(ViewAgeTest, RequestsOfManySearchesAreSpacedOut) {
  constexpr size_t AgentCount = 136;
  constexpr uint16_t Flows = 60;
  build(AgentCount);
  Answers = true;
  for (uint16_t Port = 1; Port <= Flows; ++Port) {
    Sim.send(0, Simulation::flow(Port));
    Sim.run(Tick);
    if (Port % 10 == 0)
      Sim.sendHeartbeats();
  }
  runWithHeartbeats(seconds(1));
  EXPECT_EQ(Sim.Resets.size(), Flows);
  const base::Duration Elapsed = Flows * Tick + seconds(1);
  EXPECT_LE(
      Requests.size(),
      static_cast<size_t>(Elapsed / (AgentCount * CatchUpIntervalPerAgent)) +
          1);
}

// Load pattern: openings for a route that does not exist. Guards against a
// store call for each.
TEST_F(ViewAgeTest, RefusalsShareAProof) {
  build(3);
  Answers = true;
  for (uint16_t Port = 1; Port <= 20; ++Port) {
    Sim.open(0, Simulation::flow(Port, VaultAddress));
    Sim.run(Tick);
  }
  EXPECT_EQ(Sim.Resets.size(), 20U);
  EXPECT_LE(Requests.size(), 20 * Tick / RefusalViewAge + 1);
}

} // namespace
} // namespace burdockstream::flows::test
