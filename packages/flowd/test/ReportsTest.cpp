// What a running daemon answers over HTTP.
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

// A store that is down.
class AbsentStore : public store::Store {
public:
  void readKey(const std::string &, store::RangeCallback Callback) override {
    Callback(down());
  }
  void readPrefix(const std::string &, store::RangeCallback Callback) override {
    Callback(down());
  }
  void put(const store::PutRequest &, store::DoneCallback Callback) override {
    Callback(down());
  }
  void grantLease(std::chrono::seconds,
                  store::LeaseCallback Callback) override {
    Callback(down());
  }
  void keepAlive(store::LeaseId, store::LeaseCallback Callback) override {
    Callback(down());
  }
  void endLease(store::LeaseId, store::DoneCallback Callback) override {
    Callback(down());
  }
  std::unique_ptr<store::Watch> watch(const store::WatchRequest &,
                                      store::WatchCallback,
                                      store::WatchEndCallback) override {
    return nullptr;
  }
  const store::CallCounters &counters() const override { return Calls; }

private:
  static base::Error down() {
    return base::makeError(base::ErrorKind::Unavailable, "down");
  }
  store::CallCounters Calls{3, 2, 1};
};

FlowEnvironment environment() {
  FlowEnvironment Result;
  Result.Codec.HeaderBytes = 4;
  Result.OpenStore = [](base::SocketAddress) {
    return std::make_unique<AbsentStore>();
  };
  Result.Calls.Read = [](const http::ServerRequest &) { return TargetCall(); };
  Result.Calls.HealthPath = "/health";
  Result.ReadyPath = "/ready";
  Result.RoutesKey = "routes";
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
    std::optional<base::Result<http::HttpResponse>> Answer;
    http::HttpClient Client;
    Client.send({"http://" + std::string(Control) + Path,
                 "",
                 {},
                 std::chrono::seconds(5),
                 "GET"},
                [&](base::Result<http::HttpResponse> Value) {
                  Answer = std::move(Value);
                });
    while (!Answer)
      g_main_context_iteration(nullptr, TRUE);
    return Answer->has_value() ? Answer->value() : http::HttpResponse();
  }

  EventLog Log;
  std::unique_ptr<FlowDaemon> Daemon;
};

// Guards against metrics that a collector cannot read, or that are missing when
// an incident needs them.
TEST_P(ReportsTest, MetricsAreReadableAndComplete) {
  const http::HttpResponse Answer = fetch("/metrics");
  ASSERT_EQ(Answer.Status, 200U);
  const std::regex Sample(
      R"re(burdockstream_([a-z_]+)(\{([a-z_]+="[^"]*",?)+\})? -?[0-9.e+]+)re");
  std::set<std::string> Names;
  std::istringstream Lines(Answer.Body);
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
          ? std::vector<std::string>{"routes_age_ms", "oldest_status_age_ms",
                                     "targets",       "targets_ready",
                                     "searches",      "searches_dropped",
                                     "packets_parked"}
          : std::vector<std::string>{
                "heartbeat_age_ms", "requests_waiting",
                "openings_held",    "slots",
                "balancers",        "answer_time_seconds_bucket"};
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
  const http::HttpResponse Flow =
      fetch("/v1/flow?client=100.64.0.7:1025&service=198.18.0.1:443");
  EXPECT_EQ(Flow.Status, 200U);
  EXPECT_NE(Flow.Body.find("\"known\":false"), std::string::npos) << Flow.Body;
  EXPECT_EQ(fetch("/v1/flow?client=100.64.0.7").Status, 400U);
}

INSTANTIATE_TEST_SUITE_P(Roles, ReportsTest,
                         ::testing::Values("balancer", "agent"));

} // namespace
} // namespace burdockstream::flowd
