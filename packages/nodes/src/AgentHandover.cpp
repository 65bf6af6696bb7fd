// The part of AgentNode that hands buckets over to other agents and shuts the
// agent down gracefully.
#include "burdockstream/nodes/AgentNode.h"

#include "EndpointStates.h"

#include <algorithm>
#include <glog/logging.h>
#include <utility>

namespace burdockstream::nodes {

using messages::BucketRole;
using messages::MemberState;

namespace {

// How long an export waits for callers to acknowledge notifications. A round
// trip to a caller takes 10 to 20 ms. A retransmission after packet loss would
// take 2 s, which is not waited for.
constexpr base::Duration NotificationAckTimeout =
    std::chrono::milliseconds(100);
// How long an agent waits, before it exits, for a balancer to acknowledge that
// it has stopped.
constexpr base::Duration StoppedAckTimeout = std::chrono::seconds(3);

} // namespace

void AgentNode::performOwnership(base::Now Now, ActionSink &Out) {
  if (!Ownership)
    return;
  for (const ownership::OwnershipAction &NextAction :
       std::exchange(OwnershipOut, {}))
    perform(NextAction, Now, Out);
  refreshAuthorities(Now);
}

void AgentNode::perform(const ownership::OwnershipAction &NextAction,
                        base::Now Now, ActionSink &Out) {
  if (const auto *ToArbiter =
          std::get_if<ownership::SendToArbiter>(&NextAction)) {
    std::visit(
        [&](const auto &Body) {
          Out.push_back(SendDatagram{ToArbiter->Arbiter, Body});
        },
        ToArbiter->Message);
  } else if (const auto *ToPeer =
                 std::get_if<ownership::SendToPeer>(&NextAction)) {
    if (const auto *Ack =
            std::get_if<messages::BucketTransferAck>(&ToPeer->Message))
      Out.push_back(AcknowledgeTransfer{ToPeer->Peer.Control, *Ack});
    else
      Out.push_back(
          SendDatagram{ToPeer->Peer.Data,
                       std::get<messages::OwnershipUpdate>(ToPeer->Message)});
  } else if (const auto *Read =
                 std::get_if<ownership::ReadOwners>(&NextAction)) {
    Out.push_back(ReadOwners{Read->Operation});
  } else if (const auto *Swap =
                 std::get_if<ownership::SwapOwners>(&NextAction)) {
    Out.push_back(SwapOwners{Swap->Operation, Swap->Expected, Swap->Record});
  } else if (const auto *Export =
                 std::get_if<ownership::ExportBuckets>(&NextAction)) {
    startExport(*Export, Now);
  } else if (const auto *Import =
                 std::get_if<ownership::ImportBuckets>(&NextAction)) {
    importBuckets(*Import, Now, Out);
  } else if (const auto *Changed =
                 std::get_if<ownership::BucketRoleChanged>(&NextAction)) {
    Requests.setEpoch(Changed->Bucket, Ownership->epoch(Changed->Bucket));
    if (Changed->After == BucketRole::Owner)
      Requests.resumeBucket(Changed->Bucket, Now, RequestsOut);
    Requests.setAuthority(Changed->Bucket,
                          Ownership->authority(Changed->Bucket, Now), Now,
                          RequestsOut);
  } else if (std::get_if<ownership::Drained>(&NextAction)) {
    BucketsDrained = true;
  } else if (const auto *Blocked =
                 std::get_if<ownership::DrainBlocked>(&NextAction)) {
    LOG(WARNING) << "no other agent of " << Settings.Service
                 << " can take over " << Blocked->Buckets
                 << " buckets; this agent keeps them until the drain timeout";
  }
}

void AgentNode::startExport(const ownership::ExportBuckets &Export,
                            base::Now Now) {
  for (const ownership::ExportedBucket &Exported : Export.Buckets)
    Requests.freezeBucket(Exported.Bucket);
  Exports.push_back(PendingExport{Export.To, Export.Buckets,
                                  Now.Monotonic + NotificationAckTimeout});
}

bool AgentNode::notificationsAcknowledged(const PendingExport &Export) const {
  return std::all_of(Export.Buckets.begin(), Export.Buckets.end(),
                     [this](const auto &Exported) {
                       return Requests.allNotificationsAcknowledged(
                           Exported.Bucket);
                     });
}

void AgentNode::finishExports(base::Now Now, ActionSink &Out) {
  for (auto It = Exports.begin(); It != Exports.end();) {
    if (Now.Monotonic < It->Deadline && !notificationsAcknowledged(*It)) {
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
    return; // the sender retries the transfer or keeps the buckets
  CurrentTransfer = &Transfer;
  Ownership->handle(Transfer, Now, OwnershipOut);
  performOwnership(Now, Out);
  CurrentTransfer = nullptr;
  performRequests(Out);
}

void AgentNode::importBuckets(const ownership::ImportBuckets &Import,
                              base::Now Now, ActionSink &) {
  CHECK(CurrentTransfer) << "buckets imported outside of a bucket transfer";
  for (const messages::BucketSnapshot &Snapshot : CurrentTransfer->Buckets)
    if (std::find(Import.Buckets.begin(), Import.Buckets.end(),
                  Snapshot.Bucket) != Import.Buckets.end())
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

void AgentNode::applyEvent(internal::EndpointEvent Event, base::Now Now) {
  const auto Next = internal::nextState(Membership.self().State, Event);
  CHECK(Next) << "the endpoint state machine does not allow this event";
  Membership.setState(*Next, Now, MembershipOut);
}

void AgentNode::beginShutdown(base::Now Now, ActionSink &Out) {
  if (ShuttingDown)
    return;
  ShuttingDown = true;
  DrainDeadline =
      Now.Monotonic +
      (Config ? Config->DrainTimeout : base::Duration(std::chrono::seconds(1)));
  LOG(INFO) << "agent of " << Settings.Service << " is draining";
  applyEvent(internal::EndpointEvent::Drain, Now);
  Requests.startDrain(Now);
  if (Ownership)
    Ownership->beginDrain(Now, OwnershipOut);
  else
    BucketsDrained = true;
  performMembership(Now, Out);
  refreshMembers(Now, Out);
  continueShutdown(Now, Out);
}

void AgentNode::continueShutdown(base::Now Now, ActionSink &Out) {
  const bool Stopping = Membership.self().State == MemberState::Stopped;
  if (!Stopping) {
    const bool Empty = BucketsDrained && Exports.empty() && Requests.isIdle();
    if (!Empty && Now.Monotonic < DrainDeadline)
      return;
    DrainDeadline = base::Never;
    ExitDeadline = Now.Monotonic + StoppedAckTimeout;
    applyEvent(internal::EndpointEvent::Stop, Now);
    performMembership(Now, Out);
    return;
  }
  if (!Membership.stateAcknowledged() && Now.Monotonic < ExitDeadline)
    return;
  ExitDeadline = base::Never;
  LOG(INFO) << "agent of " << Settings.Service << " has stopped";
  Out.push_back(ShutdownComplete{});
}

} // namespace burdockstream::nodes
