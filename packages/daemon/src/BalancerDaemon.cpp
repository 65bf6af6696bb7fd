#include "BalancerDaemon.h"

#include "BalancerApi.h"
#include "Clock.h"
#include "CounterExport.h"
#include "RecordApi.h"
#include "burdockstream/membership/HomeSelection.h"

#include <utility>

namespace burdockstream::daemon {

namespace {

nodes::BalancerNodeSettings
nodeSettings(const settings::DaemonSettings &Settings, base::DaemonId Self) {
  nodes::BalancerNodeSettings Node;
  Node.Self.Id = Self;
  Node.Self.Data = Settings.Data;
  Node.Self.Control = Settings.Control;
  Node.Self.FailureDomain = Settings.FailureDomain;
  Node.HashSeed = Settings.HashSeed;
  for (const settings::BalancerEntry &Balancer : Settings.Entries)
    Node.ConfiguredBalancers.push_back({Balancer.Data, Balancer.FailureDomain});
  return Node;
}

} // namespace

BalancerDaemon::BalancerDaemon(const settings::DaemonSettings &InitSettings,
                               std::function<void()> InitOnShutdownComplete)
    : Settings(InitSettings),
      OnShutdownComplete(std::move(InitOnShutdownComplete)),
      Random(base::newRandomSource()), Self(newDaemonId(Random)),
      Store(Settings.StoreEndpoints, StoreTimeout),
      Node(nodeSettings(Settings, Self), Random, Registry, readClocks()),
      Timer([this] {
        dispatch([this](base::Now Now, nodes::ActionSink &Out) {
          Node.tick(Now, Out);
        });
      }),
      Watcher(Store, Random, Settings.FailureDomain,
              [this](const messages::RecordEntry &Record) {
                applyStoreRecord(Record);
              }),
      Writer(Store, Random, [this](const messages::RecordEntry &Record) {
        applyStoreRecord(Record);
      }) {}

void BalancerDaemon::dispatch(
    const std::function<void(base::Now, nodes::ActionSink &)> &Event) {
  nodes::ActionSink Actions;
  const base::Now Now = readClocks();
  Event(Now, Actions);
  for (const nodes::Action &Action : Actions) {
    if (const auto *Send = std::get_if<nodes::SendDatagram>(&Action))
      Data->send(Send->To, Send->Body);
    else if (std::get_if<nodes::ShutdownComplete>(&Action))
      OnShutdownComplete();
  }
  Timer.set(Node.nextDeadline());
  updateWatcherRank();
  refreshMetrics(Now.Monotonic);
}

void BalancerDaemon::refreshMetrics(base::TimePoint Now) {
  if (Now < NextExport)
    return;
  NextExport = Now + ExportInterval;
  exportCounters(Registry, *Data);
  store::exportCounters(Registry, Store.counters());
  exportCounters(Registry, Node.router().counters());
  exportCounters(Registry, Node.membership().counters());
}

void BalancerDaemon::updateWatcherRank() {
  const membership::BalancerMembership &Members = Node.membership();
  const uint64_t Generation = Members.members().balancerGeneration();
  if (!Members.joined() || Generation == RankedGeneration)
    return;
  RankedGeneration = Generation;
  Watcher.setRank(membership::watcherRank(
      {Settings.Data, Settings.FailureDomain}, Members.liveBalancers()));
}

void BalancerDaemon::applyStoreRecord(const messages::RecordEntry &Record) {
  dispatch([&](base::Now Now, nodes::ActionSink &Out) {
    Node.onStoreRecord(Record, Now, Out);
  });
}

std::vector<admin::RpcMethod> BalancerDaemon::methods() {
  std::vector<admin::RpcMethod> Methods = balancerMethods(Node);
  for (admin::RpcMethod &Method : recordMethods(Writer, Node.records()))
    Methods.push_back(std::move(Method));
  Methods.push_back(metricsMethod(Registry));
  return Methods;
}

base::Result<void> BalancerDaemon::start() {
  DataSocketHooks Hooks;
  Hooks.OnMessage = [this](const messages::Decoded &Message,
                           base::SocketAddress From) {
    dispatch([&](base::Now Now, nodes::ActionSink &Out) {
      Node.onMessage(Message.Body, From, Now, Out);
    });
  };
  Hooks.FastPath = [this](std::span<uint8_t> Datagram,
                          base::SocketAddress From) {
    return Callers->handle(Datagram, From);
  };
  auto OpenedData = DataSocket::open(Settings, Self, std::move(Hooks));
  if (OpenedData.has_error())
    return OpenedData.error();
  Data = std::move(OpenedData).value();
  Callers = std::make_unique<CallerPath>(
      Settings.Data, Data->socket(), Data->codec(), Node.router(), Registry);
  Server = std::make_unique<admin::RpcServer>(
      methods(), adminHooks(Settings, Registry,
                            [this] { return Node.isReady(readClocks()); }));
  auto Listening = Server->listen(Settings.Control);
  if (Listening.has_error())
    return Listening.error();
  dispatch(
      [this](base::Now Now, nodes::ActionSink &Out) { Node.start(Now, Out); });
  return boost::outcome_v2::success();
}

void BalancerDaemon::beginShutdown() {
  Watcher.stop();
  dispatch([this](base::Now Now, nodes::ActionSink &Out) {
    Node.beginShutdown(Now, Out);
  });
}

} // namespace burdockstream::daemon
