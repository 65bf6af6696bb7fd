// Runs commands against an administration API server that replies with the
// golden responses of packages/daemon/test/golden.
#include "burdockstream/ctl/Connection.h"
#include "burdockstream/admin/RpcServer.h"
#include "burdockstream/base/JsonText.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace burdockstream::ctl {
namespace {

using ::testing::HasSubstr;

constexpr base::SocketAddress Address{0x7f000001, 28474};
constexpr base::SocketAddress UnusedAddress{0x7f000001, 28475};
const std::string GoldenDirectory = "packages/daemon/test/golden/";

class ConnectionTest : public ::testing::Test {
protected:
  ConnectionTest() : Server(methods(), hooks()) {
    EXPECT_TRUE(Server.listen(Address).has_value());
  }

  std::vector<admin::RpcMethod> methods() {
    std::vector<admin::RpcMethod> Methods;
    for (const char *Name :
         {"status", "endpoints", "record.put", "record.retire", "record.get",
          "record.list", "metrics"}) {
      const std::string File =
          GoldenDirectory + "balancer." + std::string(Name) + ".json";
      const auto Text = base::readTextFile(File);
      EXPECT_TRUE(Text.has_value()) << File;
      const auto Document = base::JsonDocument::parse(Text.value(), File);
      EXPECT_TRUE(Document.has_value()) << File;
      const Json::Value Result = Document.value().root()["answer"]["result"];
      Methods.push_back({Name,
                         admin::Access::Team,
                         {},
                         [this, Name, Result](const admin::RpcCaller &,
                                              const Json::Value &Parameters,
                                              const admin::RpcReply &Reply) {
                           ReceivedParameters[Name] = Parameters;
                           if (UnresponsiveMethod == Name) {
                             PendingReplies.push_back(Reply);
                             return;
                           }

                           const auto Error = Errors.find(Name);
                           Reply(Error == Errors.end()
                                     ? admin::RpcResult(Result)
                                     : Error->second);
                         }});
    }
    return Methods;
  }

  static admin::RpcServerHooks hooks() {
    return {[](const std::string &Token) {
              return Token == "good" ? "retail" : std::string();
            },
            [](const std::string &, const std::string &) { return false; },
            [] { return std::string(); }, [] { return true; },
            [] { return true; }};
  }

  Output run(Verb Verb, std::vector<std::string> Arguments,
             const std::string &Token = "good",
             std::vector<base::SocketAddress> Servers = {UnusedAddress,
                                                         Address}) {
    Connection Conn({std::move(Servers), Token, std::chrono::seconds(5)});
    Command Command;
    Command.Verb = Verb;
    Command.Arguments = std::move(Arguments);
    return runCommand(Command, makeHooks(Conn));
  }

  // The parameters of the last call of each method.
  std::map<std::string, Json::Value> ReceivedParameters;
  // Errors by method, returned in place of the golden response.
  std::map<std::string, base::Error> Errors;
  std::string UnresponsiveMethod; // gets no reply
  std::vector<admin::RpcReply> PendingReplies;
  admin::RpcServer Server;
};

// Guards against a command that cannot parse the responses of the daemon, and
// against giving up when the first server is down.
TEST_F(ConnectionTest, EveryCommandParsesTheDaemonsResponses) {
  const Output Status = run(Verb::Status, {});
  EXPECT_EQ(Status.Code, ExitCode::Ok) << Status.Err;
  EXPECT_THAT(Status.Out, HasSubstr("127.0.1.1:7001"));
  EXPECT_THAT(run(Verb::Endpoints, {"shopdesk"}).Out,
              HasSubstr("127.0.2.1:7000"));
  EXPECT_EQ(ReceivedParameters["endpoints"]["service"], "shopdesk");
  EXPECT_THAT(run(Verb::RecordList, {}).Out, HasSubstr("shopdesk"));
  EXPECT_THAT(run(Verb::RecordGet, {"shopdesk"}).Out, HasSubstr("// revision"));
  EXPECT_THAT(run(Verb::Metrics, {}).Out, HasSubstr("counter"));
  EXPECT_EQ(run(Verb::RecordRetire, {"fitvault"}).Code, ExitCode::Ok);
  const Output Put =
      run(Verb::RecordPut, {"examples/bc-interior/records/shopdesk.json"});
  EXPECT_EQ(Put.Code, ExitCode::Ok) << Put.Err;
  EXPECT_THAT(ReceivedParameters["record.put"]["body"].asString(),
              HasSubstr("// shopdesk"));
}

TEST_F(ConnectionTest, AnInvalidTokenHasItsOwnExitCode) {
  EXPECT_EQ(run(Verb::Status, {}, "bad").Code, ExitCode::PermissionDenied);
  EXPECT_EQ(run(Verb::RecordRetire, {"fitvault"}, "bad").Code,
            ExitCode::PermissionDenied);
}

TEST_F(ConnectionTest, UnreachableServersAreUnavailable) {
  EXPECT_EQ(run(Verb::Status, {}, "good", {UnusedAddress}).Code,
            ExitCode::Unavailable);
  EXPECT_EQ(run(Verb::RecordRetire, {"a"}, "good", {UnusedAddress}).Code,
            ExitCode::Unavailable);
}

// Guards against a write that is retried at another server although the first
// may have carried it out.
TEST_F(ConnectionTest, AWriteOfUnknownOutcomeIsNotRetried) {
  Errors["record.retire"] =
      base::makeError(base::ErrorKind::OutcomeUnknown, "no response");
  EXPECT_EQ(
      run(Verb::RecordRetire, {"a"}, "good", {Address, UnusedAddress}).Code,
      ExitCode::OutcomeUnknown);
  Errors["record.retire"] =
      base::makeError(base::ErrorKind::Unavailable, "nothing was written");
  EXPECT_EQ(
      run(Verb::RecordRetire, {"a"}, "good", {Address, UnusedAddress}).Code,
      ExitCode::Unavailable);
}

// Guards against a paused balancer that delays --wait beyond its time limit.
TEST_F(ConnectionTest, AnUnresponsiveServerTimesOutAfterTheLimit) {
  UnresponsiveMethod = "status";
  Connection Conn({{Address}, "good", std::chrono::hours(1)});
  const auto Results = Conn.callEach({Address, UnusedAddress}, "status",
                                     std::chrono::milliseconds(100));
  ASSERT_EQ(Results.size(), 2U);
  EXPECT_EQ(Results[0].error().Kind, base::ErrorKind::OutcomeUnknown);
  EXPECT_EQ(Results[1].error().Kind, base::ErrorKind::Unavailable);
}

} // namespace
} // namespace burdockstream::ctl
