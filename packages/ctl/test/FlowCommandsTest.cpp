#include "FakeServer.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace burdockstream::ctl {
namespace {

using ::testing::HasSubstr;

class FlowCommandsTest : public ::testing::Test {
protected:
  FlowCommandsTest() {
    Server.Documents["10.0.0.1:7780/v1/daemon"] = json(R"({
      "role": "balancer", "name": "b-1", "ready": true, "flows": 2,
      "routes_version": 3, "routes_revision": 41, "peers": ["10.0.0.2:7780"],
      "routes": [{"address": "198.18.0.1:443", "route": "r", "class":
        "idempotent", "services": "shopdesk=1"}],
      "targets": [{"agent": "10.0.1.1:8752", "service": "shopdesk",
        "failure_domain": "a", "state": "ready", "slots": 2, "waiting": 1,
        "flows": 7, "status_age_ms": 12, "listed": true}]})");
    Server.Documents["10.0.1.1:7780/v1/daemon"] = json(R"({
      "role": "agent", "name": "a-1", "state": "ready", "flows": 7,
      "routes_revision": 41, "waiting": 1})");
  }

  Output run(Verb Verb, std::vector<std::string> Arguments = {}) {
    Command Request = command(Verb, std::move(Arguments));
    Request.Servers = {{0x0A000001, 7780}};
    return runCommand(Request, Server.hooks());
  }

  FakeServer Server;
};

// Guards against columns that do not match their values.
TEST_F(FlowCommandsTest, ListsRoutesAndTargets) {
  EXPECT_EQ(run(Verb::FlowRoutes).Out,
            "ADDRESS         ROUTE  SERVICES    CLASS\n"
            "198.18.0.1:443  r      shopdesk=1  idempotent\n");
  EXPECT_THAT(run(Verb::FlowTargets).Out,
              HasSubstr("10.0.1.1:8752  shopdesk  a               ready"));
}

// Guards against omitting a daemon that does not respond: it may be the one
// that applies outdated routes.
TEST_F(FlowCommandsTest,
       StatusIncludesPeersAndAgentsAndWarnsOfUnresponsiveOnes) {
  const Output Result = run(Verb::FlowStatus);
  EXPECT_EQ(Result.Code, ExitCode::Ok);
  EXPECT_THAT(Result.Out, HasSubstr("10.0.0.1:7780  b-1   balancer  true"));
  EXPECT_THAT(Result.Out, HasSubstr("10.0.1.1:7780  a-1   agent     -"));
  EXPECT_EQ(Result.Err, "warning: 10.0.0.2:7780 did not respond\n");
}

TEST_F(FlowCommandsTest, TracesAFlowAtTheDaemonsThatKnowIt) {
  const std::string Path =
      "/v1/flow?client=100.64.0.7:1025&service=198.18.0.1:443";
  const std::vector<std::string> Addresses = {"100.64.0.7:1025",
                                              "198.18.0.1:443"};
  Server.Documents["10.0.0.1:7780" + Path] =
      json(R"({"role": "balancer", "known": false, "searching": false})");
  EXPECT_EQ(run(Verb::FlowTrace, Addresses).Code, ExitCode::NotFound);
  Server.Documents["10.0.1.1:7780" + Path] = json(
      R"({"role": "agent", "known": true, "open": true, "waiting": true,
          "not_held": false, "class": "idempotent"})");
  const Output Result = run(Verb::FlowTrace, Addresses);
  EXPECT_EQ(Result.Code, ExitCode::Ok);
  EXPECT_THAT(Result.Out, HasSubstr("10.0.1.1:7780  agent"));
  EXPECT_THAT(Result.Out, ::testing::Not(HasSubstr("10.0.0.1:7780")));
}

// Guards against treating the report of another program as that of a balancer.
TEST_F(FlowCommandsTest, RejectsAReportOfAnotherFormat) {
  Server.Documents["10.0.0.1:7780/v1/daemon"] = json(R"({"role": "agent"})");
  const Output Result = run(Verb::FlowTargets);
  EXPECT_EQ(Result.Code, ExitCode::InvalidInput);
  EXPECT_THAT(
      Result.Err,
      HasSubstr("not a balancer of flow services; specify one with --server="));
}

TEST_F(FlowCommandsTest, RejectsInvalidCommandLines) {
  FlagValues Flags;
  Flags.Server = "10.0.0.1:7780";
  const auto ErrorOf = [&](const std::vector<std::string> &Words) {
    const auto Parsed = parseCommand(Words, Flags);
    return Parsed.has_error() ? Parsed.error().Message : "accepted";
  };
  EXPECT_EQ(ErrorOf({"flow", "status"}), "accepted");
  EXPECT_THAT(ErrorOf({"flow", "trace", "100.64.0.7", "198.18.0.1:443"}),
              HasSubstr("100.64.0.7"));
  Flags.TokenFile = "token";
  EXPECT_THAT(ErrorOf({"flow", "status"}), HasSubstr("needs no token"));
}

} // namespace
} // namespace burdockstream::ctl
