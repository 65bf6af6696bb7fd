#include "burdockstream/standins/FabricStandin.h"

#include "burdockstream/network/ProxyHeader.h"
#include "burdockstream/standins/ControlPort.h"

#include <glog/logging.h>

namespace burdockstream::standins {

namespace {

using Bytes = std::vector<uint8_t>;

base::Duration milliseconds(double Count) {
  return base::Duration(static_cast<int64_t>(Count * 1000));
}

// Applies the members that are present in Command to Link.
void applyLink(const Json::Value &Command, LinkState &Link) {
  const auto Probability = [&Command](const char *Name, double &Value) {
    if (Command.isMember(Name))
      Value = Command[Name].asDouble() / 100;
  };
  const auto Time = [&Command](const char *Name, base::Duration &Value) {
    if (Command.isMember(Name))
      Value = milliseconds(Command[Name].asDouble());
  };
  const auto Cut = [&Command](const char *Name, bool &Value) {
    if (Command.isMember(Name))
      Value = Command[Name].asBool();
  };
  Cut("cut", Link.CutToBalancer);
  Cut("cut", Link.CutFromBalancer);
  Cut("cut_to", Link.CutToBalancer);
  Cut("cut_from", Link.CutFromBalancer);
  Probability("drop_percent", Link.DropProbability);
  Probability("duplicate_percent", Link.DuplicateProbability);
  Probability("reorder_percent", Link.ReorderProbability);
  Time("delay_ms", Link.Delay);
  Time("jitter_ms", Link.Jitter);
}

Json::Value countersJson(const FabricCounters &Counters) {
  Json::Value Answer(Json::objectValue);
  const auto Add = [&Answer](const char *Name, uint64_t Value) {
    Answer[Name] = Json::UInt64{Value};
  };
  Add("from_callers", Counters.FromCallers);
  Add("to_balancers", Counters.ToBalancers);
  Add("from_balancers", Counters.FromBalancers);
  Add("to_callers", Counters.ToCallers);
  Add("cut_drops", Counters.CutDrops);
  Add("random_drops", Counters.RandomDrops);
  Add("duplicated", Counters.Duplicated);
  Add("reordered", Counters.Reordered);
  Add("no_balancer", Counters.NoBalancer);
  Add("bad_response", Counters.BadResponse);
  return Answer;
}

} // namespace

base::Result<std::unique_ptr<FabricStandin>>
FabricStandin::open(GMainContext *Context, const FabricOptions &Options) {
  std::unique_ptr<FabricStandin> Fabric(new FabricStandin(Context, Options));
  FabricStandin *Raw = Fabric.get();
  auto Uplink = network::UdpSocket::open(Options.Uplink);
  if (!Uplink)
    return Uplink.error();
  Fabric->Uplink = std::move(Uplink.value());
  Fabric->Uplink->attach(
      Context, [Raw](std::span<uint8_t> Datagram, base::SocketAddress From) {
        Raw->receiveFromBalancer(Datagram, From);
      });
  for (const base::SocketAddress Address : Options.Services) {
    auto Opened = network::UdpSocket::open(Address);
    if (!Opened)
      return Opened.error();
    network::UdpSocket *Service = Opened.value().get();
    Service->attach(Context, [Raw, Service](std::span<uint8_t> Datagram,
                                            base::SocketAddress From) {
      Raw->receiveFromCaller(*Service, Datagram, From);
    });
    Fabric->Services.emplace(Service->localAddress(),
                             std::move(Opened.value()));
  }
  return Fabric;
}

FabricStandin::FabricStandin(GMainContext *InitContext,
                             const FabricOptions &Options)
    : Context(InitContext), Timers(Context), Random(Options.Seed),
      Balancers(Options.Balancers) {}

std::vector<base::SocketAddress> FabricStandin::serviceAddresses() const {
  std::vector<base::SocketAddress> Addresses;
  for (const auto &[Address, Socket] : Services)
    Addresses.push_back(Address);
  return Addresses;
}

// Returns true with the given probability.
bool FabricStandin::sampleEvent(double Probability) {
  constexpr double Range = 1'000'000;
  return Probability > 0 &&
         static_cast<double>(base::randomBelow(Random, 1'000'000)) <
             Probability * Range;
}

// Passes Datagram to Send under the impairments of Link: once or twice,
// immediately or delayed, or not at all.
void FabricStandin::forward(const LinkState &Link, const Bytes &Datagram,
                            const std::function<void(const Bytes &)> &Send) {
  if (sampleEvent(Link.DropProbability)) {
    ++Counters.RandomDrops;
    return;
  }
  int Copies = 1;
  if (sampleEvent(Link.DuplicateProbability)) {
    ++Counters.Duplicated;
    Copies = 2;
  }
  for (; Copies > 0; --Copies) {
    base::Duration Wait = Link.Delay;
    if (Link.Jitter.count() > 0)
      Wait += base::Duration(base::randomBelow(
          Random, static_cast<uint64_t>(Link.Jitter.count())));
    if (sampleEvent(Link.ReorderProbability)) {
      ++Counters.Reordered;
      Wait += ReorderDelay;
    }
    if (Wait.count() == 0)
      Send(Datagram);
    else
      Timers.after(Wait, [Datagram, Send] { Send(Datagram); });
  }
}

void FabricStandin::receiveFromCaller(network::UdpSocket &Service,
                                      std::span<const uint8_t> Payload,
                                      base::SocketAddress Caller) {
  ++Counters.FromCallers;
  Bytes Datagram(network::ProxyHeaderBytes + Payload.size());
  network::writeProxyHeader(Datagram, {Caller, Service.localAddress()});
  std::copy(Payload.begin(), Payload.end(),
            Datagram.begin() + network::ProxyHeaderBytes);
  forward(CallerLink, Datagram,
          [this](const Bytes &Arrived) { forwardToBalancer(Arrived); });
}

void FabricStandin::forwardToBalancer(const Bytes &Datagram) {
  if (Balancers.empty()) {
    ++Counters.NoBalancer;
    return;
  }
  const base::SocketAddress Balancer =
      Balancers[base::randomBelow(Random, Balancers.size())];
  const LinkState &Link = Links[Balancer];
  if (Link.CutToBalancer) {
    ++Counters.CutDrops;
    return;
  }
  forward(Link, Datagram, [this, Balancer](const Bytes &Arrived) {
    ++Counters.ToBalancers;
    Uplink->send(Arrived, Balancer);
  });
}

void FabricStandin::receiveFromBalancer(std::span<const uint8_t> Datagram,
                                        base::SocketAddress From) {
  ++Counters.FromBalancers;
  const LinkState &Link = Links[From];
  if (Link.CutFromBalancer) {
    ++Counters.CutDrops;
    return;
  }
  const auto Parsed = network::parseProxyHeader(Datagram);
  if (!Parsed) {
    ++Counters.BadResponse;
    return;
  }
  // The source of a response is the service address.
  const auto Service = Services.find(Parsed->Header.Source);
  if (Service == Services.end()) {
    ++Counters.BadResponse;
    return;
  }
  network::UdpSocket *Socket = Service->second.get();
  const base::SocketAddress Caller = Parsed->Header.Destination;
  forward(Link, Bytes(Parsed->Payload.begin(), Parsed->Payload.end()),
          [this, Socket, Caller](const Bytes &Arrived) {
            forwardToCaller(*Socket, Arrived, Caller);
          });
}

void FabricStandin::forwardToCaller(network::UdpSocket &Service,
                                    const Bytes &Payload,
                                    base::SocketAddress Caller) {
  forward(CallerLink, Payload, [this, &Service, Caller](const Bytes &Arrived) {
    ++Counters.ToCallers;
    Service.send(Arrived, Caller);
  });
}

Json::Value FabricStandin::setLink(const Json::Value &Command) {
  const std::string Name = Command["balancer"].asString();
  if (Name == "callers") {
    applyLink(Command, CallerLink);
    return Json::objectValue;
  }
  if (Name == "*") {
    for (const base::SocketAddress Balancer : Balancers)
      applyLink(Command, Links[Balancer]);
    return Json::objectValue;
  }
  const auto Balancer = base::parseSocketAddress(Name);
  if (!Balancer)
    return commandError(Balancer.error().Message);
  applyLink(Command, Links[Balancer.value()]);
  return Json::objectValue;
}

Json::Value FabricStandin::setBalancers(const Json::Value &Command) {
  std::vector<base::SocketAddress> Parsed;
  for (const Json::Value &Text : Command["balancers"]) {
    const auto Balancer = base::parseSocketAddress(Text.asString());
    if (!Balancer)
      return commandError(Balancer.error().Message);
    Parsed.push_back(Balancer.value());
  }
  Balancers = std::move(Parsed);
  return Json::objectValue;
}

Json::Value FabricStandin::execute(const Json::Value &Command) {
  const std::string Name = Command["command"].asString();
  if (Name == "set_link")
    return setLink(Command);
  if (Name == "set_balancers")
    return setBalancers(Command);
  if (Name == "counters")
    return countersJson(Counters);
  return commandError(
      "unknown command; valid commands are set_link, set_balancers and "
      "counters");
}

} // namespace burdockstream::standins
