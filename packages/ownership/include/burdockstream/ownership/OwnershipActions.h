// The actions that OwnershipCore, which does no I/O, requests from its caller.
// The caller performs them in order before it passes the next event to the
// core.
#ifndef BURDOCKSTREAM_OWNERSHIP_OWNERSHIPACTIONS_H
#define BURDOCKSTREAM_OWNERSHIP_OWNERSHIPACTIONS_H

#include "burdockstream/messages/BucketAuthority.h"
#include "burdockstream/messages/Messages.h"
#include "burdockstream/ownership/OwnersRecord.h"

#include <cstdint>
#include <variant>
#include <vector>

namespace burdockstream::ownership {

// Send a LeaseRequest or FenceRequest to a balancer by UDP.
struct SendToArbiter {
  base::SocketAddress Arbiter;
  std::variant<messages::LeaseRequest, messages::FenceRequest> Message;
};

// Send an OwnershipUpdate by UDP to Peer.Data, or a BucketTransferAck by
// JSON-RPC to Peer.Control. The acknowledgement may instead be returned as the
// result of the BucketTransfer call; the sender of that call then passes it to
// its own core as an event.
struct SendToPeer {
  messages::MemberInfo Peer;
  std::variant<messages::OwnershipUpdate, messages::BucketTransferAck> Message;
};

// Read the ownership record with a linearizable read and pass the outcome to
// OwnershipCore::handle(StoreResult). At most one store operation is in flight.
struct ReadOwners {
  uint64_t Operation = 0;
};

// Replace the record by compare-and-swap if its revision equals Expected (zero:
// if the key does not exist).
struct SwapOwners {
  uint64_t Operation = 0;
  base::Revision Expected = 0;
  OwnersRecord Record;
};

// State of an exported bucket, except for its request records.
struct ExportedBucket {
  base::BucketIndex Bucket = 0;
  base::Epoch OwnerEpoch = 0;   // for BucketSnapshot::OwnerEpoch
  base::WallTime UnknownBefore; // for UnknownBeforeMilliseconds
  base::WallTime UnknownFrom;   // for UnknownFromMilliseconds
};

// Build a BucketSnapshot of each bucket, including the records of requests that
// were refused as not run, and send one BucketTransfer to the new owner. The
// roles of the buckets have already changed, so no further request starts here.
struct ExportBuckets {
  messages::MemberInfo To;
  std::vector<ExportedBucket> Buckets;
};

// Merge the snapshots of Buckets, contained in the BucketTransfer that is being
// handled, into the local request records and subscriptions. A newer local
// record must not be replaced.
struct ImportBuckets {
  base::DaemonId From;
  std::vector<base::BucketIndex> Buckets;
};

struct BucketRoleChanged {
  base::BucketIndex Bucket = 0;
  messages::BucketRole Before = messages::BucketRole::NotOwner;
  messages::BucketRole After = messages::BucketRole::NotOwner;
};

// The agent is draining and owns no bucket any more: the process may stop.
struct Drained {};

// The agent is draining, but no other agent can take over this number of
// buckets, so it keeps them. Reported again when the number changes.
struct DrainBlocked {
  uint32_t Buckets = 0;
};

using OwnershipAction = std::variant<SendToArbiter, SendToPeer, ReadOwners,
                                     SwapOwners, ExportBuckets, ImportBuckets,
                                     BucketRoleChanged, Drained, DrainBlocked>;

using OwnershipSink = std::vector<OwnershipAction>;

enum class StoreOutcome : uint8_t {
  Success,     // read: Record and StoreRevision are set (revision zero: key
               // does not exist); swap: StoreRevision is the new revision
  Conflict,    // swap only: not applied; Record and StoreRevision are current
  Unavailable, // not applied, and will not be applied later
  Unknown,     // swap: may have been applied or may be applied later; read:
               // no answer
};

// The outcome of ReadOwners or SwapOwners.
struct StoreResult {
  uint64_t Operation = 0;
  StoreOutcome Outcome = StoreOutcome::Unavailable;
  base::Revision StoreRevision = 0;
  OwnersRecord Record;
};

} // namespace burdockstream::ownership

#endif
