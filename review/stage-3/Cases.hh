// The cases, by name.
#ifndef STAGE_CASES_HH
#define STAGE_CASES_HH

#include "World.hh"

#include <iostream>

namespace stage {

struct CaseInput {
  std::string Folder, RecordPath;
  uint64_t Seed;
  bool Trouble;
};

inline int verdict(World &On) {
  for (const auto &[Rule, Count] : On.Log.violations())
    std::cout << Rule << " broken " << Count << " times\n";
  On.Log.flush();
  return On.Log.violations().empty() ? 0 : 1;
}

// Agents, then balancers, are stopped and started in turn, while clients use
// ports again whose earlier flows have ended.
inline int reusedPorts(const CaseInput &In) {
  WorldOptions Options;
  Options.Balancers = 2;
  Options.Agents = 4;
  Options.Folder = In.Folder;
  Options.RecordPath = In.RecordPath;
  Options.Seed = In.Seed;
  Options.IdleCloseMs = 4000;
  World On(Options);
  On.configure(On.plainConfig(7));
  for (size_t I = 0; I < Options.Balancers; ++I)
    On.startBalancer(I);
  for (size_t I = 0; I < Options.Agents; ++I) {
    On.startAgent(I);
    On.startEndpoint(I);
  }
  On.awaitReady();
  On.Events.runFor(2000);

  constexpr uint16_t FirstPort = 30'000, Ports = 100;
  constexpr size_t Hosts = 4;
  std::vector<std::unique_ptr<Clients>> Hosted;
  for (size_t I = 0; I < Hosts; ++I)
    Hosted.push_back(On.clients(I));
  uint64_t Requests = 0;
  bool Asking = true;
  // Each open flow asks again a while after its answer.
  On.Events.every(50, [&] {
    if (!Asking)
      return;
    for (auto &Host : Hosted)
      for (auto &[Key, Flow] : Host->flows())
        if (Flow.State == FlowState::Open && Flow.Id.empty() &&
            !Flow.Finished &&
            nowMs() - Flow.AnsweredAt > 1500 + Key.Client.Port * 7 % 1000)
          Host->ask(Flow, "q" + std::to_string(++Requests), 2);
  });
  const auto OpenAll = [&] {
    for (uint16_t Port = FirstPort; Port < FirstPort + Ports; ++Port) {
      for (auto &Host : Hosted)
        Host->open(Port, On.route(0));
      On.Events.runFor(10);
    }
  };
  const auto Count = [&](FlowState State) {
    size_t Result = 0;
    for (auto &Host : Hosted)
      for (auto &[Key, Flow] : Host->flows())
        Result += Flow.State == State ? 1 : 0;
    return Result;
  };

  OpenAll();
  On.Events.runFor(2000);
  for (size_t I = 0; I < Options.Agents; ++I) {
    if (In.Trouble)
      On.restartAgent(I);
    On.Events.runFor(2500);
  }
  On.Events.runFor(3000);
  Asking = false; // the endpoints close the idle flows
  On.Events.runFor(9000);
  On.Log.line(std::to_string(Count(FlowState::Closed)) +
              " flows have closed, " + std::to_string(Count(FlowState::Open)) +
              " are open");
  On.Events.runFor(15000);
  Asking = true;
  OpenAll();
  On.Events.runFor(2000);
  On.Log.line(std::to_string(Count(FlowState::Open)) +
              " flows are open from the same ports");
  for (size_t I = 0; I < Options.Balancers; ++I) {
    if (In.Trouble)
      On.restartBalancer(I);
    On.Events.runFor(7000);
  }
  On.Events.runFor(3000);
  uint64_t Answers = 0;
  for (auto &Host : Hosted)
    Answers += Host->answers();
  On.Log.line(std::to_string(Requests) + " requests, " +
              std::to_string(Answers) + " answers");
  if (Answers < 400)
    throw StageError("hardly any request was answered");
  return verdict(On);
}

// A ping of another writer reaches one agent: fields are missing or of another
// type.
inline int oddPing(const CaseInput &In) {
  WorldOptions Options;
  Options.Balancers = 2;
  Options.Agents = 4;
  Options.Folder = In.Folder;
  Options.RecordPath = In.RecordPath;
  Options.Seed = In.Seed;
  World On(Options);
  On.configure(On.plainConfig(7));
  for (size_t I = 0; I < Options.Balancers; ++I)
    On.startBalancer(I);
  for (size_t I = 0; I < Options.Agents; ++I) {
    On.startAgent(I);
    On.startEndpoint(I);
  }
  On.awaitReady();
  On.Events.runFor(2000);

  const auto Host = On.clients(0);
  uint64_t Requests = 0;
  On.Events.every(50, [&] {
    for (auto &[Key, Flow] : Host->flows())
      if (Flow.State == FlowState::Open && Flow.Id.empty() &&
          nowMs() - Flow.AnsweredAt > 800)
        Host->ask(Flow, "q" + std::to_string(++Requests), 20);
  });
  for (uint16_t Port = 30'000; Port < 30'040; ++Port) {
    Host->open(Port, On.route(0));
    On.Events.runFor(20);
  }
  On.Events.runFor(20'000);
  const auto &Beside = On.Endpoints[0]->options();
  if (In.Trouble) {
    // Without zone, and with a number for the version.
    const std::string Body =
        "{\"service\":" + quoted(Beside.Service) +
        ",\"address\":" + quoted(Beside.App.text()) +
        ",\"version\":3,\"max_concurrency\":2,\"state\":\"ready\","
        "\"warmup_remaining_ms\":0,\"sequence\":1,\"born\":" +
        std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(
                           std::chrono::system_clock::now().time_since_epoch())
                           .count()) +
        "}";
    On.Log.line("a ping of another writer to agent 0: " + Body);
    callHttp(On.Events, Beside.Pings, "POST",
             "/api/Endpoints.Heartbeat/i-other", Body, [&On](int Status) {
               On.Log.line("it is answered with " + std::to_string(Status));
             });
  }
  On.Events.runFor(8000);
  On.Log.line(std::to_string(Requests) + " requests, " +
              std::to_string(Host->answers()) + " answers");
  if (Host->answers() < 400)
    throw StageError("hardly any request was answered");
  return verdict(On);
}

// An endpoint leaves and starts again under its id. A partition holds its
// deregistration up, which arrives when the new run has flows.
inline int lateDeregistration(const CaseInput &In) {
  WorldOptions Options;
  Options.Balancers = 2;
  Options.Agents = 4;
  Options.Folder = In.Folder;
  Options.RecordPath = In.RecordPath;
  Options.Seed = In.Seed;
  World On(Options);
  On.configure(On.plainConfig(7));
  for (size_t I = 0; I < Options.Balancers; ++I)
    On.startBalancer(I);
  for (size_t I = 0; I < Options.Agents; ++I) {
    On.startAgent(I);
    On.startEndpoint(I);
  }
  On.awaitReady();
  On.Events.runFor(2000);

  const auto Host = On.clients(0);
  uint64_t Requests = 0;
  uint16_t Port = 30'000;
  constexpr size_t OpenFlows = 40;
  On.Events.every(50, [&] {
    size_t Alive = 0;
    for (auto &[Key, Flow] : Host->flows()) {
      if (Flow.State == FlowState::Open && Flow.Id.empty() && !Flow.Finished &&
          nowMs() - Flow.AnsweredAt > 800) {
        if (Flow.Answers < 8)
          Host->ask(Flow, "q" + std::to_string(++Requests), 20);
        else
          Host->close(Flow);
      }
      Alive += Flow.State == FlowState::Open || Flow.State == FlowState::Opening
                   ? 1
                   : 0;
    }
    // Ended flows are replaced by others from new ports.
    if (Alive < OpenFlows)
      Host->open(++Port, On.route(0));
  });
  On.Events.runFor(5000);
  On.Log.line("endpoint 0 drains");
  On.Endpoints[0]->drain();
  On.Events.runFor(5000);
  const Address Pings = On.Endpoints[0]->options().Pings;
  const auto Deregister = [&] {
    callHttp(On.Events, Pings, "POST", "/api/Endpoints.Deregister/i-0", "",
             [&On](int Status) {
               On.Log.line("the deregistration is answered with " +
                           std::to_string(Status));
             });
  };
  On.Log.line("endpoint 0 deregisters");
  // A partition of 7 s between the endpoint and its agent: TCP sends the call
  // again after 0.2, 0.6, 1.4, 3, 6.2 and 12.6 s.
  if (In.Trouble)
    On.Events.after(12'600, Deregister);
  else
    Deregister();
  On.Events.runFor(2000);
  On.Log.line("endpoint 0 exits");
  On.endEndpoint(0);
  On.Events.runFor(5500);
  On.Log.line("endpoint 0 starts again");
  On.startEndpoint(0);
  On.Events.runFor(14'000);
  On.Log.line(std::to_string(Requests) + " requests, " +
              std::to_string(Host->answers()) + " answers, " +
              std::to_string(On.Endpoints[0]->openings().size()) +
              " openings at the new run");
  if (On.Endpoints[0]->openings().empty())
    throw StageError("the new run got no flow");
  return verdict(On);
}

// A figure of limits_table becomes a fraction, and the agents are stopped and
// started in turn.
inline int fraction(const CaseInput &In) {
  WorldOptions Options;
  Options.Balancers = 2;
  Options.Agents = 4;
  Options.Folder = In.Folder;
  Options.RecordPath = In.RecordPath;
  Options.Seed = In.Seed;
  World On(Options);
  On.configure(On.plainConfig(7));
  for (size_t I = 0; I < Options.Balancers; ++I)
    On.startBalancer(I);
  for (size_t I = 0; I < Options.Agents; ++I) {
    On.startAgent(I);
    On.startEndpoint(I);
  }
  On.awaitReady();
  On.Events.runFor(2000);

  const auto Host = On.clients(0);
  uint64_t Requests = 0, Opened = 0;
  uint16_t Port = 30'000;
  // Ten clients a second open a flow for one request each.
  On.Events.every(100, [&] {
    for (auto &[Key, Flow] : Host->flows())
      if (Flow.State == FlowState::Open && !Flow.Finished && Flow.Id.empty()) {
        if (Flow.Answers == 0)
          Host->ask(Flow, "q" + std::to_string(++Requests), 5);
        else
          Host->close(Flow);
      }
    Host->open(++Port, On.route(0));
    ++Opened;
  });
  On.Events.runFor(5000);
  const uint64_t Before = Host->answers();
  On.changeReuseDelay(In.Trouble ? "2.5" : "3");
  On.Events.runFor(2000);
  for (size_t I = 0; I < Options.Agents; ++I) {
    On.restartAgent(I);
    On.Events.runFor(4000);
  }
  const uint64_t Answers = Host->answers();
  const uint64_t Flows = Opened;
  On.Events.runFor(8000);
  On.Log.line(std::to_string(Before) + " answers before the change; " +
              std::to_string(Host->answers() - Answers) + " answers to " +
              std::to_string(Opened - Flows) + " clients after the restarts");
  if (Before == 0)
    throw StageError("no request was answered");
  if (On.ownEnds() > 0)
    On.Log.violation("Fault", std::to_string(On.ownEnds()) +
                                  " times a process ended by itself");
  return verdict(On);
}

inline int runCase(const std::string &Name, const CaseInput &In) {
  if (Name == "reused-ports")
    return reusedPorts(In);
  if (Name == "late-deregistration")
    return lateDeregistration(In);
  if (Name == "fraction")
    return fraction(In);
  if (Name == "odd-ping")
    return oddPing(In);
  throw StageError("no such case: " + Name);
}

} // namespace stage

#endif
