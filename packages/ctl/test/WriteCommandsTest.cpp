#include "FakeServer.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace burdockstream::ctl {
namespace {

using base::ErrorKind;
using ::testing::HasSubstr;

class WriteCommandsTest : public ::testing::Test {
protected:
  Output put(const std::string &Text,
             std::optional<base::Revision> IfRevision = {}) {
    Server.Files["f.json"] = Text;
    Command Put = command(Verb::RecordPut, {"f.json"});
    Put.IfRevision = IfRevision;
    return runCommand(Put, Server.hooks());
  }

  FakeServer Server;
};

// Guards against a write that is sent for another service or without the
// required revision.
TEST_F(WriteCommandsTest, PutSendsFileAndRequiredRevision) {
  Server.Responses["record.put"] = {writeResponse(4)};
  EXPECT_EQ(put(record("shopdesk", 1), 3).Out, "SERVICE   REVISION  CHANGED\n"
                                               "shopdesk         4  true\n");
  const Json::Value Sent = Server.sent("record.put");
  EXPECT_EQ(Sent["service"], "shopdesk");
  EXPECT_EQ(Sent["body"], record("shopdesk", 1));
  EXPECT_EQ(Sent["if_revision"], 3);
  Server.Calls.clear();
  put(record("shopdesk", 1));
  EXPECT_FALSE(Server.sent("record.put").isMember("if_revision"));
}

// Guards against retries of a write outside of Connection, and against
// reporting a write of unknown outcome as failed.
TEST_F(WriteCommandsTest, AnUnknownOutcomeIsReportedAndNotRetried) {
  Server.Responses["record.put"] = {
      error(ErrorKind::OutcomeUnknown, "may or may not be written")};
  const Output Result = put(record("shopdesk", 1));
  EXPECT_EQ(Result.Code, ExitCode::OutcomeUnknown);
  EXPECT_EQ(Server.Calls.size(), 1U);
}

// Guards against an operator who overwrites another's concurrent change without
// seeing it.
TEST_F(WriteCommandsTest, AWriteConflictShowsBothVersions) {
  Server.Responses["record.put"] = {
      error(ErrorKind::Conflict, "shopdesk is at revision 7, not at 5")};
  Server.Responses["record.get"] = {getResponse(record("shopdesk", 1, 9), 7)};
  const Output Result = put(record("shopdesk", 1, 6), 5);
  EXPECT_EQ(Result.Code, ExitCode::Conflict);
  EXPECT_THAT(Result.Err, HasSubstr("is at revision 7, not at 5"));
  EXPECT_THAT(Result.Err, HasSubstr("your version:\n{"));
  EXPECT_THAT(Result.Err, HasSubstr("\"slots_per_endpoint\" : 6"));
  EXPECT_THAT(Result.Err, HasSubstr("stored version, revision 7:\n{"));
  EXPECT_THAT(Result.Err, HasSubstr("\"slots_per_endpoint\" : 9"));
}

// Guards against sending an invalid record to a server.
TEST_F(WriteCommandsTest, AnInvalidFileIsNotSent) {
  EXPECT_EQ(put("{}").Code, ExitCode::InvalidInput);
  EXPECT_TRUE(Server.Calls.empty());
}

// Guards against errors that are not mapped to their exit codes.
TEST_F(WriteCommandsTest, MapsErrorsToExitCodes) {
  Server.Responses["record.retire"] = {
      error(ErrorKind::PermissionDenied, "belongs to team fitness"),
      error(ErrorKind::NotFound, "no record"),
      error(ErrorKind::Unavailable, "nothing was written")};
  const auto Retire = command(Verb::RecordRetire, {"shopdesk"});
  for (const ExitCode Code :
       {ExitCode::PermissionDenied, ExitCode::NotFound, ExitCode::Unavailable})
    EXPECT_EQ(runCommand(Retire, Server.hooks()).Code, Code);
  EXPECT_EQ(Server.sent("record.retire")["service"], "shopdesk");
}

// Guards against a missing error when two new services claim the same address
// concurrently.
TEST_F(WriteCommandsTest, ReportsAnAddressClaimedConcurrently) {
  Json::Value Contested = writeResponse(4);
  Contested["contested_with"].append("fitvault");
  Server.Responses["record.put"] = {Contested};
  const Output Result = put(record("shopdesk", 1));
  EXPECT_EQ(Result.Code, ExitCode::Conflict);
  EXPECT_THAT(Result.Err, HasSubstr("its address is also that of fitvault"));
}

// Guards against a crash on a response of another version.
TEST_F(WriteCommandsTest, RejectsResponsesOfUnexpectedFormat) {
  for (const char *Text : {"[]", "{}", R"({"revision": "4"})"}) {
    Server.Responses["record.put"] = {json(Text)};
    EXPECT_EQ(put(record("shopdesk", 1)).Code, ExitCode::OutcomeUnknown)
        << Text;
  }
}

} // namespace
} // namespace burdockstream::ctl
