// Control traffic and recovery in a fleet of hundreds of machines.
#include "FlowFixture.h"

#include "burdockstream/flows/StatusSubscription.h"

#include <gtest/gtest.h>
#include <numeric>

namespace burdockstream::flows::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const std::vector<std::string> Domains{"a", "b", "c", "d", "e"};

class LargeFleetTest : public ::testing::Test {
protected:
  // Builds a fleet whose balancers and agents are spread evenly over Domains.
  void build(size_t Balancers, size_t ShopAgents, size_t VaultAgents) {
    for (size_t I = 0; I < Balancers; ++I)
      Sim.addBalancer(Domains[I % Domains.size()]);
    for (size_t I = 0; I < ShopAgents; ++I)
      Sim.addAgent(Shop, Domains[I % Domains.size()]);
    for (size_t I = 0; I < VaultAgents; ++I)
      Sim.addAgent(Vault, Domains[I % Domains.size()]);
    applyRoutes();
    Sim.listAll();
    runWithHeartbeats(seconds(4));
  }

  void applyRoutes() {
    for (size_t I = 0; I < Sim.Balancers.size(); ++I)
      Sim.setRoutes(I, 10,
                    {{ShopAddress, std::string(Shop)},
                     {VaultAddress, std::string(Vault)}});
  }

  void runWithHeartbeats(base::Duration Time) {
    for (; Time > seconds(0); Time -= milliseconds(1000)) {
      Sim.sendHeartbeats();
      Sim.run(std::min<base::Duration>(Time, milliseconds(1000)));
    }
    Sim.sendHeartbeats();
  }

  // Counts the frames that are sent to each process in Time.
  std::map<base::SocketAddress, size_t> framesIn(base::Duration Time) {
    std::map<base::SocketAddress, size_t> Received;
    Sim.DropsFrame = [&](base::SocketAddress To, FrameKind) {
      ++Received[To];
      return false;
    };
    runWithHeartbeats(Time);
    Sim.DropsFrame = nullptr;
    return Received;
  }

  Simulation Sim;
};

size_t most(const std::map<base::SocketAddress, size_t> &Counts,
            const auto &Places) {
  size_t Result = 0;
  for (const auto &Place : Places)
    if (const auto Found = Counts.find(Place.Address); Found != Counts.end())
      Result = std::max(Result, Found->second);
  return Result;
}

// Guards against control traffic that grows with the whole fleet, as it does if
// all balancers subscribe to all agents. The bound: from 100 to 300 machines,
// traffic grows by no more than 1.3 times the growth of a failure domain, whose
// agents a balancer has to know.
TEST_F(LargeFleetTest, AnAgentHearsFromItsDomainAndAFewOthers) {
  build(59, 109, 27);
  const auto Received = framesIn(seconds(8));
  const size_t Hellos = 8 * 10 / 8; // from one balancer, one every 0.8 s
  const size_t Near = (59 + 4) / 5;
  // Besides the balancers of its domain: each of the 48 others subscribes to
  // MinSubscribed minus 5 local ones of the 22 remote agents of the smaller
  // service.
  const size_t Far = size_t{48} * 5 / 22 * 2;
  EXPECT_LE(most(Received, Sim.Agents), (Near + Far) * (Hellos + 2));
}

// Guards against a balancer without alternatives when its failure domain is
// overloaded, and against subscriptions to all agents.
TEST_F(LargeFleetTest, ABalancerHearsOfSomeTargetsOfEachService) {
  build(5, 109, 27);
  for (const SimulatedBalancer &Place : Sim.Balancers) {
    std::map<base::ServiceId, size_t> SubscribedTargets;
    for (const auto &Each : Place.Core->targets().all())
      SubscribedTargets[Each->Service] += Each->Subscribed ? 1 : 0;
    const size_t OfShop =
        SubscribedTargets[base::serviceIdOf(std::string(Shop))];
    EXPECT_GE(OfShop, 109 / 5 + MinRemoteSubscribed);
    EXPECT_LE(OfShop, 109 / 5 + 1 + MinRemoteSubscribed);
    EXPECT_GE(SubscribedTargets[base::serviceIdOf(std::string(Vault))],
              MinSubscribed);
  }
}

// Guards against overflow of a failure domain that goes to the same few
// targets.
TEST_F(LargeFleetTest, RemoteSubscriptionsAreSpreadOverBalancers) {
  build(59, 109, 0);
  std::map<base::SocketAddress, size_t> Subscribers;
  for (const SimulatedBalancer &Place : Sim.Balancers)
    for (const auto &Each : Place.Core->targets().all())
      Subscribers[Each->Agent] += Each->Subscribed ? 1 : 0;
  const size_t Near = (59 + 4) / 5;
  for (const auto &[Agent, Count] : Subscribers)
    EXPECT_LE(Count, Near + 12)
        << "of 48 * 4 remote subscriptions over 109 agents";
}

// Guards against an unreachable service because the balancer's own failure
// domain has lost all its targets.
TEST_F(LargeFleetTest, ADomainWithoutTargetsUsesOthers) {
  build(5, 50, 0);
  for (size_t I = 0; I < Sim.Agents.size(); ++I)
    if (Sim.Agents[I].Domain == "a")
      Sim.Agents[I].Running = false;
  runWithHeartbeats(seconds(3));
  for (uint16_t Port = 1; Port <= 20; ++Port)
    Sim.openAndRequest(0, Simulation::flow(Port));
  runWithHeartbeats(seconds(1));
  for (uint16_t Port = 1; Port <= 20; ++Port)
    EXPECT_GE(Sim.holder(Simulation::flow(Port)), 0);
}

// Guards against searches that ask the whole fleet: a flow that the fabric has
// moved is found in its own failure domain.
TEST_F(LargeFleetTest, AMovedFlowIsFoundInItsFailureDomain) {
  build(10, 109, 27);
  const FlowKey Flow = Simulation::flow(40001);
  Sim.openAndRequest(0, Flow);
  size_t Asked = 0;
  Sim.DropsFrame = [&](base::SocketAddress, FrameKind Kind) {
    Asked += Kind == FrameKind::Search ? 1 : 0;
    return false;
  };
  Sim.send(5, Flow); // of the same domain
  EXPECT_EQ(Sim.count(DecisionKind::Found), 1U);
  EXPECT_LE(Asked, 109U / 5 + 1);
}

// Guards against a reset while the flow is held in another failure domain.
TEST_F(LargeFleetTest, AFlowInAnotherFailureDomainIsFound) {
  build(10, 109, 27);
  const FlowKey Flow = Simulation::flow(40001);
  Sim.openAndRequest(1, Flow); // domain "b"
  const auto Holder = static_cast<size_t>(Sim.holder(Flow));
  const size_t Before = Sim.Agents[Holder].Target.Requests;
  Sim.send(0, Flow);
  Sim.run(milliseconds(300));
  EXPECT_EQ(Sim.Agents[Holder].Target.Requests, Before + 1);
  EXPECT_TRUE(Sim.Resets.empty());
}

// Guards against a flow that stays at a lost machine because its balancer has
// no subscription to that machine's agent.
TEST_F(LargeFleetTest, TheLossOfAFarHolderIsNoticed) {
  build(10, 109, 27);
  const FlowKey Flow = Simulation::flow(40001);
  Sim.openAndRequest(1, Flow);
  const auto Holder = static_cast<size_t>(Sim.holder(Flow));
  Sim.send(0, Flow);
  Sim.run(milliseconds(300));
  Sim.Agents[Holder].Running = false;
  for (int I = 0; I < 15 && Sim.Resets.empty(); ++I) {
    Sim.run(milliseconds(200));
    Sim.send(0, Flow);
  }
  EXPECT_FALSE(Sim.Resets.empty());
}

// Guards against the reset of a flow whose agent has lost its entry in the
// store: a balancer without a subscription subscribes to it before it drops it.
TEST_F(LargeFleetTest, AnUnsubscribedAgentWhoseEntryExpiredStaysInUse) {
  build(10, 109, 27);
  const FlowKey Flow = Simulation::flow(40001);
  Sim.openAndRequest(1, Flow);
  for (SimulatedBalancer &Place : Sim.Balancers)
    for (const SimulatedAgent &Agent : Sim.Agents)
      Place.Core->removeAgentEntry(Agent.Address, Sim.Now);
  runWithHeartbeats(seconds(6));
  EXPECT_EQ(Sim.Balancers[0].Core->targets().size(), Sim.Agents.size());
  Sim.send(0, Flow);
  Sim.run(milliseconds(300));
  EXPECT_TRUE(Sim.Resets.empty());
}

// Guards against a reset by a balancer that does not know the agent of the
// flow's holder yet, while another balancer has placed the flow there.
TEST_F(LargeFleetTest, NoResetBeforeTheNewestListIsRead) {
  build(2, 10, 0);
  const size_t New = Sim.addAgent(Shop, "a");
  Sim.sendHeartbeat(New);
  const AgentEntry Entry{Sim.Agents[New].Address, std::string(Shop), "a"};
  Sim.Balancers[0].Core->applyAgentEntry(Entry, Sim.Now);
  runWithHeartbeats(seconds(1));
  for (size_t I = 0; I < New; ++I) {
    Sim.Agents[I].Target.Full = true;
    Sim.Agents[I].Core->tick(Sim.Now);
  }
  const FlowKey Flow = Simulation::flow(40001);
  Sim.openAndRequest(0, Flow);
  ASSERT_EQ(Sim.holder(Flow), static_cast<int>(New));
  Sim.CatchUp = [&](size_t Balancer, ViewPart Part, base::TimePoint Since) {
    if (Balancer == 1 && Part == ViewPart::Agents)
      Sim.Balancers[1].Core->applyAgentEntry(Entry, Sim.Now);
    Sim.Balancers[Balancer].Core->markCaughtUp(Part, Since);
  };
  Sim.send(1, Flow);
  Sim.run(milliseconds(300));
  EXPECT_TRUE(Sim.Resets.empty());
  EXPECT_GE(Sim.Agents[New].Target.Requests, 2U);
}

// Guards against searches that wait for an agent that has left with its target.
TEST_F(LargeFleetTest, AnAgentThatHasEndedIsNotWaitedFor) {
  build(10, 109, 27);
  // Domain "d"; balancer 0 may have no subscription to it.
  const size_t Gone = 3;
  Sim.Agents[Gone].Running = false;
  for (SimulatedBalancer &Place : Sim.Balancers)
    Place.Core->applyAgentEntry(
        {Sim.Agents[Gone].Address, std::string(Shop), "d", true}, Sim.Now);
  Sim.send(0, Simulation::flow(40001));
  Sim.run(milliseconds(200));
  EXPECT_EQ(Sim.Resets.size(), 1U);
}

// Guards against searches that wait for an agent that has left because its last
// statuses arrive after its entry says so, as at each end of a target.
TEST_F(LargeFleetTest, LateStatusesOfAnAgentThatHasEndedAreIgnored) {
  build(10, 109, 27);
  const size_t Gone = 0; // in the failure domain of balancer 0
  Sim.Agents[Gone].Core->onProbe(ProbeResult::NoProcess, Sim.Now, Sim.Now);
  Sim.run(milliseconds(100));
  for (SimulatedBalancer &Place : Sim.Balancers)
    Place.Core->applyAgentEntry(
        {Sim.Agents[Gone].Address, std::string(Shop), "a", true}, Sim.Now);
  Sim.run(milliseconds(400));
  Sim.Agents[Gone].Running = false;
  for (size_t I = 1; I < Sim.Agents.size(); ++I)
    Sim.sendHeartbeat(I);
  Sim.send(0, Simulation::flow(40001));
  Sim.run(milliseconds(200));
  EXPECT_EQ(Sim.Resets.size(), 1U);
}

// Load pattern: all balancers and agents are killed while targets hold flows.
// Only the targets know the flows, so each needs trial deliveries to several
// targets. Guards against bursts that overflow the socket queue of a small VM.
TEST_F(LargeFleetTest, FlowsAreFoundAfterAKillOfAllProcesses) {
  build(5, 60, 0);
  constexpr uint16_t Count = 200;
  for (uint16_t Port = 1; Port <= Count; ++Port) {
    Sim.openAndRequest(0, Simulation::flow(Port));
    if (Port % 10 == 0)
      // Up-to-date statuses keep flows in the failure domain.
      runWithHeartbeats(Tick);
  }
  for (size_t I = 0; I < Sim.Balancers.size(); ++I)
    Sim.restartBalancer(I);
  for (size_t I = 0; I < Sim.Agents.size(); ++I)
    Sim.restartAgent(I);
  applyRoutes();
  Sim.listAll();
  runWithHeartbeats(seconds(2));
  constexpr size_t QueueLength = 256; // of a socket; emptied between ticks
  size_t Queued = 0;
  size_t AllTrials = 0;
  base::TimePoint QueuedAt = Sim.Now;
  Sim.DropsFrame = [&](base::SocketAddress, FrameKind Kind) {
    if (std::exchange(QueuedAt, Sim.Now) != Sim.Now)
      Queued = 0;
    AllTrials += Kind == FrameKind::Trial ? 1 : 0;
    return Kind == FrameKind::Trial && ++Queued > QueueLength;
  };
  size_t Before = 0;
  for (const SimulatedAgent &Place : Sim.Agents)
    Before += Place.Target.Requests;
  for (uint16_t Port = 1; Port <= Count; ++Port)
    Sim.send(0, Simulation::flow(Port));
  Sim.run(milliseconds(1400));
  size_t Served = 0;
  for (const SimulatedAgent &Place : Sim.Agents)
    Served += Place.Target.Requests;
  EXPECT_EQ(Served - Before, Count);
  EXPECT_TRUE(Sim.Resets.empty());
  // Guards against trial deliveries to all targets of a service: most flows are
  // held by one of their preferred targets.
  EXPECT_LE(AllTrials, 2 * PreferredTargetCount * Count);
}

// Guards against searches that fill the link of a small VM, which delays their
// answers and causes more searches.
TEST_F(LargeFleetTest, SearchesFillAPartOfTheLinkOnly) {
  // Bytes per second; a packet header has 4 in this test.
  constexpr double Link = 20'000;
  Sim.LinkBytesPerSecond = Link;
  build(5, 60, 0);
  size_t Bytes = 0;
  Sim.DropsFrame = [&](base::SocketAddress, FrameKind Kind) {
    Bytes += Kind == FrameKind::Search ? FrameHeaderBytes : 0;
    return Kind == FrameKind::Search; // all agents stay silent
  };
  for (uint16_t Port = 1; Port <= 200; ++Port)
    Sim.send(0, Simulation::flow(Port));
  Sim.run(seconds(1));
  EXPECT_GT(Bytes, 0U);
  EXPECT_LE(static_cast<double>(Bytes),
            SearchLinkShare * Link * (1.5 + LinkBurstSeconds));
}

} // namespace
} // namespace burdockstream::flows::test
