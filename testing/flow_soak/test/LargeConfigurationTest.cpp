// What callers see when the configuration has nearly the largest size of a
// value and the balancer reaches the store over a link of 10 Mbit/s. The
// daemons run in this process.
#include "MachineLock.h"
#include "PlatformEnvironment.h"
#include "SoakParts.h"
#include "burdockstream/flowd/FlowDaemon.h"
#include "burdockstream/network/LoopTimer.h"
#include "burdockstream/testing/LinkStandIn.h"
#include "burdockstream/testing/PlatformStoreStandIn.h"

#include <fcntl.h>
#include <gtest/gtest.h>

namespace burdockstream::flowsoak {
namespace {

using std::chrono::milliseconds;

constexpr base::SocketAddress CallerAddress{0xC6120001, 443};
constexpr base::SocketAddress StoreAddress{0x7F140001, 18169};
constexpr base::SocketAddress LinkAddress{0x7F140002, 18169};
constexpr base::SocketAddress PeerLinkAddress{0x7F140003, 18169};
constexpr base::SocketAddress NoStoreAddress{0x7F140004, 18169};
constexpr double LinkBytesPerSecond = 1.25e6; // 10 Mbit/s
constexpr size_t IdleRoutes = 5'600;          // about 1 MB

// The platform's bounds: the time in which a fleet serves again, and in which a
// configuration is in force.
constexpr std::chrono::seconds RecoveryTime{15};
constexpr std::chrono::seconds PropagationTime{5};

// A configuration that sends callers to Service.
std::string configuration(int Version, const std::string &Service,
                          size_t Idle = IdleRoutes) {
  std::string Text = "{\"version\":" + std::to_string(Version) +
                     R"(,"limits":{"idle_timeout_ms":15000},"routes":[)";
  for (size_t I = 0; I < Idle; ++I)
    Text += R"({"name":"idle)" + std::to_string(100'000 + I) +
            R"(","host":"198.18.)" + std::to_string(1 + I / 250) + "." +
            std::to_string(I % 250) +
            R"(","prefix":"/8443/","route_type":"non_idempotent",)"
            R"("timeout_ms":2000,"target_latency_ms":300,"priority":1,)"
            R"("service":"shop","max_attempts":2},)";
  return Text +
         R"({"name":"a","host":"198.18.0.1","prefix":"/443/",)"
         R"("route_type":"idempotent","service":")" +
         Service + R"(","timeout_ms":4000,"target_latency_ms":300}]})";
}

class LargeConfigurationTest : public ::testing::Test {
protected:
  void SetUp() override {
    ASSERT_TRUE(Store.listen(StoreAddress).has_value());
    ASSERT_TRUE(Link.listen(LinkAddress));
    for (size_t I = 0; I < 2; ++I)
      Targets.push_back(std::make_unique<SoakTarget>(
          I, Services[I], CallerAddress, milliseconds(10), Found));
    Sources = {network::callEvery(milliseconds(400),
                                  [this] {
                                    for (const auto &Target : Targets)
                                      Target->beat();
                                  }),
               network::callEvery(milliseconds(20), [this] {
                 if (Clients)
                   Clients->tick();
               })};
  }

  void TearDown() override {
    for (const guint Source : Sources)
      g_source_remove(Source);
    for (const std::string &Each : Found)
      ADD_FAILURE() << Each;
  }

  void startAgents() {
    for (size_t I = 0; I < 2; ++I)
      start(common("agent", 2, I, StoreAddress) + R"("agent":{"service":")" +
            Services[I] + R"(","target_address":)" +
            quoted(place(2, I, TargetPort)) + R"(,"outbound_address":)" +
            quoted(place(2, I, OutboundPort)) + R"(,"heartbeat_address":)" +
            quoted(place(2, I, HeartbeatPort)) +
            R"(,"heartbeat_interval_ms":400,"address_reuse_delay_s":2}})");
  }

  // Peer is the balancer's only peer.
  void startBalancer(size_t I, base::SocketAddress StoreAt,
                     base::SocketAddress Peer) {
    start(common("balancer", 1, I, StoreAt) + R"("ready_address":)" +
          quoted(place(1, I, ReadyPort)) + R"(,"link_mbps":10,"peers":[)" +
          quoted(Peer) + "]}");
  }

  void startDaemons() {
    startAgents();
    startBalancer(0, LinkAddress, place(1, 0, ControlPort));
  }

  void startClients(size_t Balancer = 0) {
    Clients = std::make_unique<SoakClients>(
        4, std::vector{CallerAddress},
        [Balancer](const flows::FlowKey &) {
          return place(1, Balancer, DataPort);
        },
        [this](const flows::FlowKey &Flow) {
          return Targets[0]->holds(Flow) || Targets[1]->holds(Flow);
        },
        Found);
  }

  // Runs the loop until Done returns true, for Limit at most. Returns whether
  // it did.
  bool runUntil(std::chrono::seconds Limit, const std::function<bool()> &Done) {
    const gint64 End = g_get_monotonic_time() + Limit.count() * G_USEC_PER_SEC;
    const guint Ticks = network::callEvery(milliseconds(5), [] {});
    while (!Done() && g_get_monotonic_time() < End)
      g_main_context_iteration(nullptr, TRUE);
    g_source_remove(Ticks);
    return Done();
  }

  const std::array<std::string, 2> Services{"shop", "vault"};
  MachineLock Lock;
  Violations Found;
  testing::PlatformStoreStandIn Store;
  testing::LinkStandIn Link{StoreAddress, LinkBytesPerSecond};
  std::vector<std::unique_ptr<SoakTarget>> Targets;
  std::unique_ptr<SoakClients> Clients;

private:
  static std::string quoted(base::SocketAddress Address) {
    return "\"" + base::toString(Address) + "\"";
  }

  static std::string common(const std::string &Role, uint8_t Group, size_t I,
                            base::SocketAddress StoreAt) {
    return R"({"role":")" + Role + R"(","name":")" + Role + std::to_string(I) +
           R"(","failure_domain":"z","data_address":)" +
           quoted(place(Group, I, DataPort)) + R"(,"control_address":)" +
           quoted(place(Group, I, ControlPort)) + R"(,"store_address":)" +
           quoted(StoreAt) + R"(,"grace_period_s":6,)";
  }

  void start(const std::string &Text) {
    const auto Settings = flowd::parseFlowSettings(Text, "test");
    ASSERT_TRUE(Settings.has_value()) << Settings.error().Message;
    Daemons.push_back(flowd::FlowDaemon::make(
        Settings.value(), platform::environment(), Log, [] {}));
    ASSERT_TRUE(Daemons.back()->start().has_value());
  }

  flowd::EventLog Log{::open("/dev/null", O_WRONLY | O_CLOEXEC), "test",
                      flowd::LogLimits()};
  std::vector<std::unique_ptr<flowd::FlowDaemon>> Daemons;
  std::vector<guint> Sources;
};

// Guards against balancers that never serve again after all processes have
// ended, since the answer with the configuration takes longer than the time-out
// of a call (review/6): no request was answered.
TEST_F(LargeConfigurationTest, CallersAreServedAfterAllProcessesStart) {
  Store.put("op/config", configuration(7, "shop"));
  startDaemons();
  startClients();
  EXPECT_TRUE(runUntil(RecoveryTime, [&] { return Clients->answers() > 0; }));
}

// Guards against balancers that keep an earlier configuration for good once the
// store has dropped its history (review/7): all requests to a moved route were
// run by its former service.
TEST_F(LargeConfigurationTest, CallersReachTheNewServiceAfterCompaction) {
  Store.put("op/config", configuration(7, "shop", 10));
  startDaemons();
  startClients();
  ASSERT_TRUE(runUntil(RecoveryTime, [&] { return Clients->answers() > 0; }));
  Store.put("op/config", configuration(8, "shop"));
  Store.put("op/other", "");
  Store.compact();
  runUntil(std::chrono::seconds(2), [] { return false; });
  Store.put("op/config", configuration(9, "vault"));
  runUntil(PropagationTime, [] { return false; });
  const uint64_t Former = Targets[0]->openings();
  Clients->openShort(20);
  EXPECT_TRUE(
      runUntil(PropagationTime, [&] { return Targets[1]->openings() >= 20; }));
  EXPECT_EQ(Targets[0]->openings(), Former);
}

// Guards against a balancer that can reach no store and never gets the
// configuration from its peer, whose answer takes longer than the time-out of a
// query.
TEST_F(LargeConfigurationTest, CallersAreServedByAPeersConfiguration) {
  testing::LinkStandIn ToPeer(place(1, 0, ControlPort), LinkBytesPerSecond);
  ASSERT_TRUE(ToPeer.listen(PeerLinkAddress));
  Store.put("op/config", configuration(7, "shop"));
  startAgents();
  startBalancer(0, StoreAddress, place(1, 0, ControlPort));
  runUntil(std::chrono::seconds(1), [] { return false; });
  startBalancer(1, NoStoreAddress, PeerLinkAddress);
  startClients(1);
  EXPECT_TRUE(runUntil(RecoveryTime, [&] { return Clients->answers() > 0; }));
}

} // namespace
} // namespace burdockstream::flowsoak
