// Test fixture that runs a deployment for the duration of one test.
#ifndef BURDOCKSTREAM_E2E_TEST_CLUSTERFIXTURE_H
#define BURDOCKSTREAM_E2E_TEST_CLUSTERFIXTURE_H

#include "Cluster.h"
#include "Report.h"

#include <gtest/gtest.h>

#include <csignal>
#include <sodium.h>

namespace burdockstream::e2e {

class ClusterTest : public ::testing::Test {
protected:
  explicit ClusterTest(const Deployment &Layout = bcInterior())
      : TestCluster(Layout, 3) {
    EXPECT_GE(sodium_init(), 0);
  }

  void SetUp() override {
    ASSERT_TRUE(TestCluster.start(std::chrono::seconds(60)))
        << "logs: " << TestCluster.folder();
  }

  const Service &service(size_t Index) const {
    return TestCluster.deployment().Services[Index];
  }

  static void runFor(int Milliseconds) {
    runLoopFor(std::chrono::milliseconds(Milliseconds));
  }

  // Holds under any fault: no wrong response, and no request without an
  // outcome.
  static void expectNoWrongResponses(const Json::Value &Report) {
    EXPECT_GT(Report["sent"].asUInt64(), 0U);
    EXPECT_TRUE(Report["wrong_answers"].empty())
        << Report["wrong_answers"].toStyledString();
    EXPECT_EQ(Report["outstanding"].asUInt64(), 0U);
    EXPECT_EQ(sumBoardCounter(Report, "wrong_bodies"), 0U);
  }

  // Holds under planned changes: in addition, every request succeeds and no
  // update is lost, duplicated or reordered.
  static void expectAllCorrect(const Json::Value &Report) {
    expectNoWrongResponses(Report);
    EXPECT_EQ(countOutcomes(Report, "correct"), Report["sent"].asUInt64())
        << Report["kinds"].toStyledString();
    EXPECT_EQ(sumBoardCounter(Report, "lost"), 0U);
    EXPECT_EQ(sumBoardCounter(Report, "duplicates"), 0U);
    EXPECT_EQ(sumBoardCounter(Report, "out_of_order"), 0U);
  }

  // Checks in the journals of the endpoints that no request ran twice.
  void expectAtMostOnce(const Service &Svc) {
    for (const auto &[RequestId, Runs] : TestCluster.runsByRequest(Svc))
      EXPECT_LE(Runs, 1) << RequestId;
  }

  Cluster TestCluster;
};

} // namespace burdockstream::e2e

#endif
