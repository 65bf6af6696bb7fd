#include "Model.h"

#include <algorithm>

namespace burdockstream::ownership::model {
namespace {

constexpr int64_t WallEpoch = 1'800'000'000'000;

} // namespace

base::Now Clock::at(Instant TrueTime) const {
  return {base::TimePoint(base::Duration(
              static_cast<int64_t>(static_cast<double>(TrueTime) * Rate))),
          {WallEpoch + TrueTime / Millisecond + WallOffset}};
}

Model::Model(uint64_t Seed, Protections InitEnabled)
    : Enabled(InitEnabled), Rng(Seed) {
  LossPercent = static_cast<unsigned>(random(0, 15));
  SlowPercent = static_cast<unsigned>(random(0, 10));
  StoreFaultPercent = static_cast<unsigned>(random(0, 30));
  Buckets = static_cast<uint16_t>(random(2, 4));
  const auto ArbiterCount = static_cast<uint16_t>(random(3, 5));
  for (uint16_t I = 0; I < ArbiterCount; ++I)
    BalancerAddresses.push_back({0x0a000001U + I, 7000});
  const auto RandomClock = [&] {
    return Clock{static_cast<double>(random(900, 1'100)) / 1'000,
                 random(-1'000, 1'000)};
  };
  for (const base::SocketAddress &Address : BalancerAddresses) {
    Arbiters.push_back({Address, RandomClock(), nullptr, 0});
    Arbiters.back().Process = std::make_unique<Arbiter>(
        Address, BalancerAddresses,
        Arbiters.back().VmClock.at(-10 * Second).Monotonic);
  }
  Agents.resize(static_cast<size_t>(random(2, 4)));
  for (Agent &Node : Agents)
    Node.VmClock = RandomClock();
}

void Model::at(Instant When, std::function<void()> Body) {
  Events.push({std::max(When, Time), ++EventCount, std::move(Body)});
}

Instant Model::random(Instant Low, Instant High) {
  return Low + static_cast<Instant>(base::randomBelow(
                   Rng, static_cast<uint64_t>(High - Low + 1)));
}

bool Model::chance(unsigned Percent) {
  return base::randomBelow(Rng, 100) < Percent;
}

// Runs Body in the given process as soon as it is not paused. Body is dropped
// if the process has ended.
void Model::onAgent(size_t Index, uint64_t Run,
                    std::function<void(Agent &)> Body) {
  Agent &Node = Agents[Index];
  if (!Node.Core || Node.Run != Run)
    return;
  if (Time < Node.PausedUntil) {
    at(Node.PausedUntil, [this, Index, Run, Body = std::move(Body)] {
      onAgent(Index, Run, Body);
    });
    return;
  }
  Body(Node);
}

void Model::callCore(size_t Index,
                     const std::function<void(OwnershipCore &, base::Now,
                                              OwnershipSink &)> &Body) {
  Agent &Node = Agents[Index];
  OwnershipSink Sink;
  Body(*Node.Core, Node.VmClock.at(Time), Sink);
  perform(Index, Sink);
  armTick(Index);
}

void Model::armTick(size_t Index) {
  Agent &Node = Agents[Index];
  if (!Node.Core)
    return;
  const auto Wait = Node.Core->nextDeadline() - Node.VmClock.at(Time).Monotonic;
  const Instant When =
      Time +
      std::max<Instant>(static_cast<Instant>(static_cast<double>(Wait.count()) /
                                             Node.VmClock.Rate) +
                            1,
                        Millisecond);
  if (Node.NextTick > Time && Node.NextTick <= When)
    return;
  Node.NextTick = When;
  at(When, [this, Index, When, Run = Node.Run] {
    onAgent(Index, Run, [this, Index, When](Agent &Ticked) {
      if (Ticked.NextTick != When)
        return;
      Ticked.NextTick = -1;
      callCore(Index, [](OwnershipCore &Core, base::Now Now,
                         OwnershipSink &Sink) { Core.tick(Now, Sink); });
    });
  });
}

void Model::startAgent(size_t Index) {
  Agent &Node = Agents[Index];
  Node.Id = {(++LastId << 8) | 1};
  ++Node.Run;
  Node.PausedUntil = 0;
  Node.NextTick = -1;
  Node.Draining = Node.Drained = false;
  Node.View.clear();
  Node.Records.clear();
  Node.Random = std::make_unique<base::RandomSource>(Rng());
  Node.Core = std::make_unique<OwnershipCore>(
      OwnershipConfig{Node.Id, base::ServiceId{1}, Buckets, BalancerAddresses},
      *Node.Random, Node.VmClock.at(Time));
  for (const Agent &Other : Agents)
    if (Other.Core)
      Node.View[Other.Id] = info(Other);
  refreshView(Index);
  propagateState(Node.Id, messages::MemberState::Ready, 2 * Second);
}

void Model::addCounters(Agent &Node) {
  const OwnershipCounters &Counters = Node.Core->counters();
  Observed.Claims += Counters.Claims;
  Observed.Handovers += Counters.HandoversIn;
  Observed.Reclaims += Counters.Reclaims;
  Observed.Lapses += Counters.Lapses;
}

bool Model::recovered() const { return recoveryProblems().empty(); }

std::string Model::recoveryProblems() const {
  std::string Text;
  for (base::BucketIndex Bucket = 0; Bucket < Buckets; ++Bucket) {
    int Owners = 0;
    for (const Agent &Node : Agents)
      if (Node.Core &&
          Node.Core->authority(Bucket, Node.VmClock.at(Time)).Role ==
              messages::BucketRole::Owner)
        ++Owners;
    if (Owners != 1)
      Text += " bucket " + std::to_string(Bucket) + " has " +
              std::to_string(Owners) + " owners;";
  }
  const bool Successor = std::ranges::any_of(
      Agents, [](const Agent &Node) { return Node.Core && !Node.Draining; });
  for (const Agent &Node : Agents)
    if (Successor && Node.Core && Node.Draining && !Node.Drained)
      Text += " agent " + base::toString(Node.Id) + " has not drained;";
  return Text;
}

std::string Model::run() {
  for (size_t Index = 0; Index < Agents.size(); ++Index)
    at(random(0, 2 * Second), [this, Index] {
      if (!Agents[Index].Core)
        startAgent(Index);
    });
  scheduleRequests();
  scheduleFaults();
  const Instant LastCopy = FaultPhase + 8 * Second;
  while (!Events.empty() && Violation.empty()) {
    Event Next = Events.top();
    Events.pop();
    Time = Next.Time;
    if (Time > FaultPhase + RecoveryTimeout) {
      Violation =
          recoveryProblems().empty() ? "" : "no recovery:" + recoveryProblems();
      break;
    }
    Next.Body();
    if (Time > LastCopy && recovered())
      break;
  }
  for (Agent &Node : Agents)
    if (Node.Core)
      addCounters(Node);
  return Violation;
}

} // namespace burdockstream::ownership::model
