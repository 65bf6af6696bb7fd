#include "Simulation.h"

#include "WireSize.h"

#include <algorithm>

namespace burdockstream::membership::test {

namespace {

constexpr size_t FailureDomains = 4;
constexpr uint32_t BalancerNet = 0x0a000000;
constexpr uint32_t AgentNet = 0x0a800000;

std::string domainName(size_t I) {
  return "domain-" + std::to_string(I % FailureDomains);
}

size_t wireSize(const messages::Message &Body) {
  return FramingBytes + 1 +
         std::visit([](const auto &M) { return packedSize(M); }, Body);
}

} // namespace

Simulation::Simulation(uint64_t Seed, size_t Balancers, Network InitNet)
    : Net(InitNet), Random(Seed) {
  for (size_t I = 0; I < Balancers; ++I)
    ConfiguredBalancers.push_back(
        {{BalancerNet + static_cast<uint32_t>(I), 7000}, domainName(I)});
}

size_t Simulation::startBalancer(size_t I) {
  const base::SocketAddress Address = ConfiguredBalancers[I].Address;
  if (const auto It = ByAddress.find(Address); It != ByAddress.end())
    kill(It->second);
  messages::MemberInfo Self;
  Self.Id = {Random()};
  Self.Data = Address;
  Self.Control = {Address.Ip, 7001};
  Self.FailureDomain = ConfiguredBalancers[I].FailureDomain;
  const size_t Index = Nodes.size();
  RandomSources.push_back(std::make_unique<base::RandomSource>(Random()));
  Nodes.push_back(std::make_unique<Node>());
  Nodes[Index]->Balancer = std::make_unique<BalancerMembership>(
      Self, ConfiguredBalancers, *RandomSources[Index]);
  Nodes[Index]->Address = Address;
  ByAddress[Address] = Index;
  call(Index, [&](base::Now Now, ActionSink &Sink) {
    Nodes[Index]->Balancer->start(Now, Sink);
  });
  return Index;
}

void Simulation::startGroup() {
  messages::DigestDiff GroupState;
  for (size_t I = 0; I < ConfiguredBalancers.size(); ++I) {
    const size_t Index = startBalancer(I);
    call(Index, [&](base::Now Now, ActionSink &Sink) {
      Nodes[Index]->Balancer->handle(messages::DigestDiff{}, {}, Now, Sink);
    });
  }
  // Rumors about a node's own start are discarded while it knows no peer.
  Time += RumorInterval;
  for (size_t I = 0; I < Nodes.size(); ++I) {
    call(I, [&](base::Now Now, ActionSink &Sink) {
      Nodes[I]->Balancer->tick(Now, Sink);
    });
    GroupState.Members.push_back(Nodes[I]->Balancer->self());
  }
  // A digest reply with more than 16 entries is a bulk transfer, which is not
  // gossiped. Small groups are repeated to exceed this number.
  const size_t Copies = 1 + 20 / GroupState.Members.size();
  std::vector<messages::MemberInfo> OneCopy = GroupState.Members;
  for (size_t I = 1; I < Copies; ++I)
    GroupState.Members.insert(GroupState.Members.end(), OneCopy.begin(),
                              OneCopy.end());
  for (size_t I = 0; I < Nodes.size(); ++I)
    call(I, [&](base::Now Now, ActionSink &Sink) {
      Nodes[I]->Balancer->handle(GroupState, {}, Now, Sink);
    });
  for (auto &N : Nodes) {
    N->Actions.clear();
    N->BytesSent = 0;
  }
}

size_t Simulation::startAgent(const std::string &Service, size_t Domain,
                              int64_t ClockError) {
  const size_t Index = Nodes.size();
  messages::MemberInfo Self;
  Self.Id = {Random()};
  Self.Service = base::serviceIdOf(Service);
  Self.Data = {AgentNet + static_cast<uint32_t>(Index), 7000};
  Self.Control = {Self.Data.Ip, 7001};
  Self.FailureDomain = domainName(Domain);
  Self.Slots = 2;
  RandomSources.push_back(std::make_unique<base::RandomSource>(Random()));
  Nodes.push_back(std::make_unique<Node>());
  Nodes[Index]->Agent = std::make_unique<AgentMembership>(
      Self, ConfiguredBalancers, *RandomSources[Index]);
  Nodes[Index]->Address = Self.Data;
  Nodes[Index]->ClockError = ClockError;
  ByAddress[Self.Data] = Index;
  call(Index, [&](base::Now Now, ActionSink &Sink) {
    Nodes[Index]->Agent->start(Now, Sink);
    Nodes[Index]->Agent->setState(messages::MemberState::Ready, Now, Sink);
  });
  return Index;
}

void Simulation::kill(size_t I) {
  Nodes[I]->Running = false;
  if (ByAddress[Nodes[I]->Address] == I)
    ByAddress.erase(Nodes[I]->Address);
}

void Simulation::pause(size_t I, base::Duration Length) {
  Nodes[I]->PausedUntil = Time + Length;
}

void Simulation::run(base::Duration Length) {
  const base::TimePoint End = Time + Length;
  while (!Events.empty() && Events.top().At <= End) {
    const Event Next = Events.top();
    Events.pop();
    Time = std::max(Time, Next.At);
    process(Next);
  }
  Time = End;
}

base::Duration Simulation::runUntil(const std::function<bool()> &Condition,
                                    base::Duration Limit) {
  const base::TimePoint Start = Time;
  while (Time - Start < Limit) {
    if (Condition())
      return Time - Start;
    run(milliseconds(1));
  }
  return Limit;
}

void Simulation::process(const Event &Next) {
  Node &Target = *Nodes[Next.Target];
  if (!Target.Running)
    return;
  if (Target.PausedUntil > Time) {
    Event Deferred = Next;
    Deferred.At = Target.PausedUntil;
    Deferred.Order = ++Order;
    Events.push(Deferred);
    return;
  }
  if (!Next.Body) {
    if (Next.At < Target.Scheduled)
      return; // superseded by another timer event
    Target.Scheduled = base::Never;
  } else {
    ++Delivered;
  }
  call(Next.Target, [&](base::Now Now, ActionSink &Sink) {
    if (!Next.Body)
      Target.Balancer ? Target.Balancer->tick(Now, Sink)
                      : Target.Agent->tick(Now, Sink);
    else if (Target.Balancer)
      Target.Balancer->handle(*Next.Body, Next.From, Now, Sink);
    else
      Target.Agent->handle(*Next.Body, Next.From, Now, Sink);
  });
}

void Simulation::call(
    size_t I, const std::function<void(base::Now, ActionSink &)> &Body) {
  ActionSink Sink;
  Node &At = *Nodes[I];
  Body(now(At), Sink);
  for (Action &Next : Sink) {
    if (auto *Message = std::get_if<SendMessage>(&Next))
      transmit(At, std::move(*Message));
    else
      At.Actions.push_back(std::move(Next));
  }
  schedule(I);
}

void Simulation::transmit(Node &From, SendMessage &&Message) {
  const size_t Size = wireSize(Message.Body);
  From.BytesSent += Size;
  From.LargestDatagram = std::max<uint64_t>(From.LargestDatagram, Size);
  const auto Target = ByAddress.find(Message.To);
  if (Target == ByAddress.end() || (Drop && Drop(From.Address, Message.To)))
    return;
  auto Body =
      std::make_shared<const messages::Message>(std::move(Message.Body));
  const int Copies = randomFraction() < Net.Duplicates ? 2 : 1;
  for (int I = 0; I < Copies; ++I) {
    if (randomFraction() < Net.Loss)
      continue;
    const auto Delay =
        Net.MinDelay +
        base::Duration(static_cast<int64_t>(
            randomFraction() *
            static_cast<double>((Net.MaxDelay - Net.MinDelay).count())));
    Events.push({Time + Delay, ++Order, Target->second, From.Address, Body});
  }
}

void Simulation::schedule(size_t I) {
  Node &At = *Nodes[I];
  const base::TimePoint Next =
      At.Balancer ? At.Balancer->nextDeadline() : At.Agent->nextDeadline();
  if (Next >= At.Scheduled)
    return;
  At.Scheduled = std::max(Next, Time);
  Events.push({At.Scheduled, ++Order, I, {}, nullptr});
}

bool Simulation::atAllBalancers(
    base::DaemonId Member,
    const std::function<bool(const messages::MemberInfo *)> &Predicate) {
  return std::all_of(Nodes.begin(), Nodes.end(), [&](const auto &N) {
    return !N->Balancer || !N->Running || N->PausedUntil > Time ||
           Predicate(N->Balancer->members().find(Member));
  });
}

bool Simulation::stateEverywhere(base::DaemonId Member,
                                 messages::MemberState State) {
  return atAllBalancers(Member, [&](const messages::MemberInfo *Info) {
    return Info && Info->State == State;
  });
}

void Simulation::setState(size_t I, messages::MemberState State) {
  call(I, [&](base::Now Now, ActionSink &Sink) {
    Nodes[I]->Balancer ? Nodes[I]->Balancer->setState(State, Now, Sink)
                       : Nodes[I]->Agent->setState(State, Now, Sink);
  });
}

base::Now Simulation::now(const Node &At) const {
  const auto SinceStart =
      std::chrono::duration_cast<milliseconds>(Time.time_since_epoch());
  return {Time, {1790000000000 + SinceStart.count() + At.ClockError}};
}

base::DaemonId Simulation::id(size_t I) const {
  return Nodes[I]->Balancer ? Nodes[I]->Balancer->self().Id
                            : Nodes[I]->Agent->self().Id;
}

} // namespace burdockstream::membership::test
