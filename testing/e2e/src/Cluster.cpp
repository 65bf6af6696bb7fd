#include "Cluster.h"

#include "JsonText.h"

#include <cstdlib>
#include <fstream>
#include <glog/logging.h>
#include <optional>
#include <utility>

namespace burdockstream::e2e {

namespace {

// Time limit of the stand-ins, so that they exit even if the test program is
// killed.
const char *const RunSeconds = "--run_seconds=600";

std::string flag(const std::string &Name, const std::string &Value) {
  return "--" + Name + "=" + Value;
}

std::string join(const std::vector<std::string> &Parts) {
  std::string Text;
  for (const std::string &Part : Parts)
    Text += (Text.empty() ? "" : ",") + Part;
  return Text;
}

std::string newFolder() {
  GError *Cause = nullptr;
  gchar *Path = g_dir_make_tmp("burdockstream-XXXXXX", &Cause);
  CHECK(Path) << "cannot create a temporary folder: "
              << (Cause ? Cause->message : "");
  std::string Folder(Path);
  g_free(Path);
  return Folder;
}

} // namespace

Cluster::Cluster(Deployment InitLayout, size_t InitBalancerCount)
    : Layout(std::move(InitLayout)), BalancerCount(InitBalancerCount),
      Placements(placeEndpoints(Layout)), Folder(newFolder()) {}

Cluster::~Cluster() {
  Processes.clear();
  if (!std::getenv("E2E_KEEP_LOGS")) {
    GDir *Listing = g_dir_open(Folder.c_str(), 0, nullptr);
    while (const gchar *Name = Listing ? g_dir_read_name(Listing) : nullptr)
      std::remove((Folder + "/" + Name).c_str());
    if (Listing)
      g_dir_close(Listing);
    std::remove(Folder.c_str());
  }
}

std::string Cluster::writeFile(const std::string &Name,
                               const std::string &Text) {
  std::string Path = Folder + "/" + Name + ".json";
  std::ofstream(Path) << Text;
  return Path;
}

void Cluster::launch(const std::string &Name, const std::string &Program,
                     std::vector<std::string> Arguments) {
  Processes.erase(Name); // kills the process that is replaced, if any
  const ProcessOptions Options{Program, std::move(Arguments),
                               Folder + "/" + Name + ".log"};
  Processes[Name] = std::make_unique<Process>(Options);
}

void Cluster::startBalancer(size_t Index) {
  const std::string Name = "balancer-" + std::to_string(Index);
  const std::string Path =
      writeFile(Name, balancerSettings(Layout, BalancerCount, Index));
  launch(Name, "burdockstreamd", {flag("settings", Path)});
}

void Cluster::startAgent(size_t Index) {
  const std::string Name = "agent-" + std::to_string(Index);
  const std::string Path = writeFile(
      Name, agentSettings(Layout, BalancerCount, Placements[Index - 1]));
  launch(Name, "burdockstreamd", {flag("settings", Path)});
}

void Cluster::startEndpoint(const EndpointPlacement &Placement) {
  launch(
      "endpoint-" + std::to_string(Placement.Index), "endpoint_standin",
      {flag("listen", base::toString(Layout.endpoint(Placement.Index))),
       flag("control", base::toString(Layout.endpointControl(Placement.Index))),
       flag("service", Placement.OwningService->Name),
       flag("slots", std::to_string(Layout.SlotsPerEndpoint)),
       flag("run_ms", "/booking=20,/certificate=20,/sheet=60"), RunSeconds});
}

void Cluster::replaceEndpoint(size_t Index, const Service &Svc) {
  Processes.erase("agent-" + std::to_string(Index));
  Processes.erase("endpoint-" + std::to_string(Index));
  Placements[Index - 1].OwningService = &Svc;
  startEndpoint(Placements[Index - 1]);
  startAgent(Index);
}

void Cluster::startFabric() {
  std::vector<std::string> Services;
  for (const Service &Svc : Layout.Services)
    Services.push_back(base::toString(Svc.Address));
  std::vector<std::string> DataAddresses;
  for (size_t Index = 1; Index <= BalancerCount; ++Index)
    DataAddresses.push_back(base::toString(Layout.balancerData(Index)));
  launch("fabric", "fabric_standin",
         {flag("services", join(Services)),
          flag("balancers", join(DataAddresses)),
          flag("uplink", base::toString(Layout.fabricUplink())),
          flag("control", base::toString(Layout.fabricControl())), RunSeconds});
}

bool Cluster::start(std::chrono::seconds Timeout) {
  launch("store", "store_standin",
         {flag("listen", base::toString(Layout.store())), RunSeconds});
  for (size_t Index = 1; Index <= BalancerCount; ++Index)
    startBalancer(Index);
  for (const EndpointPlacement &Placement : Placements) {
    startEndpoint(Placement);
    startAgent(Placement.Index);
  }
  startFabric();
  if (!writeRecords(Timeout))
    return false;
  return waitUntil(
      [this] {
        for (const Service &Svc : Layout.Services)
          if (countOwnedBuckets(Svc) != BucketsPerService)
            return false;
        return true;
      },
      Timeout);
}

bool Cluster::writeRecords(std::chrono::seconds Timeout) {
  for (const Service &Svc : Layout.Services) {
    // The first service has a record of schema version 1 and the other one of
    // version 2, so that every deployment uses both.
    const int Schema = &Svc == &Layout.Services.front() ? 1 : 2;
    const std::string Text = recordText(Layout, Svc, Schema);
    if (!waitUntil([&] { return putRecord(Svc, Text).has_value(); }, Timeout))
      return false;
  }
  return true;
}

Process &Cluster::startCallers(const Service &Svc,
                               const CallerOptions &Options) {
  const size_t Index = static_cast<size_t>(&Svc - Layout.Services.data()) + 1;
  const base::SocketAddress Control = Layout.callerControl(Index);
  const std::string Address = base::toString(Control);
  launch("callers-" + Svc.Name, "caller_standin",
         {flag("service_address", base::toString(Svc.Address)),
          flag("local_ip", Address.substr(0, Address.find(':'))),
          flag("control", Address), flag("service", Svc.Name),
          flag("callers", std::to_string(Options.Callers)),
          flag("rate", std::to_string(Options.RequestsPerSecond)),
          flag("mix", Options.Mix), flag("boards", Options.Boards),
          flag("run_seconds", std::to_string(Options.RunSeconds))});
  return *Processes["callers-" + Svc.Name];
}

Json::Value Cluster::callerReport(const Service &Svc) {
  const std::string Output = Processes.at("callers-" + Svc.Name)->readOutput();
  return parseJson(Output);
}

admin::RpcResult Cluster::call(base::SocketAddress Server,
                               const std::string &Team,
                               const std::string &Method,
                               const Json::Value &Parameters) {
  admin::RpcClient Client({"token-of-" + Team, {}},
                          [] { return base::WallTime{}; });
  std::optional<admin::RpcResult> Answer;
  admin::RpcCall Call{Server, Method};
  if (!Parameters.isNull())
    Call.Parameters = Parameters;
  Client.call(Call,
              [&](admin::RpcResult Result) { Answer = std::move(Result); });
  while (!Answer)
    g_main_context_iteration(nullptr, TRUE);
  return *Answer;
}

admin::RpcResult Cluster::putRecord(const Service &Svc, const std::string &Text,
                                    size_t Balancer) {
  Json::Value Parameters;
  Parameters["service"] = Svc.Name;
  Parameters["body"] = Text;
  return call(Layout.balancerControl(Balancer), Svc.Team, "record.put",
              Parameters);
}

bool Cluster::waitUntil(const std::function<bool()> &Done,
                        std::chrono::seconds Timeout) {
  const gint64 End = g_get_monotonic_time() + Timeout.count() * G_USEC_PER_SEC;
  while (!Done()) {
    if (g_get_monotonic_time() > End)
      return false;
    runLoopFor(std::chrono::milliseconds(100));
  }
  return true;
}

size_t Cluster::countOwnedBuckets(const Service &Svc) {
  size_t Owned = 0;
  for (const EndpointPlacement &Placement : Placements) {
    if (Placement.OwningService->Name != Svc.Name ||
        agent(Placement.Index).hasExited())
      continue;
    const auto Answer =
        call(Layout.agentControl(Placement.Index), Svc.Team, "buckets");
    if (Answer.has_error())
      continue;
    for (const Json::Value &Bucket : Answer.value()["buckets"])
      Owned += Bucket["role"].asString() == "owner" ? 1 : 0;
  }
  return Owned;
}

} // namespace burdockstream::e2e
