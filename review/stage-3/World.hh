// The stage: balancers and agents as separate processes, started with the
// commands and templates of the deploy file, between stand-ins of the platform,
// endpoints and clients, all on loopback addresses.
#ifndef STAGE_WORLD_HH
#define STAGE_WORLD_HH

#include "Client.hh"
#include "Endpoint.hh"
#include "Store.hh"

#include <csignal>
#include <sstream>
#include <sys/prctl.h>
#include <sys/wait.h>

namespace stage {

struct WorldOptions {
  size_t Balancers = 2, Agents = 4;
  std::string Folder;     // temporary, for settings and logs
  std::string RecordPath; // record.txt
  uint64_t Seed = 1;
  int64_t WarmupPerS = 0;
  int Slots = 2;
  int64_t IdleCloseMs = 0;
  int64_t IdleTimeoutMs = 15'000;
  std::string ReuseDelay = "2"; // of limits_table, in seconds
  std::vector<std::string> Services = {"shop"};
  std::function<size_t(size_t)> ServiceOf = [](size_t) { return 0U; };
};

inline constexpr uint16_t DataPort = 18172, ReadyPort = 18167,
                          ControlPlanePort = 18166, InternalPort = 17720,
                          OutboundPort = 18162, AppPort = 18165,
                          StorePort = 18169;

class World {
public:
  explicit World(WorldOptions InitOptions)
      : Options(std::move(InitOptions)), Log(Options.RecordPath),
        Net(freeNet()), PlatformStore(Events, {Net | 1, StorePort}) {
    Processes.resize(Options.Balancers + Options.Agents);
    Endpoints.resize(Options.Agents);
    Misses.resize(Options.Balancers, 2);
    Events.every(500, [this] { checkReadiness(); });
    Events.every(20, [this] { reap(); });
  }
  ~World() {
    for (Process &Each : Processes)
      if (Each.Pid > 0) {
        ::kill(Each.Pid, SIGKILL);
        ::waitpid(Each.Pid, nullptr, 0);
      }
  }

  Address at(unsigned Group, size_t Index, uint16_t Port) const {
    return {Net | Group << 8 | static_cast<uint32_t>(Index + 1), Port};
  }
  Address route(size_t Index) const { return at(9, Index, 443); }

  // Starts the endpoint beside agent Index, as a new run.
  void startEndpoint(size_t Index, int64_t ColdMs = 0) {
    EndpointOptions Own;
    Own.Index = Index;
    Own.Service = Options.Services[Options.ServiceOf(Index)];
    Own.Zone = "z";
    Own.App = at(2, Index, AppPort);
    Own.Outbound = at(2, Index, OutboundPort);
    Own.Pings = at(2, Index, ControlPlanePort);
    Own.Seed = Options.Seed * 1000 + ++Runs;
    Own.Slots = Options.Slots;
    Own.IdleCloseMs = Options.IdleCloseMs;
    Own.ColdMs = ColdMs;
    Endpoints[Index] = std::make_unique<Endpoint>(Events, Log, Own);
  }
  void endEndpoint(size_t Index) { Endpoints[Index].reset(); }

  void startBalancer(size_t Index) { start(Index); }
  void startAgent(size_t Index) { start(Options.Balancers + Index); }

  // Stops a process as the platform does, and starts it again half a second
  // after it has ended.
  void restart(size_t Process) {
    Log.line("SIGTERM " + nameOf(Process));
    signal(Process, SIGTERM);
    Processes[Process].Restarts = true;
    const pid_t Pid = Processes[Process].Pid;
    Events.after(6000, [this, Process, Pid] {
      if (Processes[Process].Pid == Pid)
        ::kill(Pid, SIGKILL); // after grace_period_s
    });
  }
  void restartAgent(size_t Index) { restart(Options.Balancers + Index); }
  void restartBalancer(size_t Index) { restart(Index); }
  void kill(size_t Process, bool Restarts) {
    Log.line("SIGKILL " + nameOf(Process));
    signal(Process, SIGKILL);
    Processes[Process].Restarts = Restarts;
  }
  // Changes the settings files, without a signal.
  void changeReuseDelay(const std::string &Seconds) {
    Options.ReuseDelay = Seconds;
    Log.line("reuse_delay_s is now " + Seconds);
    for (size_t I = 0; I < Processes.size(); ++I)
      std::ofstream(Options.Folder + "/" + nameOf(I) + ".json")
          << settingsOf(I);
  }
  void killAgent(size_t Index) { kill(Options.Balancers + Index, true); }

  void configure(const std::string &Config) {
    PlatformStore.put("op/config", Config);
  }
  std::string plainConfig(int64_t Version) const {
    std::string Routes, Services;
    for (size_t I = 0; I < Options.Services.size(); ++I) {
      const std::string Comma = I == 0 ? "" : ",";
      Routes += Comma + "{\"name\":\"r" + std::to_string(I) + "\",\"host\":\"" +
                route(I).ip() +
                "\",\"prefix\":\"/443/\",\"route_type\":\"non_idempotent\","
                "\"timeout_ms\":6000,\"target_latency_ms\":300,\"priority\":1,"
                "\"service\":\"" +
                Options.Services[I] + "\",\"max_attempts\":2}";
      Services += Comma + "{\"name\":\"" + Options.Services[I] +
                  "\",\"health_check\":\"/health\",\"max_connections\":2000,"
                  "\"protocol\":\"h1\",\"tls\":false,\"warmup_s\":10.0,"
                  "\"warmup_per_s\":" +
                  std::to_string(Options.WarmupPerS) + ".0}";
    }
    return "{\"version\":" + std::to_string(Version) + ",\"routes\":[" +
           Routes + "],\"services\":[" + Services +
           "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":262144,"
           "\"header_timeout_ms\":3000,\"idle_timeout_ms\":" +
           std::to_string(Options.IdleTimeoutMs) + "}}";
  }

  // The fabric: the balancer in rotation with the highest hash of the flow.
  Address routeTo(const FlowKey &Key) const {
    size_t In = 0;
    for (const int Each : Misses)
      In += Each < 2 ? 1 : 0;
    const bool All = In * 2 < Misses.size();
    size_t Best = 0;
    uint64_t BestHash = 0;
    for (size_t I = 0; I < Misses.size(); ++I) {
      const uint64_t Hash =
          mix(mix(uint64_t{Key.Client.Ip} << 16 | Key.Client.Port) ^
              mix(uint64_t{Key.Route.Ip} << 16 | Key.Route.Port) ^ mix(I + 77));
      if ((All || Misses[I] < 2) && Hash >= BestHash) {
        Best = I;
        BestHash = Hash;
      }
    }
    return at(1, Best, DataPort);
  }
  bool holdsOpen(const FlowKey &Key, uint32_t Start) const {
    for (const auto &Each : Endpoints)
      if (Each && Each->holdsOpen(Key, Start))
        return true;
    return false;
  }
  std::unique_ptr<Clients> clients(size_t Index) {
    return std::make_unique<Clients>(
        Events, Log, at(3, Index, 0).Ip, DataPort,
        [this](const FlowKey &Key) { return routeTo(Key); },
        [this](const FlowKey &Key, uint32_t Start) {
          return holdsOpen(Key, Start);
        },
        Options.Seed);
  }

  // Waits until all balancers are ready.
  void awaitReady() {
    for (int I = 0; I < 100; ++I) {
      Events.runFor(100);
      size_t Ready = 0;
      for (const int Each : Misses)
        Ready += Each == 0 ? 1 : 0;
      if (Ready == Misses.size())
        return;
    }
    throw StageError("the balancers did not become ready");
  }
  bool isReady(size_t Balancer) const { return Misses[Balancer] == 0; }
  // Processes that ended without a signal of the stage.
  size_t ownEnds() const { return OwnEnds; }

  WorldOptions Options;
  Loop Events;
  Record Log;
  uint32_t Net;
  Store PlatformStore;
  std::vector<std::unique_ptr<Endpoint>> Endpoints;

private:
  // Returns a network of loopback addresses that no other run uses.
  static uint32_t freeNet() {
    for (uint64_t Try = 0; Try < 100; ++Try) {
      const uint64_t Hash = mix(static_cast<uint64_t>(getpid()) + (Try << 32));
      const uint32_t Result =
          127U << 24 | (20 + static_cast<uint32_t>(Hash % 200)) << 16;
      const int Fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      const sockaddr_in Native = Address{Result | 1, StorePort}.native();
      const bool Free = ::bind(Fd, reinterpret_cast<const sockaddr *>(&Native),
                               sizeof Native) == 0;
      ::close(Fd);
      if (Free)
        return Result;
    }
    throw StageError("no free addresses");
  }

  struct Process {
    pid_t Pid = 0;
    bool Signalled = false, Restarts = false;
  };

  bool isBalancer(size_t Index) const { return Index < Options.Balancers; }
  std::string nameOf(size_t Index) const {
    return isBalancer(Index)
               ? "balancer-" + std::to_string(Index)
               : "agent-" + std::to_string(Index - Options.Balancers);
  }

  void signal(size_t Index, int Number) {
    if (Processes[Index].Pid <= 0)
      return;
    Processes[Index].Signalled = true;
    ::kill(Processes[Index].Pid, Number);
  }

  // Fills the template of the role in, as the platform does.
  std::string settingsOf(size_t Index) const {
    const bool Balancer = isBalancer(Index);
    const unsigned Group = Balancer ? 1 : 2;
    const size_t Member = Balancer ? Index : Index - Options.Balancers;
    std::string Seeds;
    for (size_t I = 0; I < std::min<size_t>(3, Options.Balancers); ++I)
      Seeds += (I == 0 ? "" : ",") + quoted(at(1, I, ControlPlanePort).text());
    const auto Place = [&](uint16_t Port) {
      return quoted(at(Group, Member, Port).text());
    };
    std::map<std::string, std::string> Values = {
        {"node_name|json", quoted(nameOf(Index))},
        {"zone|json", quoted("z")},
        {"bind_addresses.datagram_address|json", Place(DataPort)},
        {"bind_addresses.ready|json", Place(ReadyPort)},
        {"bind_addresses.control_plane|json", Place(ControlPlanePort)},
        {"bind_addresses.outbound|json", Place(OutboundPort)},
        {"ip", at(Group, Member, 0).ip()},
        {"internal_port_range.0", std::to_string(InternalPort)},
        {"platform.address|json", quoted(at(0, 0, StorePort).text())},
        {"limits.bandwidth_mbps|json", "1000.0"},
        {"seed_nodes|json", "[" + Seeds + "]"},
        {"limits_table.grace_period_s", "6"},
        {"limits_table.reuse_delay_s", Options.ReuseDelay},
        {"heartbeat_interval_ms", "1200"}};
    if (!Balancer) {
      Values["service|json"] =
          quoted(Options.Services[Options.ServiceOf(Member)]);
      Values["app|json"] = Place(AppPort);
    }
    const std::string Path =
        Balancer ? "deploy/balancer.json.tmpl" : "deploy/agent.json.tmpl";
    std::ifstream In(Path);
    std::stringstream Text;
    Text << In.rdbuf();
    std::string Result = Text.str();
    if (Result.empty())
      throw StageError("cannot read " + Path);
    for (size_t At; (At = Result.find("{{")) != std::string::npos;) {
      const size_t End = Result.find("}}", At);
      const std::string Name = Result.substr(At + 2, End - At - 2);
      if (Values.count(Name) == 0)
        throw StageError(Path + " has an unknown field: " + Name);
      Result.replace(At, End + 2 - At, Values[Name]);
    }
    return Result;
  }

  // Starts the program that the deploy file names for both roles.
  void start(size_t Index) {
    const std::string Base = Options.Folder + "/" + nameOf(Index);
    std::ofstream(Base + ".json") << settingsOf(Index);
    const std::string Variable = "BURDOCKSTREAM_NODE_FILE=" + Base + ".json";
    const std::string LogPath = Base + ".log";
    const pid_t Pid = ::fork();
    if (Pid < 0)
      throw StageError("cannot fork");
    if (Pid == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL); // it does not outlive the stage
      const int Out =
          ::open(LogPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
      ::dup2(Out, 1);
      ::dup2(Out, 2);
      const char *Argv[] = {"target/bin/burdockstream-flowd", nullptr};
      const char *Env[] = {Variable.c_str(), "PATH=/usr/bin:/bin", "LANG=C",
                           nullptr};
      ::execve(Argv[0], const_cast<char **>(Argv), const_cast<char **>(Env));
      ::_exit(127);
    }
    Processes[Index] = {Pid, false, false};
    Log.line("start " + nameOf(Index));
  }

  void reap() {
    for (size_t I = 0; I < Processes.size(); ++I) {
      Process &Each = Processes[I];
      int Status = 0;
      if (Each.Pid <= 0 || ::waitpid(Each.Pid, &Status, WNOHANG) != Each.Pid)
        continue;
      Each.Pid = 0;
      Log.line("end of " + nameOf(I) + ", status " + std::to_string(Status));
      if (!Each.Signalled) {
        ++OwnEnds;
        Log.line(nameOf(I) + " ended by itself");
      }
      if (Each.Restarts || !Each.Signalled)
        Events.after(500, [this, I] { start(I); });
    }
  }

  void checkReadiness() {
    for (size_t I = 0; I < Misses.size(); ++I) {
      // Without a process nobody listens.
      if (I >= Processes.size() || Processes[I].Pid <= 0) {
        Misses[I] = std::min(Misses[I] + 1, 2);
        continue;
      }
      callHttp(Events, at(1, I, ReadyPort), "GET", "/api/readiness", "",
               [this, I](int Status) {
                 Misses[I] = Status == 200 ? 0 : std::min(Misses[I] + 1, 2);
               });
    }
  }

  std::vector<Process> Processes;
  std::vector<int> Misses; // readiness checks in a row, 2: out of rotation
  uint64_t Runs = 0;
  size_t OwnEnds = 0;
};

} // namespace stage

#endif
