#include "AgentDaemon.h"

#include "AgentApi.h"
#include "Clock.h"
#include "CounterExport.h"
#include "burdockstream/coap/CoapMessage.h"
#include "burdockstream/messages/MessageBody.h"

#include <glog/logging.h>
#include <sodium.h>
#include <utility>

namespace burdockstream::daemon {

namespace {

nodes::AgentNodeSettings nodeSettings(const settings::DaemonSettings &Settings,
                                      base::DaemonId Self) {
  nodes::AgentNodeSettings Node;
  Node.Self.Id = Self;
  Node.Self.Data = Settings.Data;
  Node.Self.Control = Settings.Control;
  Node.Self.FailureDomain = Settings.FailureDomain;
  Node.Service = Settings.Agent->Service;
  Node.Slots = Settings.Agent->Slots;
  for (const settings::BalancerEntry &Balancer : Settings.Entries)
    Node.ConfiguredBalancers.push_back({Balancer.Data, Balancer.FailureDomain});
  return Node;
}

// A handover of 256 buckets with their records needs several packets, which may
// be slow on a poor link.
constexpr base::Duration TransferTimeout = std::chrono::seconds(5);

} // namespace

AgentDaemon::AgentDaemon(const settings::DaemonSettings &InitSettings,
                         std::function<void()> InitOnShutdownComplete)
    : Settings(InitSettings),
      OnShutdownComplete(std::move(InitOnShutdownComplete)),
      Random(base::newRandomSource()), Self(newDaemonId(Random)),
      Store(Settings.StoreEndpoints, StoreTimeout),
      Node(nodeSettings(Settings, Self), Random, Registry),
      Owners(Store, Settings.Agent->Service,
             [this](const ownership::StoreResult &Result) {
               dispatch([&](base::Now Now, nodes::ActionSink &Out) {
                 Node.onStoreResult(Result, Now, Out);
               });
             }),
      Timer([this] {
        dispatch([this](base::Now Now, nodes::ActionSink &Out) {
          Node.tick(Now, Out);
        });
      }),
      Peers({"", controlKeys(Settings).front()},
            [] { return readClocks().Wall; }) {}

void AgentDaemon::dispatch(
    const std::function<void(base::Now, nodes::ActionSink &)> &Event) {
  nodes::ActionSink Actions;
  const base::Now Now = readClocks();
  Event(Now, Actions);
  perform(Actions);
  Timer.set(Node.nextDeadline());
  refreshMetrics(Now.Monotonic);
}

void AgentDaemon::refreshMetrics(base::TimePoint Now) {
  if (Now < NextExport)
    return;
  NextExport = Now + ExportInterval;
  exportCounters(Registry, *Data);
  store::exportCounters(Registry, Store.counters());
  if (Node.ownership())
    exportCounters(Registry, Node.ownership()->counters());
}

base::Result<void> AgentDaemon::openSockets() {
  DataSocketHooks Hooks;
  Hooks.OnMessage = [this](const messages::Decoded &Message,
                           base::SocketAddress From) {
    dispatch([&](base::Now Now, nodes::ActionSink &Out) {
      Node.onMessage(Message.Body, Message.Sender, From, Now, Out);
    });
  };
  auto OpenedData = DataSocket::open(Settings, Self, std::move(Hooks));
  if (OpenedData.has_error())
    return OpenedData.error();
  Data = std::move(OpenedData).value();

  network::UdpOptions Options;
  Options.DatagramBytes = DataBufferBytes;
  Options.SendQueueLength = 256;
  auto OpenedEndpoint = network::UdpSocket::open({}, Options);
  if (OpenedEndpoint.has_error())
    return OpenedEndpoint.error();
  EndpointSocket = std::move(OpenedEndpoint).value();
  Options.DatagramBytes = network::CallerDatagramBytes;
  Options.SendQueueLength = 4;
  auto OpenedPing = network::UdpSocket::open({}, Options);
  if (OpenedPing.has_error())
    return OpenedPing.error();
  PingSocket = std::move(OpenedPing).value();
  return boost::outcome_v2::success();
}

base::Result<void> AgentDaemon::start() {
  auto Opened = openSockets();
  if (Opened.has_error())
    return Opened.error();
  const base::SocketAddress Endpoint = Settings.Agent->Endpoint;
  EndpointSocket->attach(nullptr, [this, Endpoint](std::span<uint8_t> Datagram,
                                                   base::SocketAddress From) {
    if (From != Endpoint)
      return;
    dispatch([&](base::Now Now, nodes::ActionSink &Out) {
      Node.onEndpoint(Datagram, Now, Out);
    });
  });
  PingSocket->attach(
      nullptr, [this, Endpoint](std::span<uint8_t>, base::SocketAddress From) {
        if (From != Endpoint)
          return;
        dispatch([&](base::Now Now, nodes::ActionSink &Out) {
          Node.onEndpointPong(Now, Out);
        });
      });
  Server = std::make_unique<admin::RpcServer>(
      methods(),
      adminHooks(Settings, Registry, [this] { return Node.isReady(); }));
  auto Listening = Server->listen(Settings.Control);
  if (Listening.has_error())
    return Listening.error();
  dispatch(
      [this](base::Now Now, nodes::ActionSink &Out) { Node.start(Now, Out); });
  return boost::outcome_v2::success();
}

void AgentDaemon::beginShutdown() {
  dispatch([this](base::Now Now, nodes::ActionSink &Out) {
    Node.beginShutdown(Now, Out);
  });
}

void AgentDaemon::perform(nodes::ActionSink &Actions) {
  for (nodes::Action &Action : Actions)
    perform(Action);
}

void AgentDaemon::perform(nodes::Action &Action) {
  if (const auto *Send = std::get_if<nodes::SendDatagram>(&Action))
    Data->send(Send->To, Send->Body);
  else if (const auto *ToEndpoint = std::get_if<nodes::SendToEndpoint>(&Action))
    EndpointSocket->send(ToEndpoint->Datagram, Settings.Agent->Endpoint);
  else if (std::get_if<nodes::PingEndpoint>(&Action))
    pingEndpoint();
  else if (const auto *Transfer = std::get_if<nodes::TransferBuckets>(&Action))
    transfer(*Transfer);
  else if (const auto *Ack = std::get_if<nodes::AcknowledgeTransfer>(&Action))
    acknowledge(*Ack);
  else if (const auto *Read = std::get_if<nodes::ReadOwners>(&Action))
    Owners.perform(*Read);
  else if (const auto *Swap = std::get_if<nodes::SwapOwners>(&Action))
    Owners.perform(*Swap);
  else if (std::get_if<nodes::ShutdownComplete>(&Action))
    OnShutdownComplete();
}

void AgentDaemon::pingEndpoint() {
  coap::CoapMessage
      Ping; // an empty confirmable message; RFC 7252 requires a Reset in answer
  Ping.MessageId = NextPingId++;
  const auto Datagram = coap::serializeMessage(Ping);
  CHECK(Datagram.has_value());
  PingSocket->send(Datagram.value(), Settings.Agent->Endpoint);
}

void AgentDaemon::transfer(const nodes::TransferBuckets &Action) {
  Json::Value Parameters;
  Parameters["transfer"] = encodeForRpc(Action.Transfer);
  Peers.call({Action.Control, "bucket.transfer", Parameters, TransferTimeout},
             [this](const admin::RpcResult &Result) {
               if (Result.has_error()) // the ownership core retries it
                 Registry.counter("transfer_failures").add();
             });
}

void AgentDaemon::acknowledge(const nodes::AcknowledgeTransfer &Action) {
  Json::Value Parameters;
  Parameters["ack"] = encodeForRpc(Action.Ack);
  Peers.call(
      {Action.Control, "bucket.transferred", Parameters, TransferTimeout},
      [this](const admin::RpcResult &Result) {
        if (Result.has_error())
          Registry.counter("transfer_ack_failures").add();
      });
}

std::vector<admin::RpcMethod> AgentDaemon::methods() {
  AgentApiHooks Hooks;
  Hooks.OnTransfer = [this](const messages::BucketTransfer &Transfer) {
    dispatch([&](base::Now Now, nodes::ActionSink &Out) {
      Node.onTransfer(Transfer, Now, Out);
    });
  };
  Hooks.OnTransferAck = [this](const messages::BucketTransferAck &Ack) {
    dispatch([&](base::Now Now, nodes::ActionSink &Out) {
      Node.onTransferAck(Ack, Now, Out);
    });
  };
  std::vector<admin::RpcMethod> Methods =
      agentMethods(Node, Settings, std::move(Hooks));
  Methods.push_back(metricsMethod(Registry));
  return Methods;
}

} // namespace burdockstream::daemon
