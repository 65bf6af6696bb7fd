// The part of AgentNode that moves buckets between agents and shuts the agent
// down.
#include "burdockstream/nodes/AgentNode.h"

#include "EndpointStates.h"

#include <algorithm>
#include <glog/logging.h>
#include <utility>

namespace burdockstream::nodes {

using messages::BucketRole;
using messages::MemberState;

namespace {

// Time for the callers' acknowledgments of notifications to arrive before a
// bucket is exported. A round trip to a caller takes 10 to 20 ms; a lost packet
// would take 2 s and is not waited for.
constexpr base::Duration ExportQuietTime = std::chrono::milliseconds(100);
// How long a stopping agent waits for a home to acknowledge its last state.
constexpr base::Duration ExitTimeout = std::chrono::seconds(3);

} // namespace

void AgentNode::performOwnership(base::Now Now, ActionSink &Out) {
  if (!Ownership)
    return;
  for (const ownership::OwnershipAction &Wanted :
       std::exchange(OwnershipOut, {}))
    perform(Wanted, Now, Out);
  refreshAuthorities(Now);
}

void AgentNode::perform(const ownership::OwnershipAction &Wanted, base::Now Now,
                        ActionSink &Out) {
  if (const auto *Ask = std::get_if<ownership::SendToArbiter>(&Wanted)) {
    std::visit(
        [&](const auto &Body) {
          Out.push_back(SendDatagram{Ask->Arbiter, Body});
        },
        Ask->Message);
  } else if (const auto *Tell = std::get_if<ownership::SendToPeer>(&Wanted)) {
    if (const auto *Ack =
            std::get_if<messages::BucketTransferAck>(&Tell->Message))
      Out.push_back(AcknowledgeTransfer{Tell->Peer.Control, *Ack});
    else
      Out.push_back(SendDatagram{
          Tell->Peer.Data, std::get<messages::OwnershipUpdate>(Tell->Message)});
  } else if (const auto *Read = std::get_if<ownership::ReadOwners>(&Wanted)) {
    Out.push_back(ReadOwners{Read->Operation});
  } else if (const auto *Swap = std::get_if<ownership::SwapOwners>(&Wanted)) {
    Out.push_back(SwapOwners{Swap->Operation, Swap->Expected, Swap->Record});
  } else if (const auto *Export =
                 std::get_if<ownership::ExportBuckets>(&Wanted)) {
    startExport(*Export, Now);
  } else if (const auto *Import =
                 std::get_if<ownership::ImportBuckets>(&Wanted)) {
    importBuckets(*Import, Now, Out);
  } else if (const auto *Changed =
                 std::get_if<ownership::BucketRoleChanged>(&Wanted)) {
    Requests.setEpoch(Changed->Bucket, Ownership->epoch(Changed->Bucket));
    if (Changed->After == BucketRole::Owner)
      Requests.resumeBucket(Changed->Bucket, Now, RequestsOut);
    Requests.setAuthority(Changed->Bucket,
                          Ownership->authority(Changed->Bucket, Now), Now,
                          RequestsOut);
  } else if (std::get_if<ownership::Drained>(&Wanted)) {
    BucketsGone = true;
  } else if (const auto *Blocked =
                 std::get_if<ownership::DrainBlocked>(&Wanted)) {
    LOG(WARNING) << "no other agent of " << Settings.Service << " can take "
                 << Blocked->Buckets
                 << " buckets; they stay here until the drain timeout";
  }
}

void AgentNode::startExport(const ownership::ExportBuckets &Wanted,
                            base::Now Now) {
  for (const ownership::ExportedBucket &Exported : Wanted.Buckets)
    Requests.freezeBucket(Exported.Bucket);
  Exports.push_back(PendingExport{Wanted.To, Wanted.Buckets,
                                  Now.Monotonic + ExportQuietTime});
}

bool AgentNode::isQuiet(const PendingExport &Export) const {
  return std::all_of(Export.Buckets.begin(), Export.Buckets.end(),
                     [this](const auto &Exported) {
                       return Requests.allNotificationsAcknowledged(
                           Exported.Bucket);
                     });
}

void AgentNode::finishExports(base::Now Now, ActionSink &Out) {
  for (auto It = Exports.begin(); It != Exports.end();) {
    if (Now.Monotonic < It->Deadline && !isQuiet(*It)) {
      ++It;
      continue;
    }
    messages::BucketTransfer Transfer{Settings.Self.Id, It->To.Id, {}};
    for (const ownership::ExportedBucket &Exported : It->Buckets) {
      messages::BucketSnapshot Snapshot = Requests.exportBucket(
          Exported.Bucket, It->To.Id, Exported.OwnerEpoch, Now);
      Snapshot.UnknownBeforeMilliseconds = Exported.UnknownBefore.Milliseconds;
      Snapshot.UnknownFromMilliseconds = Exported.UnknownFrom.Milliseconds;
      Transfer.Buckets.push_back(std::move(Snapshot));
    }
    Out.push_back(TransferBuckets{It->To.Control, std::move(Transfer)});
    It = Exports.erase(It);
  }
}

void AgentNode::onTransfer(const messages::BucketTransfer &Transfer,
                           base::Now Now, ActionSink &Out) {
  if (!Ownership)
    return; // the sender repeats the transfer or keeps the buckets
  CurrentTransfer = &Transfer;
  Ownership->handle(Transfer, Now, OwnershipOut);
  performOwnership(Now, Out);
  CurrentTransfer = nullptr;
  performRequests(Out);
}

void AgentNode::importBuckets(const ownership::ImportBuckets &Wanted,
                              base::Now Now, ActionSink &) {
  CHECK(CurrentTransfer) << "an import without a transfer";
  for (const messages::BucketSnapshot &Snapshot : CurrentTransfer->Buckets)
    if (std::find(Wanted.Buckets.begin(), Wanted.Buckets.end(),
                  Snapshot.Bucket) != Wanted.Buckets.end())
      Requests.importBucket(Snapshot, Now, RequestsOut);
}

void AgentNode::onTransferAck(const messages::BucketTransferAck &Ack,
                              base::Now Now, ActionSink &Out) {
  if (!Ownership)
    return;
  Ownership->handle(Ack, Now, OwnershipOut);
  performOwnership(Now, Out);
  for (const base::BucketIndex Bucket : Ack.Buckets)
    if (Bucket < Config->Buckets &&
        Ownership->authority(Bucket, Now).Role == BucketRole::NotOwner)
      Requests.dropBucket(Bucket);
  performRequests(Out);
}

void AgentNode::announce(internal::EndpointEvent Event, base::Now Now) {
  const auto Next = internal::nextState(Membership.self().State, Event);
  CHECK(Next) << "endpoint chart: the event is not allowed in the state";
  Membership.setState(*Next, Now, MembershipOut);
}

void AgentNode::beginShutdown(base::Now Now, ActionSink &Out) {
  if (ShuttingDown)
    return;
  ShuttingDown = true;
  DrainDeadline =
      Now.Monotonic +
      (Config ? Config->DrainTimeout : base::Duration(std::chrono::seconds(1)));
  LOG(INFO) << "agent of " << Settings.Service << " drains";
  announce(internal::EndpointEvent::Drain, Now);
  Requests.startDrain(Now);
  if (Ownership)
    Ownership->beginDrain(Now, OwnershipOut);
  else
    BucketsGone = true;
  performMembership(Now, Out);
  refreshMembers(Now, Out);
  continueShutdown(Now, Out);
}

void AgentNode::continueShutdown(base::Now Now, ActionSink &Out) {
  const bool Stopping = Membership.self().State == MemberState::Stopped;
  if (!Stopping) {
    const bool Empty = BucketsGone && Exports.empty() && Requests.isIdle();
    if (!Empty && Now.Monotonic < DrainDeadline)
      return;
    DrainDeadline = base::Never;
    ExitDeadline = Now.Monotonic + ExitTimeout;
    announce(internal::EndpointEvent::Stop, Now);
    performMembership(Now, Out);
    return;
  }
  if (!Membership.stateAcknowledged() && Now.Monotonic < ExitDeadline)
    return;
  ExitDeadline = base::Never;
  LOG(INFO) << "agent of " << Settings.Service << " has stopped";
  Out.push_back(Finished{});
}

} // namespace burdockstream::nodes
