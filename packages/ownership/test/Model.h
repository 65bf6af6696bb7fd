// Simulation of one service in virtual time: agents with real OwnershipCore
// objects and real arbiters, but simulated store, network, request handling and
// endpoints. A schedule is determined by its seed.
#ifndef BURDOCKSTREAM_OWNERSHIP_TEST_MODEL_H
#define BURDOCKSTREAM_OWNERSHIP_TEST_MODEL_H

#include "burdockstream/ownership/Arbiter.h"
#include "burdockstream/ownership/OwnershipCore.h"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>

namespace burdockstream::ownership::model {

// True time in microseconds since the start of the schedule.
using Instant = int64_t;
inline constexpr Instant Millisecond = 1'000;
inline constexpr Instant Second = 1'000'000;
inline constexpr Instant FaultPhase = 40 * Second;
inline constexpr Instant RecoveryTimeout = 30 * Second;

// Safety mechanisms of the protocol. A test disables one of them to show that
// the schedule search then finds a violation.
struct Protections {
  bool NotAfterCheck = true;       // the endpoint rejects late starts
  bool ArbiterRestartDelay = true; // arbiters do not answer after a restart
  bool Affirmation = true;         // false: a new lease alone ends a suspension
  bool Lease = true;               // false: an owner by record needs no lease
  // Not a safety mechanism: whether a start by an agent whose bucket has been
  // claimed by another one is a violation even if the request runs only once.
  bool ReportLateStarts = true;
};

// Numbers of events that a schedule contained.
struct Coverage {
  uint64_t Claims = 0, Handovers = 0, Reclaims = 0, Lapses = 0, Provisional = 0,
           Starts = 0, Refusals = 0, Rejections = 0, Drains = 0, LateWrites = 0;
};

struct Clock {
  double Rate = 1;        // of the monotonic clock, relative to true time
  int64_t WallOffset = 0; // milliseconds
  base::Now at(Instant TrueTime) const;
};

struct Request {
  base::BucketIndex Bucket = 0;
  base::WallTime Issued;
  base::WallTime Deadline;
  int Starts = 0;
  int Refusals = 0;
};

// A VM with an endpoint and an agent process, which may be restarted.
struct Agent {
  base::DaemonId Id;
  Clock VmClock;
  std::unique_ptr<base::RandomSource> Random;
  std::unique_ptr<OwnershipCore> Core; // null: not running
  uint64_t Run = 0; // incremented at each start of the process
  Instant PausedUntil = 0;
  Instant CutFromPeers = 0, CutFromArbiters = 0, CutFromStore = 0;
  Instant NextTick = -1;
  bool Draining = false;
  bool Drained = false;
  std::map<base::DaemonId, messages::MemberInfo> View;
  // By request number. State Unknown: refused as not run.
  std::map<size_t, messages::RunState> Records;
};

struct ArbiterNode {
  base::SocketAddress Address;
  Clock VmClock;
  std::unique_ptr<Arbiter> Process;
  Instant PausedUntil = 0;
};

class Model {
public:
  Model(uint64_t Seed, Protections Enabled);

  // Runs the schedule. Returns the violated invariant, or an empty string.
  std::string run();

  Coverage Observed;

private:
  struct Event {
    Instant Time;
    uint64_t Order;
    std::function<void()> Body;
    bool operator<(const Event &Other) const {
      return std::tie(Time, Order) > std::tie(Other.Time, Other.Order);
    }
  };

  // Model.cpp
  void at(Instant Time, std::function<void()> Body);
  Instant random(Instant Low, Instant High);
  bool chance(unsigned Percent);
  void onAgent(size_t Index, uint64_t Run, std::function<void(Agent &)> Body);
  void callCore(size_t Index,
                const std::function<void(OwnershipCore &, base::Now,
                                         OwnershipSink &)> &Body);
  void armTick(size_t Index);
  void startAgent(size_t Index);
  void addCounters(Agent &Node);
  bool recovered() const;
  std::string recoveryProblems() const;

  // ModelNetwork.cpp
  Instant delay();
  void transmit(std::function<void()> Body);
  void perform(size_t Index, OwnershipSink &Sink);
  void execute(size_t Index, const SendToArbiter &Action);
  void execute(size_t Index, const SendToPeer &Action);
  void execute(size_t Index, const ReadOwners &Action);
  void execute(size_t Index, const SwapOwners &Action);
  void execute(size_t Index, const ExportBuckets &Action);
  void execute(size_t Index, const ImportBuckets &Action);
  void execute(size_t Index, const BucketRoleChanged &Action);
  void execute(size_t Index, const Drained &Action);
  void execute(size_t Index, const DrainBlocked &Action);
  StoreResult applySwap(const SwapOwners &Action);
  void completeStoreOperation(size_t Index, uint64_t Run, Instant Delay,
                              StoreResult Result);
  template <typename MessageT>
  void deliver(base::DaemonId To, Instant SenderCut, const MessageT &Message);

  // ModelFaults.cpp
  void scheduleFaults();
  void injectFault();
  void restartArbiters(const ArbiterNode &First);
  void injectFalseSuspicion(size_t Index);
  void pause(size_t Index, Instant Length);
  void crash(size_t Index);
  void beginDrain(size_t Index);
  void setState(size_t Viewer, base::DaemonId Id, messages::MemberState State);
  messages::MemberState trueState(base::DaemonId Id) const;
  void propagateState(base::DaemonId Id, messages::MemberState State,
                      Instant Slowest);
  void refreshView(size_t Index);
  void endFaults();
  messages::MemberInfo info(const Agent &Node) const;

  // ModelRequests.cpp
  void scheduleRequests();
  void receive(size_t Index, size_t Number, int Hops, Instant HeldSince);
  void runOrRefuse(size_t Index, size_t Number,
                   const messages::BucketAuthority &Authority);
  void refuse(Agent &Node, size_t Number);
  void startAtEndpoint(size_t Index, base::DaemonId Runner, size_t Number,
                       base::Epoch Epoch, base::TimePoint NotAfter);

  Protections Enabled;
  base::RandomSource Rng;
  Instant Time = 0;
  uint64_t EventCount = 0;
  bool FaultsActive = true;
  unsigned LossPercent = 0, SlowPercent = 0, StoreFaultPercent = 0;
  std::priority_queue<Event> Events;
  std::vector<base::SocketAddress> BalancerAddresses;
  std::vector<ArbiterNode> Arbiters;
  std::vector<Agent> Agents;
  std::vector<Request> Requests;
  uint16_t Buckets = 3;
  uint64_t LastId = 0;
  OwnersRecord Stored;
  base::Revision StoredRevision = 0;
  Instant StoreDownUntil = 0;
  const messages::BucketTransfer *TransferInProgress = nullptr;
  // (bucket, epoch) -> time at which the record replaced that owner.
  std::map<std::pair<base::BucketIndex, base::Epoch>, Instant> ReplacedAt;
  std::set<std::tuple<base::DaemonId, base::BucketIndex, base::Epoch>> Exported;
  std::string Violation;
};

} // namespace burdockstream::ownership::model

#endif
