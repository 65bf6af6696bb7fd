#include "ClusterFixture.h"

namespace burdockstream::e2e {
namespace {

class PlannedChangeTest : public ClusterTest {
protected:
  void startLoad(unsigned Seconds) {
    CallerOptions Options;
    Options.RunSeconds = Seconds;
    TestCluster.startCallers(service(0), Options);
    runFor(2000);
  }

  void publish() { TestCluster.publish(service(0), "/board/1", 1); }

  // Lets the fabric send to all balancers except the one with this index; 0
  // excludes none.
  void setFabricBalancers(size_t Excluded) {
    Json::Value Command;
    Command["command"] = "set_balancers";
    for (size_t Index = 1; Index <= 3; ++Index)
      if (Index != Excluded)
        Command["balancers"].append(
            base::toString(TestCluster.deployment().balancerData(Index)));
    TestCluster.command(TestCluster.deployment().fabricControl(), Command);
  }

  bool isReady(size_t Index) {
    const auto Status = TestCluster.call(
        TestCluster.deployment().balancerControl(Index), "retail", "status");
    return Status.has_value() && Status.value()["ready"].asBool();
  }

  // Stops a process by SIGTERM and expects a graceful shutdown.
  static void stop(Process &Program) {
    Program.signal(SIGTERM);
    ASSERT_TRUE(Program.waitForExit(std::chrono::seconds(25)));
    EXPECT_EQ(Program.exitCode(), 0);
  }
};

// Guards against requests or subscriptions that are interrupted by a graceful
// shutdown of an agent, and against a subscription that is not handed over to
// another agent.
TEST_F(PlannedChangeTest, ReplacedAgentsInterruptNothing) {
  startLoad(30);
  for (size_t Index = 1; Index <= 3; ++Index) {
    publish();
    stop(TestCluster.agent(Index));
    publish();
    TestCluster.startAgent(Index);
    runFor(2000);
  }
  publish();
  const Json::Value Report = TestCluster.callerReport(service(0));
  expectAllCorrect(Report);
  EXPECT_EQ(sumBoardCounter(Report, "updates"), 7U * 50);
  expectAtMostOnce(service(0));
}

// Guards against responses that are sent through a balancer that has shut down.
TEST_F(PlannedChangeTest, ReplacedBalancersInterruptNothing) {
  startLoad(50);
  for (size_t Index = 1; Index <= 3; ++Index) {
    publish();
    setFabricBalancers(Index); // operators remove it from the fabric first
    stop(TestCluster.balancer(Index));
    publish();
    TestCluster.startBalancer(Index);
    // Replace the next balancer only when this one is ready: its arbiter
    // restarts without state and does not answer for 8 s.
    ASSERT_TRUE(TestCluster.waitUntil([&] { return isReady(Index); },
                                      std::chrono::seconds(20)));
    setFabricBalancers(0);
    runFor(1000);
  }
  const Json::Value Report = TestCluster.callerReport(service(0));
  expectAllCorrect(Report);
  EXPECT_EQ(sumBoardCounter(Report, "updates"), 6U * 50);
}

// Guards against planned changes that are safe individually but not combined: a
// balancer and an agent are replaced while schema and weights change, twice.
TEST_F(PlannedChangeTest, ConcurrentChangesInterruptNothing) {
  startLoad(60);
  for (size_t Round = 1; Round <= 2; ++Round) {
    publish();
    setFabricBalancers(Round);
    TestCluster.balancer(Round).signal(SIGTERM);
    TestCluster.agent(Round + 3).signal(SIGTERM);
    const auto Written = TestCluster.putRecord(
        service(0),
        recordText(TestCluster.deployment(), service(0), 2, 100 * Round), 3);
    EXPECT_TRUE(Written.has_value()) << Written.error().Message;
    publish();
    EXPECT_TRUE(
        TestCluster.agent(Round + 3).waitForExit(std::chrono::seconds(25)));
    EXPECT_TRUE(
        TestCluster.balancer(Round).waitForExit(std::chrono::seconds(25)));
    TestCluster.startBalancer(Round);
    TestCluster.startAgent(Round + 3);
    publish();
    ASSERT_TRUE(TestCluster.waitUntil([&] { return isReady(Round); },
                                      std::chrono::seconds(20)));
    setFabricBalancers(0);
  }
  const Json::Value Report = TestCluster.callerReport(service(0));
  expectAllCorrect(Report);
  EXPECT_EQ(sumBoardCounter(Report, "updates"), 6U * 50);
  expectAtMostOnce(service(0));
}

// Guards against a record of the other schema version that does not take effect
// or that interrupts open requests or subscriptions.
TEST_F(PlannedChangeTest, SchemaAndWeightChangeInterruptsNothing) {
  startLoad(15);
  publish();
  std::string Text = recordText(TestCluster.deployment(), service(0), 2);
  const auto Written = TestCluster.putRecord(service(0), Text);
  ASSERT_TRUE(Written.has_value()) << Written.error().Message;
  const int64_t Revision = Written.value()["revision"].asInt64();
  runFor(3000);
  for (size_t Index = 1; Index <= 3; ++Index) {
    const auto Status = TestCluster.call(
        TestCluster.deployment().balancerControl(Index), "retail", "status");
    ASSERT_TRUE(Status.has_value());
    EXPECT_EQ(Status.value()["revisions"]["shopdesk"].asInt64(), Revision);
  }
  publish();
  expectAllCorrect(TestCluster.callerReport(service(0)));
}

} // namespace
} // namespace burdockstream::e2e
