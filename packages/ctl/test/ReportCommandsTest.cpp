#include "FakeServer.h"
#include "burdockstream/base/Metrics.h"
#include "burdockstream/records/RecordParser.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace burdockstream::ctl {
namespace {

using ::testing::HasSubstr;

Output run(FakeServer &Server, Verb Verb, std::vector<std::string> Arguments,
           Format Format = Format::Table) {
  Command Command = command(Verb, std::move(Arguments));
  Command.Format = Format;
  return runCommand(Command, Server.hooks());
}

// Guards against columns that do not match their values.
TEST(ReportCommandsTest, ListsRecords) {
  FakeServer Server;
  Server.Responses["record.list"] = {json(R"({"records": [
    {"service": "shopdesk", "team": "retail", "address": "127.0.10.1:5683",
     "schema_version": 2, "revision": 7, "retired": false,
     "serves_address": true, "contested_with": []}]})")};
  EXPECT_EQ(run(Server, Verb::RecordList, {}).Out,
            "SERVICE   TEAM    ADDRESS          SCHEMA_VERSION  REVISION"
            "  RETIRED  SERVES_ADDRESS\n"
            "shopdesk  retail  127.0.10.1:5683               2         7"
            "  false    true\n");
}

// Guards against output of `record get` that `record put` rejects.
TEST(ReportCommandsTest, GetPrintsARecordThatPutAccepts) {
  FakeServer Server;
  Server.Responses["record.get"] = {getResponse(record("shopdesk", 5683), 7)};
  const Output Text = run(Server, Verb::RecordGet, {"shopdesk"});
  EXPECT_EQ(Server.sent("record.get")["service"], "shopdesk");
  EXPECT_THAT(Text.Out, HasSubstr("// revision 7\n"));
  EXPECT_TRUE(records::parseRecord(Text.Out, "out").has_value());
  EXPECT_THAT(run(Server, Verb::RecordGet, {"shopdesk"}, Format::Json).Out,
              HasSubstr("\"revision\" : 7"));
}

// Guards against overlooking an invalid file among valid ones.
TEST(ReportCommandsTest, ValidatesFilesWithoutAServer) {
  FakeServer Server;
  Server.Files = {{"a.json", record("shopdesk", 1)}, {"b.json", "{"}};
  const Output Result =
      run(Server, Verb::RecordValidate, {"a.json", "b.json", "c.json"});
  EXPECT_EQ(Result.Code, ExitCode::InvalidInput);
  EXPECT_THAT(Result.Out, HasSubstr("a.json  shopdesk       2  true\n"
                                    "b.json  -         -       false\n"));
  EXPECT_THAT(Result.Err, HasSubstr("b.json:1: "));
  EXPECT_THAT(Result.Err, HasSubstr("c.json: not found"));
  EXPECT_TRUE(Server.Calls.empty());
}

// Guards against a migration that keeps the old version number.
TEST(ReportCommandsTest, MigratesSchema1) {
  FakeServer Server;
  Server.Files["a.json"] = R"({"schema_version": 1, "service": "fitvault",
    "team": "fitness", "address": "127.0.10.2:5683", "slots": 4})";
  const Output Result = run(Server, Verb::RecordMigrate, {"a.json"});
  EXPECT_THAT(Result.Out, HasSubstr("\"schema_version\" : 2"));
  EXPECT_THAT(Result.Out, HasSubstr("\"slots_per_endpoint\" : 4"));
}

// Guards against columns that do not match their values, and against a missing
// warning about an address that several records have.
TEST(ReportCommandsTest, PrintsStatusAndEndpoints) {
  FakeServer Server;
  Server.Responses["status"] = {json(R"({"ready": true, "balancers": [
    {"id": "00ff", "data": "127.0.1.1:7000", "control": "127.0.1.1:7001",
     "failure_domain": "bc-kam", "state": "ready"}],
    "contested_addresses": [{"address": "127.0.10.1:5683"}]})")};
  Server.Responses["endpoints"] = {json(R"({"endpoints": [
    {"id": "00aa", "data": "127.0.2.1:7000", "control": "127.0.2.1:7001",
     "failure_domain": "bc-kel", "state": "draining", "slots": 2,
     "load_percent": 50, "buckets": 37}]})")};
  const Output Status = run(Server, Verb::Status, {});
  EXPECT_THAT(Status.Out, HasSubstr("00ff  127.0.1.1:7000  127.0.1.1:7001  "
                                    "bc-kam          ready\n"));
  EXPECT_THAT(Status.Err, HasSubstr("warning: several records have the same"));
  EXPECT_THAT(run(Server, Verb::Status, {}, Format::Json).Out,
              HasSubstr("\"ready\" : true"));
  EXPECT_THAT(run(Server, Verb::Endpoints, {"shopdesk"}).Out,
              HasSubstr("bc-kel          draining      2            50       "
                        "37\n"));
}

// Guards against a crash on a response of another version.
TEST(ReportCommandsTest, RejectsResponsesOfUnexpectedFormat) {
  FakeServer Server;
  for (const char *Text :
       {"[]", "{}", R"({"balancers": 1, "endpoints": 1, "records": 1})",
        R"({"balancers": [1], "endpoints": [1], "records": [1]})"}) {
    for (const char *Method :
         {"status", "endpoints", "record.list", "record.get"})
      Server.Responses[Method] = {json(Text)};
    for (const Verb Verb :
         {Verb::Status, Verb::Endpoints, Verb::RecordList, Verb::RecordGet})
      EXPECT_EQ(run(Server, Verb, {"shopdesk"}).Code, ExitCode::InvalidInput)
          << Text;
  }
}

// Guards against ignoring the prefix, and against a crash on a response of
// another version.
TEST(ReportCommandsTest, PrintsMetricsByPrefix) {
  base::Metrics Registry;
  Registry.counter("dropped", {{"reason", "mac"}}).add(7);
  Registry.gauge("members").set(3);
  Registry.histogram("latency").add(base::Duration(250));
  FakeServer Server;
  Server.Responses["metrics"] = {json(base::toJson(Registry.snapshot()))};
  const std::string AllMetrics = run(Server, Verb::Metrics, {}).Out;
  EXPECT_THAT(AllMetrics, HasSubstr("dropped  reason=mac  counter        7"));
  EXPECT_THAT(AllMetrics, HasSubstr("latency              histogram      1"));
  const std::string MatchingMetrics = run(Server, Verb::Metrics, {"mem"}).Out;
  EXPECT_THAT(MatchingMetrics, HasSubstr("members"));
  EXPECT_EQ(MatchingMetrics.find("dropped"), std::string::npos);
  for (const char *Text :
       {"[]", "{}", "{\"counters\": [1]}", "{\"counters\": [{\"name\": 1}]}"}) {
    Server.Responses["metrics"] = {json(Text)};
    EXPECT_EQ(run(Server, Verb::Metrics, {}).Code, ExitCode::InvalidInput)
        << Text;
  }
}

} // namespace
} // namespace burdockstream::ctl
