#include "ClusterFixture.h"

namespace burdockstream::e2e {
namespace {

class WholePathTest : public ClusterTest {};

// Guards against any fault on the path from a caller through the fabric, a
// balancer and an agent to an endpoint and back, with 200 callers and both
// services of a deployment.
TEST_F(WholePathTest, EveryResponseMatchesItsRequest) {
  CallerOptions Options;
  Options.Callers = 100;
  for (const Service &Svc : TestCluster.deployment().Services)
    TestCluster.startCallers(Svc, Options);
  for (int Update = 0; Update < 4; ++Update) {
    runFor(1000);
    for (const Service &Svc : TestCluster.deployment().Services)
      TestCluster.publish(Svc, "/board/1", 1);
  }
  for (const Service &Svc : TestCluster.deployment().Services) {
    const Json::Value Report = TestCluster.callerReport(Svc);
    expectAllCorrect(Report);
    EXPECT_EQ(sumBoardCounter(Report, "updates"), 400U);
    expectAtMostOnce(Svc);
  }
}

class WholePathMittellandTest : public ClusterTest {
protected:
  WholePathMittellandTest() : ClusterTest(mittelland()) {}
};

// As above, for the second deployment and without board updates.
TEST_F(WholePathMittellandTest, EveryResponseMatchesItsRequest) {
  CallerOptions Options;
  Options.Callers = 100;
  for (const Service &Svc : TestCluster.deployment().Services)
    TestCluster.startCallers(Svc, Options);
  for (const Service &Svc : TestCluster.deployment().Services) {
    expectAllCorrect(TestCluster.callerReport(Svc));
    expectAtMostOnce(Svc);
  }
}

} // namespace
} // namespace burdockstream::e2e
