// Compares the data paths of a balancer and of an agent with the bare relay
// over loopback. The paths take turns on one thread, and only the thread CPU
// time of the path itself counts. Prints one JSON line per path and round, then
// one line per path with the median of its rounds.
#include "CallerPath.h"
#include "DataSocket.h"
#include "FlowPath.h"
#include "MeasuredPath.h"

#include "burdockstream/bench/LoopbackSocket.h"
#include "burdockstream/bench/RelayBench.h"
#include "burdockstream/network/ProxyHeader.h"

#include <algorithm>
#include <cstdio>
#include <gflags/gflags.h>
#include <glog/logging.h>
#include <vector>

DEFINE_uint64(datagrams, 500000, "Datagrams per path and round");
DEFINE_uint32(rounds, 3, "Rounds; the paths take turns");
DEFINE_uint32(payload_bytes, 100, "Payload of each datagram; at most 1900");
DEFINE_uint32(flows, 300000, "Open flows; the datagrams use them in turn");
DEFINE_uint32(new_flows_per_second, 5000, "Flows replaced by new ones");
DEFINE_uint32(offered_per_second, 100000,
              "Offered datagrams per second of traffic time; with "
              "--new_flows_per_second it sets how many of them open a flow");

namespace {

using namespace burdockstream;
using namespace datapath;

constexpr uint32_t FirstServiceIp = 0x0a640001;
constexpr uint32_t FirstCallerIp = 0x0b000001;
constexpr uint16_t ServicePort = 5683;
constexpr size_t EndpointsPerService = 5;
constexpr size_t ManyServices = 3300;
constexpr uint32_t CallersPerIp = 1000;

base::SocketAddress callerOf(uint64_t Flow) {
  return {FirstCallerIp + static_cast<uint32_t>(Flow / CallersPerIp),
          static_cast<uint16_t>(10000 + Flow % CallersPerIp)};
}

void addServices(routing::Router &Router, size_t Count,
                 base::SocketAddress Sink) {
  for (size_t I = 0; I < Count; ++I) {
    records::ServiceConfig Config;
    Config.Id = {I + 1};
    Config.Service = "service" + std::to_string(I);
    Config.Address = {FirstServiceIp + static_cast<uint32_t>(I), ServicePort};
    Config.StoreRevision = 1;
    Router.setConfig(Config);
    std::vector<messages::MemberInfo> Members(EndpointsPerService);
    for (size_t J = 0; J < EndpointsPerService; ++J) {
      Members[J].Id = {I * EndpointsPerService + J + 1};
      Members[J].State = messages::MemberState::Ready;
      Members[J].Service = Config.Id;
      Members[J].Data = Sink;
    }
    Router.setMembers(Config.Id, Members);
  }
}

// Generates callers' datagrams with the PROXY header of the fabric. They use
// the open flows in turn, and a new flow replaces an old one every
// DatagramsPerNewFlow datagrams.
class CallerDatagramSource {
public:
  explicit CallerDatagramSource(size_t InitServices)
      : Services(InitServices),
        Datagram(network::ProxyHeaderBytes + FLAGS_payload_bytes, 0x55),
        FlowOfSlot(FLAGS_flows),
        DatagramsPerNewFlow(FLAGS_offered_per_second /
                            FLAGS_new_flows_per_second) {
    for (uint64_t I = 0; I < FlowOfSlot.size(); ++I)
      FlowOfSlot[I] = I;
    NextFlow = FlowOfSlot.size();
  }

  std::span<const uint8_t> next() {
    Slot = (Slot + 1) % FlowOfSlot.size();
    if (++Sent % DatagramsPerNewFlow == 0)
      FlowOfSlot[Slot] = NextFlow++;
    const uint64_t Flow = FlowOfSlot[Slot];
    network::writeProxyHeader(
        Datagram, {callerOf(Flow),
                   {FirstServiceIp + static_cast<uint32_t>(Flow % Services),
                    ServicePort}});
    return Datagram;
  }

private:
  size_t Services;
  std::vector<uint8_t> Datagram;
  std::vector<uint64_t> FlowOfSlot;
  uint64_t DatagramsPerNewFlow;
  uint64_t NextFlow = 0;
  uint64_t Sent = 0;
  size_t Slot = 0;
};

PathResult measureCallerPath(size_t Services) {
  const auto Sink = bench::openSocket();
  network::UdpOptions Options; // as in daemon::DataSocket
  Options.DatagramBytes = daemon::DataBufferBytes;
  const auto Socket = bench::openSocket(Options);
  const auto Source = bench::openSocket();
  messages::MessageCodec Codec(base::DaemonId{1}, {{1, {1, 2, 3}}, {}});
  routing::Router Router(7);
  addServices(Router, Services, Sink->localAddress());
  base::Metrics Registry;
  daemon::CallerPath Path(Socket->localAddress(), *Socket, Codec, Router,
                          Registry);
  const network::UdpSocket::Handler Handle = [&](std::span<uint8_t> Datagram,
                                                 base::SocketAddress From) {
    CHECK(Path.handle(Datagram, From));
  };
  CallerDatagramSource Datagrams(Services);
  PathResult Result;
  while (Result.Relay.Offered < FLAGS_datagrams) {
    for (size_t I = 0; I < network::MaxBatch; ++I)
      Source->send(Datagrams.next(), Socket->localAddress());
    Source->flush();
    Result.Relay.Offered += network::MaxBatch;
    measureStep(Result, [&] {
      Socket->receiveBatch(Handle);
      Socket->flush();
    });
    Result.Relay.Delivered += bench::discardReceived(*Sink);
  }
  return Result;
}

// Sends datagrams of the same size, header included, through the bare relay.
bench::RelayResult measureBare() {
  const std::vector<uint8_t> Datagram(
      network::ProxyHeaderBytes + FLAGS_payload_bytes, 0x55);
  return bench::measureBareRelay(Datagram, FLAGS_datagrams);
}

// The result of a path is a median, because other load on the machine disturbs
// single rounds.
double median(std::vector<double> Values) {
  const auto Middle =
      Values.begin() + static_cast<std::ptrdiff_t>(Values.size() / 2);
  std::nth_element(Values.begin(), Middle, Values.end());
  return *Middle;
}

void print(const char *Name, size_t Services, const PathResult &Result,
           double BarePerSecond) {
  const auto &Relay = Result.Relay;
  std::printf("{\"path\":\"%s\",\"services\":%zu,\"payload_bytes\":%u,"
              "\"flows\":%u,\"offered\":%llu,\"delivered\":%llu,"
              "\"per_second_per_core\":%.0f,\"nanoseconds\":%.0f,"
              "\"share_of_bare\":%.3f,\"allocations_per_datagram\":%.6f,"
              "\"bytes_per_flow\":%.0f}\n",
              Name, Services, FLAGS_payload_bytes, FLAGS_flows,
              static_cast<unsigned long long>(Relay.Offered),
              static_cast<unsigned long long>(Relay.Delivered),
              Relay.datagramsPerSecond(), 1e9 / Relay.datagramsPerSecond(),
              Relay.datagramsPerSecond() / BarePerSecond,
              static_cast<double>(Result.Allocations) /
                  static_cast<double>(Relay.Offered),
              Result.BytesPerFlow);
  std::fflush(stdout);
}

} // namespace

int main(int Argc, char **Argv) {
  gflags::SetUsageMessage("Measures the data paths of a balancer and an agent "
                          "over loopback");
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  if (FLAGS_payload_bytes > 1900 || FLAGS_flows == 0 || FLAGS_rounds == 0 ||
      FLAGS_new_flows_per_second == 0 ||
      FLAGS_new_flows_per_second > FLAGS_offered_per_second) {
    std::fprintf(stderr,
                 "--payload_bytes must be at most 1900; --flows, --rounds and "
                 "--new_flows_per_second at least 1; "
                 "--new_flows_per_second at most --offered_per_second\n");
    return 2;
  }
  struct PathBenchmark {
    const char *Name;
    size_t Services;
    std::function<PathResult()> Measure;
    std::vector<double> Rates;
  };
  const FlowLoad Load{FLAGS_flows, FLAGS_datagrams, FLAGS_payload_bytes,
                      FLAGS_offered_per_second / FLAGS_new_flows_per_second};
  std::vector<PathBenchmark> Paths;
  const auto Add = [&](const char *Name, size_t Services,
                       std::function<PathResult()> Run) {
    Paths.push_back({Name, Services, std::move(Run), {}});
  };
  Add("bare", 0, [] { return PathResult{measureBare(), 0, 0}; });
  for (const size_t Services : {size_t{1}, ManyServices}) {
    Add("caller_path", Services,
        [Services] { return measureCallerPath(Services); });
    Add("flow_balancer", Services,
        [Services, Load] { return measureFlowBalancer(Load, Services); });
  }
  Add("flow_agent", 1, [Load] { return measureFlowAgent(Load); });
  for (uint32_t Round = 0; Round < FLAGS_rounds; ++Round)
    for (PathBenchmark &Path : Paths) {
      const PathResult Result = Path.Measure();
      Path.Rates.push_back(Result.Relay.datagramsPerSecond());
      print(Path.Name, Path.Services, Result, Paths.front().Rates.back());
    }
  const double Bare = median(Paths.front().Rates);
  for (const PathBenchmark &Path : Paths)
    std::printf("{\"medians_of\":%u,\"path\":\"%s\",\"services\":%zu,"
                "\"per_second_per_core\":%.0f,\"share_of_bare\":%.3f}\n",
                FLAGS_rounds, Path.Name, Path.Services, median(Path.Rates),
                median(Path.Rates) / Bare);
  return 0;
}
