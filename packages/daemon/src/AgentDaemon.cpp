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
  for (const settings::Entry &Balancer : Settings.Entries)
    Node.ConfiguredBalancers.push_back({Balancer.Data, Balancer.FailureDomain});
  return Node;
}

// A handover of 256 buckets with their records may take several packets' time
// on a poor link.
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
               feed([&](base::Now Now, nodes::ActionSink &Out) {
                 Node.onStoreResult(Result, Now, Out);
               });
             }),
      Timer([this] {
        feed([this](base::Now Now, nodes::ActionSink &Out) {
          Node.tick(Now, Out);
        });
      }),
      Peers({"", controlKeys(Settings).front()},
            [] { return readClocks().Wall; }) {}

void AgentDaemon::feed(
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
    feed([&](base::Now Now, nodes::ActionSink &Out) {
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
    feed([&](base::Now Now, nodes::ActionSink &Out) {
      Node.onEndpoint(Datagram, Now, Out);
    });
  });
  PingSocket->attach(
      nullptr, [this, Endpoint](std::span<uint8_t>, base::SocketAddress From) {
        if (From != Endpoint)
          return;
        feed([&](base::Now Now, nodes::ActionSink &Out) {
          Node.onEndpointPong(Now, Out);
        });
      });
  Server = std::make_unique<admin::RpcServer>(
      methods(),
      adminHooks(Settings, Registry, [this] { return Node.isReady(); }));
  auto Listening = Server->listen(Settings.Control);
  if (Listening.has_error())
    return Listening.error();
  feed([this](base::Now Now, nodes::ActionSink &Out) { Node.start(Now, Out); });
  return boost::outcome_v2::success();
}

void AgentDaemon::beginShutdown() {
  feed([this](base::Now Now, nodes::ActionSink &Out) {
    Node.beginShutdown(Now, Out);
  });
}

void AgentDaemon::perform(nodes::ActionSink &Actions) {
  for (nodes::Action &Wanted : Actions)
    perform(Wanted);
}

void AgentDaemon::perform(nodes::Action &Wanted) {
  if (const auto *Send = std::get_if<nodes::SendDatagram>(&Wanted))
    Data->send(Send->To, Send->Body);
  else if (const auto *Ask = std::get_if<nodes::SendToEndpoint>(&Wanted))
    EndpointSocket->send(Ask->Datagram, Settings.Agent->Endpoint);
  else if (std::get_if<nodes::PingEndpoint>(&Wanted))
    pingEndpoint();
  else if (const auto *Transfer = std::get_if<nodes::TransferBuckets>(&Wanted))
    transfer(*Transfer);
  else if (const auto *Ack = std::get_if<nodes::AcknowledgeTransfer>(&Wanted))
    acknowledge(*Ack);
  else if (const auto *Read = std::get_if<nodes::ReadOwners>(&Wanted))
    Owners.perform(*Read);
  else if (const auto *Swap = std::get_if<nodes::SwapOwners>(&Wanted))
    Owners.perform(*Swap);
  else if (std::get_if<nodes::ShutdownComplete>(&Wanted))
    OnShutdownComplete();
}

void AgentDaemon::pingEndpoint() {
  coap::CoapMessage
      Ping; // an empty confirmable message, which RFC 7252 answers with a Reset
  Ping.MessageId = NextPingId++;
  const auto Datagram = coap::serializeMessage(Ping);
  CHECK(Datagram.has_value());
  PingSocket->send(Datagram.value(), Settings.Agent->Endpoint);
}

void AgentDaemon::transfer(const nodes::TransferBuckets &Wanted) {
  Json::Value Parameters;
  Parameters["transfer"] = encodeForRpc(Wanted.Transfer);
  Peers.call({Wanted.Control, "bucket.transfer", Parameters, TransferTimeout},
             [this](const admin::RpcResult &Result) {
               if (Result.has_error()) // the ownership core repeats it
                 Registry.counter("transfer_failures").add();
             });
}

void AgentDaemon::acknowledge(const nodes::AcknowledgeTransfer &Wanted) {
  Json::Value Parameters;
  Parameters["ack"] = encodeForRpc(Wanted.Ack);
  Peers.call(
      {Wanted.Control, "bucket.transferred", Parameters, TransferTimeout},
      [this](const admin::RpcResult &Result) {
        if (Result.has_error())
          Registry.counter("transfer_ack_failures").add();
      });
}

std::vector<admin::RpcMethod> AgentDaemon::methods() {
  AgentApiHooks Hooks;
  Hooks.OnTransfer = [this](const messages::BucketTransfer &Transfer) {
    feed([&](base::Now Now, nodes::ActionSink &Out) {
      Node.onTransfer(Transfer, Now, Out);
    });
  };
  Hooks.OnTransferAck = [this](const messages::BucketTransferAck &Ack) {
    feed([&](base::Now Now, nodes::ActionSink &Out) {
      Node.onTransferAck(Ack, Now, Out);
    });
  };
  std::vector<admin::RpcMethod> Methods =
      agentMethods(Node, Settings, std::move(Hooks));
  Methods.push_back(metricsMethod(Registry));
  return Methods;
}

} // namespace burdockstream::daemon
