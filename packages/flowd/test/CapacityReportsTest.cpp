// Tests what operators see of the capacity of a service.
#include "../src/CapacityReports.h"

#include "burdockstream/base/JsonText.h"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <sstream>
#include <unistd.h>

namespace burdockstream::flowd {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char *Shop = "shopdesk";
const base::ServiceId ShopId = base::serviceIdOf(Shop);
constexpr base::Duration Tick = milliseconds(50);

flows::BalancerHooks silentHooks() {
  flows::BalancerHooks Hooks;
  Hooks.SendFrame = [](base::SocketAddress, const flows::FrameHeader &,
                       std::span<const uint8_t>) {};
  Hooks.SendReset = [](const flows::FlowKey &, uint32_t) {};
  return Hooks;
}

// A balancer with two targets of 2 slots and 40 ms: 100 requests per second.
class CapacityReportsTest : public ::testing::Test {
protected:
  CapacityReportsTest()
      : Core({"a", {1, 7000}, 4}, silentHooks(), base::RandomSource(1)) {
    EXPECT_EQ(::pipe2(Pipe, O_CLOEXEC | O_NONBLOCK), 0);
    Log.emplace(Pipe[1], "frontend-1", LogLimits());
    Reports.emplace(*Log, Registry);
  }
  ~CapacityReportsTest() override {
    ::close(Pipe[0]);
    ::close(Pipe[1]);
  }

  void list() {
    Core.setAgentEntries({{{2, 7000}, Shop, "a"}, {{3, 7000}, Shop, "a"}}, Now);
  }

  // Each target reports this many requests for Time.
  void run(uint32_t Waiting, base::Duration Time) {
    for (const base::TimePoint End = Now + Time; Now < End; Now += Tick) {
      flows::TargetStatus Status;
      Status.Sequence = ++Sequence;
      Status.Service = ShopId;
      Status.FailureDomain = "a";
      Status.State = flows::TargetState::Ready;
      Status.Slots = 2;
      Status.SlotTimeUs = 40'000;
      Status.Waiting = Waiting;
      for (const uint32_t Agent : {2, 3})
        Core.onStatus({Agent, 7000}, Status, Now);
      Reports->update(Core, {Now, {}});
    }
  }

  int64_t gauge(const char *Name, const std::string &Service = Shop) {
    Reports->exportGauges(Now);
    return Registry
        .gauge(std::string("service_") + Name, {{"service", Service}})
        .value();
  }

  // Returns the log lines since the last call.
  std::vector<Json::Value> readLines() const {
    std::string Text(65536, '\0');
    const ssize_t Size = ::read(Pipe[0], Text.data(), Text.size());
    Text.resize(Size > 0 ? static_cast<size_t>(Size) : 0);
    std::istringstream In(Text);
    std::vector<Json::Value> Result;
    for (std::string Line; std::getline(In, Line);)
      Result.push_back(base::JsonDocument::parse(Line, "log").value().root());
    return Result;
  }

  int Pipe[2] = {-1, -1};
  flows::FlowBalancer Core;
  base::Metrics Registry;
  std::optional<EventLog> Log;
  std::optional<CapacityReports> Reports;
  base::TimePoint Now{seconds(100)};
  uint64_t Sequence = 0;
};

// Guards against a shortage that operators cannot see, or whose figures differ
// between gauges, the daemon's report and the log.
TEST_F(CapacityReportsTest, ShowsAShortageAndItsEnd) {
  list();
  run(2, seconds(1));
  EXPECT_EQ(gauge("rate_per_second"), 100);
  EXPECT_EQ(gauge("expected_wait_ms"), 0);
  EXPECT_EQ(gauge("short"), 0);
  EXPECT_TRUE(readLines().empty());
  run(27, seconds(3)); // 50 requests for 100 per second
  EXPECT_EQ(gauge("work_ahead"), 54);
  EXPECT_EQ(gauge("expected_wait_ms"), 500);
  EXPECT_EQ(gauge("targets"), 2);
  EXPECT_EQ(gauge("targets_warming_up"), 0);
  EXPECT_EQ(gauge("short"), 1);
  EXPECT_EQ(gauge("short_for_ms"), 3000);
  EXPECT_EQ(gauge("shortage_left_ms"), UnknownTimeMs) << "it does not fall";
  const Json::Value Report = Reports->describe(Now);
  ASSERT_EQ(Report.size(), 1U);
  EXPECT_EQ(Report[0]["service"], Shop);
  EXPECT_EQ(Report[0]["expected_wait_ms"].asInt64(), 500);
  EXPECT_TRUE(Report[0]["short"].asBool());
  EXPECT_TRUE(Report[0]["shortage_left_ms"].isNull());
  run(2, seconds(1));
  const auto Lines = readLines();
  ASSERT_EQ(Lines.size(), 2U);
  EXPECT_EQ(Lines[0]["event"], "capacity_short");
  EXPECT_EQ(Lines[0]["service"], Shop);
  EXPECT_EQ(Lines[0]["expected_wait_ms"].asInt64(), 500);
  // Without a latency target: four slot times.
  EXPECT_EQ(Lines[0]["limit_ms"].asInt64(), 160);
  EXPECT_EQ(Lines[1]["event"], "capacity_sufficient");
  EXPECT_EQ(Lines[1]["was_short_for_ms"].asInt64(), 3000);
  EXPECT_EQ(gauge("short"), 0);
  EXPECT_EQ(gauge("shortage_left_ms"), 0);
}

// Guards against a series that keeps its last values after the targets have
// fallen silent, or after the store has listed the service's name.
TEST_F(CapacityReportsTest, NoSeriesKeepsOutdatedValues) {
  run(27, Tick);
  const std::string Id = Reports->describe(Now)[0]["service"].asString();
  EXPECT_EQ(Id.size(), 16U);
  EXPECT_EQ(gauge("work_ahead", Id), 54);
  list();
  run(27, CapacityInterval + Tick);
  EXPECT_EQ(gauge("work_ahead"), 54);
  EXPECT_EQ(gauge("work_ahead", Id), 0);
  Now += seconds(2);
  Reports->update(Core, {Now, {}});
  EXPECT_EQ(gauge("rate_per_second"), 0);
  EXPECT_EQ(gauge("expected_wait_ms"), UnknownTimeMs);
  EXPECT_EQ(gauge("short"), 0);
  const auto Lines = readLines();
  ASSERT_FALSE(Lines.empty());
  EXPECT_EQ(Lines.back()["event"], "capacity_unknown");
  EXPECT_TRUE(Lines.back()["expected_wait_ms"].isNull());
}

// Guards against a report that grows with all services that were ever deployed,
// and against the last values of a service that is gone.
TEST_F(CapacityReportsTest, AServiceWithoutTargetsIsRemoved) {
  list();
  run(27, seconds(1));
  EXPECT_EQ(Reports->describe(Now).size(), 1U);
  for (const uint32_t Agent : {2, 3})
    Core.removeAgentEntry({Agent, 7000}, Now);
  for (int I = 0; I < 100; ++I) {
    Now += milliseconds(100);
    Core.tick(Now);
    Reports->update(Core, {Now, {}});
  }
  EXPECT_EQ(Core.targets().size(), 0U);
  EXPECT_EQ(Reports->describe(Now).size(), 0U);
  EXPECT_EQ(gauge("rate_per_second"), 0);
  EXPECT_EQ(gauge("short"), 0);
  const auto Lines = readLines();
  ASSERT_FALSE(Lines.empty());
  EXPECT_EQ(Lines.back()["event"], "capacity_unknown");
}

} // namespace
} // namespace burdockstream::flowd
