#include "ClusterFixture.h"

namespace burdockstream::e2e {
namespace {

class CrashTest : public ClusterTest {
protected:
  void startLoad(unsigned Seconds) {
    CallerOptions Options;
    Options.RunSeconds = Seconds;
    TestCluster.startCallers(service(0), Options);
    runFor(2000);
  }

  // Checks that no non-idempotent request with the outcome not_run is in a
  // journal of the endpoints.
  void expectNotRunRequestsNeverRan() {
    const std::map<std::string, int> Runs =
        TestCluster.runsByRequest(service(0));
    Json::Value Command;
    Command["command"] = "requests";
    Command["from"] = 0;
    while (true) {
      const Json::Value Page = TestCluster.command(
          TestCluster.deployment().callerControl(1), Command);
      if (Page["entries"].empty())
        return;
      for (const Json::Value &Entry : Page["entries"])
        if (Entry["outcome"].asString() == "not_run") {
          EXPECT_EQ(Runs.count(Entry["rid"].asString()), 0U)
              << Entry["rid"].asString();
        }
      Command["from"] = Page["next"];
    }
  }
};

// Guards against flows that depend on state in one balancer.
TEST_F(CrashTest, KilledBalancerInterruptsNoFlow) {
  startLoad(20);
  TestCluster.balancer(2).signal(SIGKILL);
  runFor(3000);
  TestCluster.publish(service(0), "/board/1", 1);
  TestCluster.startBalancer(2);
  runFor(4000);
  TestCluster.publish(service(0), "/board/1", 1);
  const Json::Value Report = TestCluster.callerReport(service(0));
  expectNoWrongResponses(Report);
  EXPECT_EQ(countOutcomes(Report, "correct"), Report["sent"].asUInt64())
      << Report["kinds"].toStyledString();
  EXPECT_EQ(sumBoardCounter(Report, "lost"), 0U);
  EXPECT_EQ(sumBoardCounter(Report, "updates"), 100U);
  expectAtMostOnce(service(0));
}

// Guards against running a request twice when its agent crashes after
// forwarding it and before responding, and against buckets that remain without
// an owner.
TEST_F(CrashTest, KilledAgentRunsNoRequestTwice) {
  startLoad(35);
  TestCluster.agent(4).signal(SIGKILL);
  EXPECT_TRUE(TestCluster.waitUntil(
      [this] {
        return TestCluster.countOwnedBuckets(service(0)) == BucketsPerService;
      },
      std::chrono::seconds(25)));
  runFor(500);
  expectNotRunRequestsNeverRan();
  expectNoWrongResponses(TestCluster.callerReport(service(0)));
  expectAtMostOnce(service(0));
}

// Guards against a second owner: an agent that is paused until its lease has
// expired must not act as the owner of its buckets when it resumes.
TEST_F(CrashTest, ResumedAgentRunsNoRequestTwice) {
  startLoad(40);
  TestCluster.agent(4).signal(SIGSTOP);
  runFor(20000);
  TestCluster.agent(4).signal(SIGCONT);
  EXPECT_TRUE(TestCluster.waitUntil(
      [this] {
        return TestCluster.countOwnedBuckets(service(0)) == BucketsPerService;
      },
      std::chrono::seconds(15)));
  expectNotRunRequestsNeverRan();
  expectNoWrongResponses(TestCluster.callerReport(service(0)));
  expectAtMostOnce(service(0));
}

// Guards against a store outage that affects callers, and against an accepted
// record that is reverted or does not reach a balancer started during the
// outage.
TEST_F(CrashTest, StoreOutageDoesNotAffectCallers) {
  const auto Written = TestCluster.putRecord(
      service(0), recordText(TestCluster.deployment(), service(0), 2));
  ASSERT_TRUE(Written.has_value()) << Written.error().Message;
  startLoad(25);
  TestCluster.setStoreFault("away");
  runFor(8000);
  TestCluster.balancer(3).signal(SIGKILL);
  runFor(500);
  TestCluster.startBalancer(3);
  runFor(6000);
  const auto Status = TestCluster.call(
      TestCluster.deployment().balancerControl(3), "retail", "status");
  ASSERT_TRUE(Status.has_value());
  EXPECT_EQ(Status.value()["revisions"]["shopdesk"].asInt64(),
            Written.value()["revision"].asInt64());
  TestCluster.setStoreFault("none");
  const Json::Value Report = TestCluster.callerReport(service(0));
  expectNoWrongResponses(Report);
  EXPECT_EQ(countOutcomes(Report, "correct"), Report["sent"].asUInt64())
      << Report["kinds"].toStyledString();
}

// Guards against packets that reach the wrong service because a VM with the
// same address now belongs to another service.
TEST_F(CrashTest, ReusedAddressReachesNoOtherService) {
  startLoad(25);
  CallerOptions Options;
  Options.RunSeconds = 25;
  TestCluster.startCallers(service(1), Options);
  runFor(2000);
  TestCluster.replaceEndpoint(3, service(1));
  runFor(15000);
  for (size_t Index = 0; Index < 2; ++Index) {
    expectNoWrongResponses(TestCluster.callerReport(service(Index)));
    expectAtMostOnce(service(Index));
  }
}

// Guards against a write that is applied but reported as failed, and the
// reverse: after the response of the store is lost, the same write must
// succeed.
TEST_F(CrashTest, LostStoreResponseIsResolved) {
  TestCluster.setStoreFault("lose_answer");
  const auto FirstWrite = TestCluster.putRecord(
      service(0), recordText(TestCluster.deployment(), service(0), 2));
  ASSERT_TRUE(FirstWrite.has_error());
  TestCluster.setStoreFault("none");
  runFor(3500);
  const auto SecondWrite = TestCluster.putRecord(
      service(0), recordText(TestCluster.deployment(), service(0), 2));
  EXPECT_TRUE(SecondWrite.has_value()) << SecondWrite.error().Message;
}

} // namespace
} // namespace burdockstream::e2e
