#include "FakeServer.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace burdockstream::ctl {
namespace {

using base::ErrorKind;
using ::testing::HasSubstr;

// The status of a balancer that has this revision of the record.
Json::Value statusAt(int Revision) {
  Json::Value Status;
  Status["revisions"]["shopdesk"] = Revision;
  return Status;
}

class WaitInForceTest : public ::testing::Test {
protected:
  WaitInForceTest() {
    Server.Files["f.json"] = record("shopdesk", 1);
    Server.Responses["record.put"] = {writeResponse(4)};
    Server.Responses["status"] = {json(R"({
      "control": "127.0.1.1:7001", "state": "ready", "balancers": [
      {"control": "127.0.1.1:7001", "state": "ready"},
      {"control": "127.0.1.2:7001", "state": "suspect"},
      {"control": "127.0.1.3:7001", "state": "dead"},
      {"control": "127.0.1.4:7001", "state": "stopped"}]})")};
    Server.StatusResponses["127.0.1.1:7001"] = {statusAt(4)};
    Server.StatusResponses["127.0.1.2:7001"] = {statusAt(5)};
  }

  Output put() {
    Command Put = command(Verb::RecordPut, {"f.json"});
    Put.Wait = std::chrono::seconds(2);
    return runCommand(Put, Server.hooks());
  }

  FakeServer Server;
};

// Guards against waiting for balancers that will never respond, and against
// treating a later revision as a missing one.
TEST_F(WaitInForceTest, WaitsForLiveBalancersOnly) {
  const Output Result = put();
  EXPECT_EQ(Result.Code, ExitCode::Ok) << Result.Err;
  EXPECT_EQ(Result.Out, "SERVICE   REVISION  CHANGED  IN_FORCE  BALANCERS\n"
                        "shopdesk         4  true            2          2\n");
  EXPECT_EQ(Server.Time, base::TimePoint{});
}

// Guards against reporting success before the last balancer has the record.
TEST_F(WaitInForceTest, PollsUntilEveryBalancerHasTheRevision) {
  Server.StatusResponses["127.0.1.2:7001"] = {
      Json::Value(Json::objectValue), statusAt(3),
      error(ErrorKind::OutcomeUnknown, "timeout"), statusAt(4)};
  Server.StatusResponses["127.0.1.1:7001"] = {
      statusAt(4), error(ErrorKind::Unavailable, "must not be polled again")};
  const Output Result = put();
  EXPECT_EQ(Result.Code, ExitCode::Ok) << Result.Err;
  EXPECT_EQ(Server.Time, base::TimePoint(std::chrono::milliseconds(300)));
}

// Guards against an endless wait, and against an error that does not list the
// balancers without the record.
TEST_F(WaitInForceTest, ListsTheBalancersThatLackTheRecord) {
  Server.StatusResponses["127.0.1.2:7001"] = {statusAt(3)};
  const Output Result = put();
  EXPECT_EQ(Result.Code, ExitCode::NotInForce);
  EXPECT_THAT(Result.Out, HasSubstr("true            1          2\n"));
  EXPECT_THAT(Result.Err, HasSubstr("127.0.1.2:7001: is at revision 3\n"));
  EXPECT_EQ(Server.Time, base::TimePoint(std::chrono::seconds(2)));
}

// Guards against an endless wait if no server returns the member list.
TEST_F(WaitInForceTest, StopsWithoutAMemberList) {
  Server.Responses["status"] = {error(ErrorKind::Unavailable, "no response")};
  EXPECT_EQ(put().Code, ExitCode::NotInForce);
  Server.Responses["status"] = {json("{}")};
  EXPECT_EQ(put().Code, ExitCode::NotInForce);
}

// Guards against a wait after a failed write.
TEST_F(WaitInForceTest, DoesNotWaitAfterAFailedWrite) {
  Server.Responses["record.put"] = {error(ErrorKind::NotFound, "no")};
  EXPECT_EQ(put().Code, ExitCode::NotFound);
  EXPECT_EQ(Server.Calls.size(), 1U);
}

} // namespace
} // namespace burdockstream::ctl
