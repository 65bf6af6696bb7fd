#include "FlowSoak.h"

#include "CountsCheck.h"
#include "MachineLock.h"
#include "Process.h"
#include "RoutesCheck.h"
#include "burdockstream/base/Random.h"
#include "burdockstream/flowd/AgentEntries.h"
#include "burdockstream/network/LoopTimer.h"
#include "burdockstream/testing/PlatformStoreStandIn.h"

#include <csignal>
#include <fstream>
#include <glib.h>
#include <glog/logging.h>

namespace burdockstream::flowsoak {

namespace {

using std::chrono::milliseconds;
using testing::StoreFault;

constexpr size_t FlowCount = 40;
constexpr base::SocketAddress ShopAddress{0xC6120001, 443};
constexpr base::SocketAddress VaultAddress{0xC6120002, 443};
constexpr base::SocketAddress StoreAddress{0x7F140001, 18169};

// The configuration with so many more routes that see no traffic.
std::string routes(uint64_t Version) {
  std::string Text = "{\"version\":" + std::to_string(Version) +
                     R"(,"limits":{"idle_timeout_ms":15000},"routes":[)";
  for (uint64_t I = 0; I < Version; ++I)
    Text +=
        R"({"name":"idle","host":"198.18.1.)" + std::to_string(I % 250) +
        R"(","prefix":"/443/","route_type":"idempotent","service":"shop"},)";
  return Text +
         R"({"name":"a","host":"198.18.0.1","prefix":"/443/","route_type":"idempotent","service":"shop","timeout_ms":4000,"target_latency_ms":300},)"
         R"({"name":"b","host":"198.18.0.2","prefix":"/443/","route_type":"download","service":"vault"}]})";
}

// Time that a request takes at a target. In each service one is slow.
constexpr milliseconds WorkTime{10};
constexpr milliseconds SlowWorkTime{40};

// The step of overload opens 400 flows a second of each service. With the
// requests of the flows that are kept open, about 150 a second, they exceed the
// rates of both services' slots, 450 and 250 a second.
constexpr milliseconds OverloadTime{1'500};
constexpr milliseconds OverloadInterval{50};
constexpr size_t OverloadFlows = 40;

// A service keeps a target that runs and does not leave.
constexpr milliseconds TargetDrainTime{1'500};
constexpr milliseconds TargetAwayTime{500};
constexpr int ConfigSeries = 4;
constexpr milliseconds ConfigGap{150};

// An agent that is away for longer may count as lost, and its flows may be
// reset; pauses stay below, so that no reset of an open flow is allowed.
constexpr uint64_t LongestPauseMs = 900;
constexpr milliseconds RestartDelay{300};

// The store returns from a copy that is at most this old.
constexpr milliseconds CopyInterval{2'500};
constexpr milliseconds ReportInterval{250};
constexpr milliseconds CalmTime{6'000};
constexpr int64_t ServedWithinMs = 2'500;

// Until all flows have ended and agents count no packet without an answer.
constexpr milliseconds FinishTime{4'000};
constexpr milliseconds MetricsTime{1'000};

class Soak {
public:
  explicit Soak(const SoakOptions &InitOptions)
      : Options(InitOptions), Random(InitOptions.Seed),
        Routes(InitOptions.Balancers, Report.Found), Clients(nullptr) {
    CHECK(Store.listen(StoreAddress).has_value());
    Store.put("op/config", routes(Version));
    Store.copy();
    for (size_t I = 0; I < Options.Agents; ++I) {
      const bool Shop = isOfShop(I);
      Targets.push_back(std::make_unique<SoakTarget>(
          I, Shop ? "shop" : "vault", Shop ? ShopAddress : VaultAddress,
          isSlow(I) ? SlowWorkTime : WorkTime, Report.Found));
    }
    for (size_t I = 0; I < Options.Balancers + Options.Agents; ++I)
      Processes.push_back(start(I));
  }

  SoakReport run() {
    const guint Beats = network::callEvery(milliseconds(400), [this] {
      for (const auto &Target : Targets)
        Target->beat();
    });
    e2e::runLoopFor(milliseconds(1500));
    Clients = std::make_unique<SoakClients>(
        FlowCount, std::vector{ShopAddress, VaultAddress},
        [this](const flows::FlowKey &Flow) { return route(Flow); },
        [this](const flows::FlowKey &Flow) { return isHeld(Flow); },
        Report.Found);
    const guint Ticks =
        network::callEvery(milliseconds(20), [this] { Clients->tick(); });
    const guint Copies = network::callEvery(CopyInterval, [this] {
      if (PendingRewrites == 0) // the copy would lack these changes
        Store.copy();
    });
    const guint Polls =
        network::callEvery(ReportInterval, [this] { Routes.poll(); });
    e2e::runLoopFor(milliseconds(1000));
    const gint64 End = g_get_monotonic_time() +
                       Options.FaultTime / std::chrono::microseconds(1);
    while (g_get_monotonic_time() < End) {
      inject();
      e2e::runLoopFor(milliseconds(200 + below(600)));
    }
    Store.setFault(StoreFault::None);
    e2e::runLoopFor(CalmTime);
    Report.Unserved = Clients->unserved(ServedWithinMs);
    Report.Answers = Clients->answers();
    Routes.expectVersion(Version);
    checkEntries();
    finish();
    for (const guint Source : {Ticks, Beats, Copies, Polls})
      g_source_remove(Source);
    return Report;
  }

private:
  uint64_t below(uint64_t Bound) { return base::randomBelow(Random, Bound); }

  // Runs Action after Delay, unless the soak has ended by then.
  void later(milliseconds Delay, std::function<void()> Action) {
    network::callLater(
        Delay, [Alive = std::weak_ptr(LifetimeToken), Run = std::move(Action)] {
          if (!Alive.expired())
            Run();
        });
  }

  // The fabric: a hash over all balancers; a running one is not preferred, so
  // that packets also reach those that are away.
  base::SocketAddress route(const flows::FlowKey &Flow) const {
    return place(1, (flows::hashOf(Flow) + Rotation) % Options.Balancers,
                 DataPort);
  }

  bool isHeld(const flows::FlowKey &Flow) const {
    for (const auto &Target : Targets)
      if (Target->holds(Flow))
        return true;
    return false;
  }

  static bool isOfShop(size_t Agent) { return Agent % 5 < 3; }

  static bool isSlow(size_t Agent) { return Agent % 5 == 2 || Agent % 5 == 4; }

  // Ends all flows. Former builds lack some of the gauges that are checked.
  void finish() {
    Clients->finish();
    e2e::runLoopFor(FinishTime);
    if (const size_t Remaining = Clients->remaining())
      Report.Found.push_back(
          std::to_string(Remaining) +
          " flows had not ended after the clients closed them");
    if (!Options.OtherProgram.empty())
      return;
    CountsCheck Counts(Options.Agents, Report.Found);
    Counts.poll();
    e2e::runLoopFor(MetricsTime);
    Counts.expectNone();
  }

  void checkEntries() {
    for (size_t I = 0; I < Options.Agents; ++I)
      if (!Store.has(flowd::formatEntryKey(place(2, I, DataPort))))
        Report.Found.push_back("the store has no entry of agent " +
                               std::to_string(I));
  }

  std::string program(size_t Index) {
    const bool Own = Options.OtherProgram.empty() || Index == 0;
    return Own || below(2) == 0 ? "burdockstream-flowd" : Options.OtherProgram;
  }

  std::unique_ptr<e2e::Process> start(size_t Index) {
    const bool IsBalancer = Index < Options.Balancers;
    const size_t Member = IsBalancer ? Index : Index - Options.Balancers;
    if (IsBalancer)
      Routes.onStart(Member);
    const std::string Name =
        (IsBalancer ? "balancer-" : "agent-") + std::to_string(Member);
    const std::string Path = Options.LogFolder + "/" + Name;
    std::ofstream(Path + ".json")
        << (IsBalancer ? balancerSettings(Member) : agentSettings(Member));
    return std::make_unique<e2e::Process>(
        e2e::ProcessOptions{program(Index),
                            {"--settings=" + Path + ".json"},
                            Path + ".err",
                            Path + "-" + std::to_string(++Starts) + ".log"});
  }

  static std::string quoted(base::SocketAddress Address) {
    return "\"" + base::toString(Address) + "\"";
  }

  static std::string common(const std::string &Role, uint8_t Group, size_t I) {
    return "{\"role\":\"" + Role + "\",\"name\":\"" + Role + "-" +
           std::to_string(I) + "\",\"failure_domain\":\"z\",\"data_address\":" +
           quoted(place(Group, I, DataPort)) +
           ",\"control_address\":" + quoted(place(Group, I, ControlPort)) +
           ",\"store_address\":" + quoted(StoreAddress) +
           ",\"grace_period_s\":6,";
  }

  std::string balancerSettings(size_t I) const {
    return common("balancer", 1, I) +
           "\"ready_address\":" + quoted(place(1, I, ReadyPort)) +
           ",\"seed_address\":" + quoted(place(1, I, HeartbeatPort)) +
           ",\"peers\":[" +
           quoted(place(1, (I + 1) % Options.Balancers, HeartbeatPort)) +
           "],\"opening_attempt_ms\":1400}";
  }

  static std::string agentSettings(size_t I) {
    return common("agent", 2, I) + "\"agent\":{\"service\":\"" +
           (isOfShop(I) ? "shop" : "vault") +
           "\",\"target_address\":" + quoted(place(2, I, TargetPort)) +
           ",\"outbound_address\":" + quoted(place(2, I, OutboundPort)) +
           ",\"heartbeat_address\":" + quoted(place(2, I, HeartbeatPort)) +
           ",\"heartbeat_interval_ms\":400,\"address_reuse_delay_s\":2}}";
  }

  void restart(size_t Index) {
    later(RestartDelay, [this, Index] {
      if (Processes[Index]->hasExited())
        Processes[Index] = start(Index);
      else
        restart(Index); // its graceful end takes longer
    });
  }

  // Replaces one target by a new run, one at a time.
  void replaceTarget(milliseconds DrainTime) {
    if (TargetLeaves)
      return;
    TargetLeaves = true;
    SoakTarget &Leaving = *Targets[below(Targets.size())];
    if (DrainTime.count() > 0)
      Leaving.drain();
    later(DrainTime, [&Leaving] { Leaving.end(); });
    later(DrainTime + TargetAwayTime, [this, &Leaving] {
      Leaving.startAnew();
      TargetLeaves = false;
    });
  }

  // The operators write again what the copy lacks after RewriteDelay.
  void returnFromCopy(milliseconds Away, milliseconds RewriteDelay) {
    Store.setFault(StoreFault::Reset);
    ++PendingRewrites;
    later(Away, [this] {
      Store.restore();
      Store.setFault(StoreFault::None);
    });
    later(Away + RewriteDelay, [this] {
      Store.rewriteOperatorChanges();
      --PendingRewrites;
    });
  }

  void overload() {
    for (milliseconds Delay{0}; Delay < OverloadTime; Delay += OverloadInterval)
      later(Delay, [this] { Clients->openShort(OverloadFlows); });
  }

  void inject() {
    const size_t Index = below(Processes.size());
    const uint64_t Pause = 100 + below(LongestPauseMs - 100);
    const uint64_t Kind = below(14);
    Report.Faults.push_back(std::to_string(g_get_real_time() / 1000) +
                            " kind " + std::to_string(Kind) + ", process " +
                            std::to_string(Index) + ", " +
                            std::to_string(Pause) + " ms");
    switch (Kind) {
    case 0:
      Processes[Index]->signal(SIGKILL);
      return restart(Index);
    case 1:
    case 2:
      Processes[Index]->signal(SIGTERM);
      return restart(Index);
    case 3:
      Processes[Index]->signal(SIGSTOP);
      later(milliseconds(Pause),
            [this, Index] { Processes[Index]->signal(SIGCONT); });
      return;
    case 4: {
      constexpr StoreFault Kinds[] = {StoreFault::Busy, StoreFault::Reset,
                                      StoreFault::Silent,
                                      StoreFault::LostAnswer};
      Store.setFault(Kinds[below(4)]);
      later(milliseconds(2 * Pause),
            [this] { Store.setFault(StoreFault::None); });
      return;
    }
    case 5:
      return Store.lapse();
    case 6:
      return Store.compact();
    case 7:
      return replaceTarget(milliseconds(0));
    case 8:
      return replaceTarget(TargetDrainTime);
    case 9:
      return returnFromCopy(milliseconds(Pause), milliseconds(0));
    case 10:
      return returnFromCopy(milliseconds(Pause), milliseconds(Pause));
    case 11:
      for (int I = 0; I < ConfigSeries; ++I)
        later(I * ConfigGap,
              [this] { Store.put("op/config", routes(++Version)); });
      return;
    case 12:
      return overload();
    default:
      ++Rotation; // the fabric moves all flows to other balancers
    }
  }

  MachineLock Lock;
  SoakOptions Options;
  base::RandomSource Random;
  SoakReport Report;
  testing::PlatformStoreStandIn Store;
  std::vector<std::unique_ptr<SoakTarget>> Targets;
  RoutesCheck Routes;
  std::vector<std::unique_ptr<e2e::Process>> Processes;
  std::unique_ptr<SoakClients> Clients;
  uint64_t Rotation = 0;
  uint64_t Starts = 0; // of processes
  uint64_t Version = 3;
  uint64_t PendingRewrites = 0;
  bool TargetLeaves = false;
  std::shared_ptr<int> LifetimeToken = std::make_shared<int>(0);
};

} // namespace

SoakReport runSoak(const SoakOptions &Options) { return Soak(Options).run(); }

} // namespace burdockstream::flowsoak
