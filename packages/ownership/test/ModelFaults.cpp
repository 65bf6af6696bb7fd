// Faults and membership views of the simulation.
#include "Model.h"

#include "burdockstream/base/Hash.h"

#include <algorithm>

namespace burdockstream::ownership::model {

using messages::MemberState;

messages::MemberInfo Model::info(const Agent &Node) const {
  messages::MemberInfo Info;
  Info.Id = Node.Id;
  Info.State = Node.Draining ? MemberState::Draining : MemberState::Ready;
  Info.Service = base::ServiceId{1};
  return Info;
}

// Passes the membership view and the bucket table computed from it to the core.
void Model::refreshView(size_t Index) {
  Agent &Node = Agents[Index];
  std::vector<messages::MemberInfo> Members;
  for (const auto &[Id, Info] : Node.View)
    Members.push_back(Info);
  std::vector<base::DaemonId> Desired(Buckets);
  for (uint16_t Bucket = 0; Bucket < Buckets; ++Bucket) {
    uint64_t Best = 0;
    for (const messages::MemberInfo &Member : Members) {
      const uint64_t Score = base::hashPair(Bucket, Member.Id.Value, 7);
      if (Member.State == MemberState::Ready && Score > Best) {
        Best = Score;
        Desired[Bucket] = Member.Id;
      }
    }
  }
  callCore(Index, [&](OwnershipCore &Core, base::Now Now, OwnershipSink &Sink) {
    Core.setMembers(Members, Now, Sink);
    Core.setDesired(Desired, Now, Sink);
  });
}

MemberState Model::trueState(base::DaemonId Id) const {
  for (const Agent &Node : Agents)
    if (Node.Core && Node.Id == Id)
      return info(Node).State;
  return MemberState::Dead;
}

// After the fault phase only true states are applied: real membership views are
// versioned, so an outdated state does not replace a newer one.
void Model::setState(size_t Viewer, base::DaemonId Id, MemberState State) {
  onAgent(Viewer, Agents[Viewer].Run, [this, Viewer, Id, State](Agent &Node) {
    if (Id == Node.Id && State == MemberState::Dead)
      return;
    Node.View[Id].Id = Id;
    Node.View[Id].State = FaultsActive ? State : trueState(Id);
    if (FaultsActive && State == MemberState::Dead && chance(30))
      Node.View.erase(Id);
    refreshView(Viewer);
  });
}

// Each agent receives the state after a random delay of at most Slowest.
void Model::propagateState(base::DaemonId Id, MemberState State,
                           Instant Slowest) {
  for (size_t Viewer = 0; Viewer < Agents.size(); ++Viewer)
    if (Agents[Viewer].Core)
      at(Time + random(0, Slowest), [this, Viewer, Id, State] {
        if (Agents[Viewer].Core)
          setState(Viewer, Id, State);
      });
}

void Model::pause(size_t Index, Instant Length) {
  Agent &Node = Agents[Index];
  if (!Node.Core)
    return;
  Node.PausedUntil = std::max(Node.PausedUntil, Time + Length);
  const auto Id = Node.Id;
  if (Length > 6 * Second) {
    at(Time + 6 * Second,
       [this, Id] { propagateState(Id, MemberState::Dead, Second); });
    at(Node.PausedUntil, [this, Index, Id] {
      if (Agents[Index].Core && Agents[Index].Id == Id)
        propagateState(Id, info(Agents[Index]).State, 8 * Second);
    });
  }
}

void Model::crash(size_t Index) {
  Agent &Node = Agents[Index];
  if (!Node.Core)
    return;
  addCounters(Node);
  propagateState(Node.Id, MemberState::Dead, 8 * Second);
  Node.Core.reset();
  at(Time + random(0, 15 * Second), [this, Index] {
    if (!Agents[Index].Core)
      startAgent(Index);
  });
}

void Model::beginDrain(size_t Index) {
  onAgent(Index, Agents[Index].Run, [this, Index](Agent &Node) {
    Node.Draining = true;
    Node.View[Node.Id] = info(Node);
    refreshView(Index);
    callCore(Index, [](OwnershipCore &Core, base::Now Now,
                       OwnershipSink &Sink) { Core.beginDrain(Now, Sink); });
    propagateState(Node.Id, MemberState::Draining, 2 * Second);
  });
}

void Model::restartArbiters(const ArbiterNode &First) {
  for (ArbiterNode &Node : Arbiters)
    if (&Node == &First || chance(40))
      Node.Process = std::make_unique<Arbiter>(
          Node.Address, BalancerAddresses,
          Node.VmClock
              .at(Enabled.ArbiterRestartDelay ? Time : Time - 20 * Second)
              .Monotonic);
}

// Reports a running agent as dead for a while.
void Model::injectFalseSuspicion(size_t Index) {
  if (!Agents[Index].Core)
    return;
  propagateState(Agents[Index].Id, MemberState::Dead, 4 * Second);
  at(Time + random(4 * Second, 15 * Second),
     [this, Index, Id = Agents[Index].Id] {
       if (Agents[Index].Core && Agents[Index].Id == Id)
         propagateState(Id, info(Agents[Index]).State, 4 * Second);
     });
}

void Model::injectFault() {
  const auto Index =
      static_cast<size_t>(random(0, static_cast<Instant>(Agents.size()) - 1));
  Agent &Node = Agents[Index];
  ArbiterNode &Arbiter = Arbiters[base::randomBelow(Rng, Arbiters.size())];
  switch (base::randomBelow(Rng, 10)) {
  case 0:
    return pause(Index, random(100 * Millisecond, 18 * Second));
  case 1:
    return crash(Index);
  case 2:
    StoreDownUntil = Time + random(Second, 12 * Second);
    return;
  case 3:
    Node.CutFromPeers = Time + random(Second, 25 * Second);
    return;
  case 4:
    Node.CutFromArbiters = Time + random(Second, 15 * Second);
    return;
  case 5:
    Node.CutFromStore = Time + random(Second, 25 * Second);
    return;
  case 6:
    Arbiter.PausedUntil = Time + random(Second, 12 * Second);
    return;
  case 7:
    return restartArbiters(Arbiter);
  case 8:
    return injectFalseSuspicion(Index);
  default:
    if (Node.Core && !Node.Draining && chance(50))
      beginDrain(Index);
    return;
  }
}

void Model::scheduleFaults() {
  const auto Count = random(2, 14);
  for (Instant I = 0; I < Count; ++I)
    at(random(3 * Second, FaultPhase), [this] {
      if (FaultsActive)
        injectFault();
    });
  at(FaultPhase, [this] { endFaults(); });
}

void Model::endFaults() {
  FaultsActive = false;
  StoreDownUntil = Time;
  for (ArbiterNode &Node : Arbiters)
    Node.PausedUntil = Time;
  for (size_t Index = 0; Index < Agents.size(); ++Index) {
    Agent &Node = Agents[Index];
    Node.PausedUntil = std::min(Node.PausedUntil, Time);
    Node.CutFromPeers = Node.CutFromArbiters = Node.CutFromStore = Time;
    if (!Node.Core && (Index == 0 || chance(50)))
      startAgent(Index);
  }
  // Draining agents claim no buckets, so recovery needs another agent.
  if (std::ranges::none_of(Agents, [](const Agent &Node) {
        return Node.Core && !Node.Draining;
      })) {
    addCounters(Agents[0]);
    startAgent(0);
  }
  // Sets every view to the true state after 1 s, and again after 9 s, when all
  // delayed states have arrived.
  for (size_t Index = 0; Index < Agents.size(); ++Index)
    for (const Instant Wait : {Second, 9 * Second})
      at(Time + Wait, [this, Index] {
        if (!Agents[Index].Core)
          return;
        onAgent(Index, Agents[Index].Run, [this, Index](Agent &Node) {
          Node.View.clear();
          for (const Agent &Other : Agents)
            if (Other.Core)
              Node.View[Other.Id] = info(Other);
          refreshView(Index);
        });
      });
}

} // namespace burdockstream::ownership::model
