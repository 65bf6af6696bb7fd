// The cases, by name.
#ifndef STAGE_CASES_H
#define STAGE_CASES_H

#include "World.h"

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
  On.Log.line(std::to_string(Count(FlowState::Closed)) + " flows have closed, " +
              std::to_string(Count(FlowState::Open)) + " are open");
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

// Planned work only, at random: agents and balancers are restarted, endpoints
// are emptied and replaced, routes move. Not a case; it looks for some.
inline int soak(const CaseInput &In) {
  WorldOptions Options;
  Options.Balancers = 3;
  Options.Agents = 8;
  Options.Folder = In.Folder;
  Options.RecordPath = In.RecordPath;
  Options.Seed = In.Seed;
  Options.Services = {"shop", "vault"};
  Options.ServiceOf = [](size_t I) { return I % 3 == 2 ? 1U : 0U; };
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
  uint64_t Random = mix(In.Seed * 31);
  const auto Below = [&Random](uint64_t Bound) {
    Random = mix(Random);
    return Random % Bound;
  };
  std::vector<std::unique_ptr<Clients>> Hosted;
  for (size_t I = 0; I < 4; ++I)
    Hosted.push_back(On.clients(I));
  uint64_t Requests = 0;
  uint16_t Port = 20'000;
  std::map<FlowKey, int64_t> AskAt;
  On.Events.every(20, [&] {
    for (auto &Host : Hosted)
      for (auto Each = Host->flows().begin(); Each != Host->flows().end();) {
        ClientFlow &Flow = Each->second;
        if (Flow.State != FlowState::Open && Flow.State != FlowState::Opening) {
          AskAt.erase(Each->first);
          Each = Host->flows().erase(Each);
          continue;
        }
        if (Flow.State == FlowState::Open && Flow.Id.empty() &&
            !Flow.Finished && nowMs() >= AskAt[Each->first]) {
          if (Flow.Answers > 3 && Below(12) == 0) {
            Host->close(Flow);
          } else {
            Host->ask(Flow, "q" + std::to_string(++Requests), 2 + Below(40));
            // Most pauses are short, some nearly as long as the idle timeout.
            AskAt[Each->first] =
                nowMs() + (Below(4) == 0 ? Below(13'500) : Below(1500));
          }
        }
        ++Each;
      }
    for (auto &Host : Hosted)
      for (int I = 0; I < 2 && Host->flows().size() < 120; ++I)
        Host->open(++Port, On.route(Below(2)));
  });
  const int64_t End = nowMs() + 90'000;
  while (In.Trouble && nowMs() < End) {
    switch (Below(3)) {
    case 0:
      On.restartBalancer(Below(Options.Balancers));
      break;
    default:
      On.restartAgent(Below(Options.Agents));
      break;
    }
    On.Events.runFor(static_cast<int64_t>(400 + Below(3500)));
  }
  On.Events.runFor(5000);
  uint64_t Answers = 0, Resets = 0;
  for (auto &Host : Hosted) {
    Answers += Host->answers();
    Resets += Host->resets();
  }
  std::cout << Requests << " requests, " << Answers << " answers, " << Resets
            << " resets, " << On.ownEnds() << " own ends\n";
  return verdict(On);
}

inline int runCase(const std::string &Name, const CaseInput &In) {
  if (Name == "reused-ports")
    return reusedPorts(In);
  if (Name == "soak")
    return soak(In);
  throw StageError("no such case: " + Name);
}

} // namespace stage

#endif
