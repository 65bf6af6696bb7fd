#include "FakeServer.h"
#include "burdockstream/records/RecordParser.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace burdockstream::ctl {
namespace {

using ::testing::HasSubstr;

class DrainCommandTest : public ::testing::Test {
protected:
  DrainCommandTest() {
    Server.Responses["record.put"] = {writeResponse(8)};
    Server.Responses["endpoints"] = {
        json(R"({"endpoints": [{"data": "127.0.2.1:7000"}]})")};
    setDrained({});
  }

  void setDrained(std::vector<base::SocketAddress> Drained) {
    auto Config = records::parseRecord(record("shopdesk", 1), "r").value();
    Config.DrainedEndpoints = std::move(Drained);
    Server.Responses["record.get"] = {
        getResponse(records::formatRecord(Config).value(), 7)};
  }

  Output drain(const std::string &Address, bool Undo = false) {
    Server.Calls.clear();
    Command Drain = command(Verb::Drain, {"shopdesk", Address});
    Drain.Undo = Undo;
    return runCommand(Drain, Server.hooks());
  }

  std::vector<base::SocketAddress> sentEndpoints() const {
    const auto Sent = records::parseRecord(
        Server.sent("record.put")["body"].asString(), "sent");
    EXPECT_TRUE(Sent.has_value());
    return Sent.value().DrainedEndpoints;
  }

  static constexpr base::SocketAddress First{0x7f000201, 7000};
  static constexpr base::SocketAddress Second{0x7f000202, 7000};
  FakeServer Server;
};

// Guards against a drain that drops previously drained endpoints, or that
// overwrites a concurrent change.
TEST_F(DrainCommandTest, AddsTheEndpointIfTheRevisionIsUnchanged) {
  setDrained({Second});
  const Output Result = drain("127.0.2.1:7000");
  EXPECT_EQ(Result.Code, ExitCode::Ok) << Result.Err;
  EXPECT_EQ(Result.Err, "");
  EXPECT_EQ(sentEndpoints(), (std::vector{Second, First}));
  EXPECT_EQ(Server.sent("record.put")["if_revision"], 7);
}

TEST_F(DrainCommandTest, UndoRemovesOnlyThisEndpoint) {
  setDrained({First, Second});
  EXPECT_EQ(drain("127.0.2.1:7000", true).Code, ExitCode::Ok);
  EXPECT_EQ(sentEndpoints(), std::vector{Second});
}

// Guards against an unnecessary new revision of the record.
TEST_F(DrainCommandTest, ARepeatedDrainWritesNothing) {
  setDrained({First});
  EXPECT_THAT(drain("127.0.2.1:7000").Out, HasSubstr("7  false"));
  EXPECT_TRUE(Server.sent("record.put").isNull());
  setDrained({});
  EXPECT_THAT(drain("127.0.2.1:7000", true).Out, HasSubstr("7  false"));
  EXPECT_TRUE(Server.sent("record.put").isNull());
}

// Guards against a record whose schema version changes without notice.
TEST_F(DrainCommandTest, RejectsASchema1RecordWithInstructions) {
  Server.Responses["record.get"] = {
      getResponse(R"({"schema_version": 1, "service": "shopdesk",
                 "team": "retail", "address": "127.0.10.1:1"})",
                  7)};
  const Output Result = drain("127.0.2.1:7000");
  EXPECT_EQ(Result.Code, ExitCode::InvalidInput);
  EXPECT_THAT(Result.Err, HasSubstr("record migrate 1.json > 2.json"));
  EXPECT_TRUE(Server.sent("record.put").isNull());
}

// Guards against a mistyped address, which drains nothing, without a warning.
TEST_F(DrainCommandTest, WarnsAboutAnUnknownEndpoint) {
  const Output Result = drain("127.0.2.9:7000");
  EXPECT_EQ(Result.Code, ExitCode::Ok);
  EXPECT_THAT(Result.Err,
              HasSubstr("warning: no endpoint of shopdesk is currently "
                        "at 127.0.2.9:7000; "));
  EXPECT_EQ(drain("127.0.2.9").Code, ExitCode::InvalidInput);
}

// Guards against a write conflict that hides what the other operator wrote.
TEST_F(DrainCommandTest, AWriteConflictShowsTheStoredVersion) {
  Server.Responses["record.put"] = {
      error(base::ErrorKind::Conflict, "shopdesk is at revision 9, not at 7")};
  const Output Result = drain("127.0.2.1:7000");
  EXPECT_EQ(Result.Code, ExitCode::Conflict);
  EXPECT_THAT(Result.Err, HasSubstr("at revision 9, not at 7"));
  EXPECT_THAT(Result.Err, HasSubstr("stored version, revision 7"));
}

} // namespace
} // namespace burdockstream::ctl
