// Callers, request handling and endpoints of the simulation.
#include "Model.h"

#include <algorithm>

namespace burdockstream::ownership::model {
namespace {

using messages::BucketAuthority;
using messages::BucketRole;
using messages::RunState;

constexpr int64_t BoundMilliseconds = 2'000;
constexpr Instant HoldDuration = 500 * Millisecond;

} // namespace

// Copies of a request are sent until its deadline by the caller's clock and
// take up to 2 s, so they arrive while the request record is still retained.
void Model::scheduleRequests() {
  Requests.resize(60);
  for (size_t Number = 0; Number < Requests.size(); ++Number) {
    Request &Item = Requests[Number];
    const Instant Issue = random(2 * Second, FaultPhase);
    const Instant Timeout = random(Second, 6 * Second);
    const Clock Caller{1, random(-1'000, 1'000)};
    Item.Bucket = static_cast<base::BucketIndex>(random(0, Buckets - 1));
    Item.Issued = Caller.at(Issue).Wall;
    Item.Deadline = Caller.at(Issue + Timeout).Wall;
    const auto Copies = random(2, 5);
    for (Instant Copy = 0; Copy < Copies; ++Copy) {
      const Instant Sent = Issue + (Copy == 0 ? 0 : random(0, Timeout));
      const Instant Arrival =
          Sent + (chance(90) ? random(Millisecond, 20 * Millisecond)
                             : random(0, 2 * Second));
      const auto Index = static_cast<size_t>(
          random(0, static_cast<Instant>(Agents.size()) - 1));
      at(Arrival, [this, Index, Number, Arrival] {
        if (Agents[Index].Core)
          receive(Index, Number, 0, Arrival);
      });
    }
  }
}

void Model::receive(size_t Index, size_t Number, int Hops, Instant HeldSince) {
  onAgent(Index, Agents[Index].Run, [=, this](Agent &Node) {
    const Request &Item = Requests[Number];
    const base::Now Now = Node.VmClock.at(Time);
    if (Node.Records.contains(Number) ||
        Now.Wall.Milliseconds >=
            Item.Deadline.Milliseconds + 2 * BoundMilliseconds)
      return;
    BucketAuthority Authority = Node.Core->authority(Item.Bucket, Now);
    const bool LeaseHeld = Now.Monotonic < Node.Core->leaseEnd();
    if (Authority.Role == BucketRole::Suspended &&
        (!Enabled.Lease || (!Enabled.Affirmation && LeaseHeld))) {
      Authority.Role = BucketRole::Owner;
      Authority.UnknownFrom = BucketAuthority().UnknownFrom;
      Authority.LeaseEnd = Enabled.Lease ? Node.Core->leaseEnd() : base::Never;
    }
    if (Authority.Role == BucketRole::Pending &&
        Time - HeldSince < HoldDuration) {
      at(Time + 50 * Millisecond, [=, this] {
        if (Agents[Index].Core)
          receive(Index, Number, Hops, HeldSince);
      });
      return;
    }
    if (Authority.Role != BucketRole::NotOwner) {
      runOrRefuse(Index, Number, Authority);
      return;
    }
    for (size_t Other = 0; Other < Agents.size(); ++Other)
      if (Hops == 0 && Agents[Other].Core &&
          Agents[Other].Id == Authority.Owner)
        transmit([=, this] {
          if (Agents[Other].Core)
            receive(Other, Number, 1, Time);
        });
  });
}

void Model::refuse(Agent &Node, size_t Number) {
  ++Observed.Refusals;
  Node.Records[Number] = RunState::Unknown;
  if (++Requests[Number].Refusals > 0 && Requests[Number].Starts > 0)
    Violation = "request refused as not run after it was started";
}

void Model::runOrRefuse(size_t Index, size_t Number,
                        const BucketAuthority &Authority) {
  Agent &Node = Agents[Index];
  const Request &Item = Requests[Number];
  const int64_t Wall = Node.VmClock.at(Time).Wall.Milliseconds;
  // The request may have run elsewhere and is answered as unknown; one issued
  // in the future is answered as malformed.
  if (Item.Issued < Authority.UnknownBefore ||
      Item.Issued >= Authority.UnknownFrom ||
      Item.Issued.Milliseconds > Wall + BoundMilliseconds)
    return;
  if (Authority.Role != BucketRole::Owner ||
      Wall >= Item.Deadline.Milliseconds || chance(10)) {
    refuse(Node, Number);
    return;
  }
  Node.Records[Number] = RunState::Running;
  const base::Epoch Epoch = Node.Core->epoch(Item.Bucket);
  // The process may be paused between the decision and the send.
  if (FaultsActive && chance(5))
    pause(Index, random(100 * Millisecond, 18 * Second));
  const Instant Sent = std::max(Time, Node.PausedUntil);
  at(Sent + (chance(95) ? random(0, Millisecond) : random(0, Second)),
     [=, this, Runner = Node.Id, NotAfter = Authority.LeaseEnd] {
       startAtEndpoint(Index, Runner, Number, Epoch, NotAfter);
     });
}

void Model::startAtEndpoint(size_t Index, base::DaemonId Runner, size_t Number,
                            base::Epoch Epoch, base::TimePoint NotAfter) {
  Request &Item = Requests[Number];
  const base::Now Now = Agents[Index].VmClock.at(Time);
  if (Enabled.NotAfterCheck &&
      (Now.Monotonic >= NotAfter || Now.Wall >= Item.Deadline)) {
    ++Observed.Rejections;
    return;
  }
  ++Observed.Starts;
  if (++Item.Starts > 1)
    Violation = "request started twice";
  if (Item.Refusals > 0)
    Violation = "request started after it was refused as not run";
  const auto Claimed = ReplacedAt.find({Item.Bucket, Epoch});
  if (Enabled.ReportLateStarts && Claimed != ReplacedAt.end() &&
      !Exported.contains({Runner, Item.Bucket, Epoch}))
    Violation = "request started after its bucket was claimed by another agent";
}

} // namespace burdockstream::ownership::model
