// Tests the HTTP reports of a running daemon.
#include "burdockstream/flowd/FlowDaemon.h"

#include "burdockstream/base/JsonText.h"
#include "burdockstream/http/HttpClient.h"

#include <fcntl.h>
#include <glib.h>
#include <gtest/gtest.h>
#include <optional>
#include <regex>
#include <set>
#include <sstream>

namespace burdockstream::flowd {
namespace {

constexpr const char *Control = "127.0.0.1:28490";

// A store client all of whose calls fail as unavailable.
class UnavailableStore : public store::Store {
public:
  void readKey(const std::string &, store::RangeCallback Callback) override {
    Callback(makeUnavailableError());
  }
  void readPrefix(const std::string &, store::RangeCallback Callback) override {
    Callback(makeUnavailableError());
  }
  void put(const store::PutRequest &, store::PutCallback Callback) override {
    Callback(makeUnavailableError());
  }
  void grantLease(std::chrono::seconds,
                  store::LeaseCallback Callback) override {
    Callback(makeUnavailableError());
  }
  void keepAlive(store::LeaseId, store::LeaseCallback Callback) override {
    Callback(makeUnavailableError());
  }
  void endLease(store::LeaseId, store::DoneCallback Callback) override {
    Callback(makeUnavailableError());
  }
  std::unique_ptr<store::Watch> watch(const store::WatchRequest &,
                                      store::WatchCallback,
                                      store::WatchEndCallback) override {
    return nullptr;
  }
  const store::CallCounters &counters() const override { return Calls; }

private:
  static base::Error makeUnavailableError() {
    return base::makeError(base::ErrorKind::Unavailable, "store unavailable");
  }
  store::CallCounters Calls{3, 2, 1};
};

FlowEnvironment environment() {
  FlowEnvironment Result;
  Result.Codec.HeaderBytes = 4;
  Result.OpenStore = [](base::SocketAddress) {
    return std::make_unique<UnavailableStore>();
  };
  Result.Api.Parse = [](const http::ServerRequest &) {
    return TargetRequest();
  };
  Result.Api.HealthPath = "/health";
  Result.ReadyPath = "/ready";
  Result.OperatorPrefix = "operators/";
  Result.RoutesKey = "operators/routes";
  Result.ParseEvacuationKey = [](std::string_view) {
    return base::Result<std::optional<std::string>>(std::nullopt);
  };
  return Result;
}

std::string settings(const std::string &Role) {
  const std::string Common =
      R"("name":"d","failure_domain":"a","data_address":"127.0.0.1:28491",)"
      R"("control_address":"127.0.0.1:28490","store_address":"127.0.0.1:1",)"
      R"("grace_period_s":1,)";
  return R"({"role":")" + Role + "\"," + Common +
         (Role == "balancer"
              ? R"("ready_address":"127.0.0.1:28492","peers":[]})"
              : R"("agent":{"service":"shopdesk","target_address":)"
                R"("127.0.0.1:28493","outbound_address":"127.0.0.1:28494",)"
                R"("heartbeat_address":"127.0.0.1:28495",)"
                R"("heartbeat_interval_ms":1200,"address_reuse_delay_s":2}})");
}

class ReportsTest : public ::testing::TestWithParam<std::string> {
protected:
  ReportsTest()
      : Log(::open("/dev/null", O_WRONLY | O_CLOEXEC), "d", LogLimits()) {
    const auto Settings = parseFlowSettings(settings(GetParam()), "test");
    EXPECT_TRUE(Settings.has_value()) << Settings.error().Message;
    Daemon = FlowDaemon::make(Settings.value(), environment(), Log, [] {});
    const auto Started = Daemon->start();
    EXPECT_TRUE(Started.has_value()) << Started.error().Message;
  }

  http::HttpResponse fetch(const std::string &Path) {
    std::optional<base::Result<http::HttpResponse>> Response;
    http::HttpClient Client;
    Client.send({"http://" + std::string(Control) + Path,
                 "",
                 {},
                 std::chrono::seconds(5),
                 "GET"},
                [&](base::Result<http::HttpResponse> Value) {
                  Response = std::move(Value);
                });
    while (!Response)
      g_main_context_iteration(nullptr, TRUE);
    return Response->has_value() ? Response->value() : http::HttpResponse();
  }

  EventLog Log;
  std::unique_ptr<FlowDaemon> Daemon;
};

// Guards against metrics that a collector cannot parse, and against missing
// metrics that the diagnosis of an incident requires.
TEST_P(ReportsTest, MetricsAreWellFormedAndComplete) {
  const http::HttpResponse Response = fetch("/metrics");
  ASSERT_EQ(Response.Status, 200U);
  const std::regex Sample(
      R"re(burdockstream_([a-z_]+)(\{([a-z_]+="[^"]*",?)+\})? -?[0-9.e+]+)re");
  std::set<std::string> Names;
  std::istringstream Lines(Response.Body);
  for (std::string Line; std::getline(Lines, Line);) {
    if (Line.empty() || Line[0] == '#')
      continue;
    std::smatch Parts;
    ASSERT_TRUE(std::regex_match(Line, Parts, Sample)) << Line;
    Names.insert(Parts[1]);
  }
  const std::vector<std::string> Both = {
      "flow_decisions_total", "flows",
      "store_reads",          "store_writes",
      "store_failures",       "udp_sent",
      "udp_received_bytes",   "udp_kernel_drops",
      "routes_revision"};
  for (const std::string &Name : Both)
    EXPECT_EQ(Names.count(Name), 1U) << Name;
  const std::vector<std::string> Own =
      GetParam() == "balancer"
          ? std::vector<std::string>{"routes_age_ms",
                                     "oldest_status_age_ms",
                                     "targets",
                                     "targets_ready",
                                     "failure_domains_evacuated",
                                     "searches",
                                     "searches_dropped",
                                     "reception_impaired",
                                     "packets_parked",
                                     "offers_total",
                                     "openings_unserved_total"}
          : std::vector<std::string>{"heartbeat_age_ms",
                                     "open_flows",
                                     "requests_waiting",
                                     "openings_held",
                                     "slots",
                                     "balancers",
                                     "answer_time_seconds_bucket",
                                     "evacuated"};
  for (const std::string &Name : Own)
    EXPECT_EQ(Names.count(Name), 1U) << Name;
}

TEST_P(ReportsTest, DescribesItselfAndItsFlows) {
  const http::HttpResponse Self = fetch("/v1/daemon");
  ASSERT_EQ(Self.Status, 200U);
  const auto Document = base::JsonDocument::parse(Self.Body, "d");
  ASSERT_TRUE(Document.has_value());
  EXPECT_EQ(Document.value().root()["role"].asString(), GetParam());
  EXPECT_EQ(Document.value().root()["name"].asString(), "d");
  EXPECT_EQ(Document.value().root()["services"].isArray(),
            GetParam() == "balancer");
  const http::HttpResponse Flow =
      fetch("/v1/flow?client=100.64.0.7:1025&service=198.18.0.1:443");
  EXPECT_EQ(Flow.Status, 200U);
  EXPECT_NE(Flow.Body.find("\"known\":false"), std::string::npos) << Flow.Body;
  EXPECT_EQ(fetch("/v1/flow?client=100.64.0.7").Status, 400U);
}

// Guards against an agent that takes its target for alive, by the times of its
// start, when the address may belong to another service by the new ones.
TEST_P(ReportsTest, ReloadedTimesAreInForce) {
  if (GetParam() == "balancer")
    return; // it has no target
  const auto Overdue = [&] {
    const auto Document =
        base::JsonDocument::parse(fetch("/v1/daemon").Body, "d");
    return Document.value().root()["heartbeat_overdue_ms"].asInt64();
  };
  EXPECT_EQ(Overdue(), 1800);
  std::string Text = settings(GetParam());
  const std::string Field = "address_reuse_delay_s\":";
  Text.replace(Text.find(Field) + Field.size(), 1, "1.25");
  const auto Reloaded = parseFlowSettings(Text, "test");
  ASSERT_TRUE(Reloaded.has_value()) << Reloaded.error().Message;
  Daemon->applySettings(Reloaded.value());
  EXPECT_EQ(Overdue(), 1050); // 200 ms before the address may be reused
}

INSTANTIATE_TEST_SUITE_P(Roles, ReportsTest,
                         ::testing::Values("balancer", "agent"));

} // namespace
} // namespace burdockstream::flowd
