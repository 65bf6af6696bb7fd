// Typed messages exchanged between daemons. Each struct is packed by msgpack as
// an array of its fields in the listed order; MessageCodec.h frames,
// authenticates and decodes them.
#ifndef BURDOCKSTREAM_MESSAGES_MESSAGES_H
#define BURDOCKSTREAM_MESSAGES_MESSAGES_H

#include "burdockstream/base/Ids.h"
#include "burdockstream/base/SocketAddress.h"
#include "burdockstream/messages/Pack.h"
#include "burdockstream/messages/VariantPack.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace burdockstream::messages {

using Bytes = std::vector<uint8_t>;

enum class Role : uint8_t { Balancer, Agent };

enum class MemberState : uint8_t {
  Starting,
  Ready,
  Draining,
  Stopped,
  Suspect,
  Dead
};

// A datagram of a caller, forwarded by a balancer to the agent that owns the
// caller's bucket.
struct Forward {
  base::ServiceId Service;
  base::BucketIndex Bucket = 0;
  base::SocketAddress Caller;
  base::SocketAddress
      Ingress;      // data address of the balancer that received the datagram
  uint8_t Hops = 0; // number of times that an agent has forwarded the message
  Bytes Payload;
  MSGPACK_DEFINE_ARRAY(Service, Bucket, Caller, Ingress, Hops, Payload)
};

// A datagram from an agent to a caller, which a balancer sends from
// ServiceAddress.
struct Reply {
  base::SocketAddress Caller;
  base::SocketAddress ServiceAddress;
  Bytes Payload;
  MSGPACK_DEFINE_ARRAY(Caller, ServiceAddress, Payload)
};

// Membership entry of one daemon. On merging, the entry with the higher Version
// wins.
struct MemberInfo {
  base::DaemonId Id;
  uint64_t Version = 0;
  Role Kind = Role::Agent;
  MemberState State = MemberState::Starting;
  base::ServiceId Service; // agents only
  base::SocketAddress Data;
  base::SocketAddress Control; // JSON-RPC over HTTP
  std::string FailureDomain;
  uint16_t Slots = 0;
  uint16_t LoadPercent = 0; // as reported by the endpoint; advisory
  MSGPACK_DEFINE_ARRAY(Id, Version, Kind, State, Service, Data, Control,
                       FailureDomain, Slots, LoadPercent)
};

// A stored configuration record. Body is the JSON text written by the
// operators.
struct RecordEntry {
  std::string Service;
  base::Revision StoreRevision = 0;
  std::string Body;
  MSGPACK_DEFINE_ARRAY(Service, StoreRevision, Body)
};

// Announcement of an agent to one of its home balancers, which detect its
// failure.
struct Announce {
  MemberInfo Self;
  base::Revision KnownRecordRevision = 0;
  // The sender's wall clock, for checking the clock offset.
  int64_t WallMilliseconds = 0;
  MSGPACK_DEFINE_ARRAY(Self, KnownRecordRevision, WallMilliseconds)
};

struct AnnounceAck {
  int64_t EchoedWallMilliseconds = 0; // from the Announce
  int64_t WallMilliseconds = 0;       // the balancer's wall clock
  std::vector<MemberInfo> ServiceMembers;
  std::vector<MemberInfo> Balancers;
  std::vector<RecordEntry>
      Records; // at most one: sent only if the agent's copy is older
  MSGPACK_DEFINE_ARRAY(EchoedWallMilliseconds, WallMilliseconds, ServiceMembers,
                       Balancers, Records)
};

struct Probe {
  uint64_t Sequence = 0;
  MemberInfo Self;
  MSGPACK_DEFINE_ARRAY(Sequence, Self)
};

struct ProbeAck {
  uint64_t Sequence = 0;
  MemberInfo Self;
  MSGPACK_DEFINE_ARRAY(Sequence, Self)
};

// Asks the receiver to probe Target and to relay the acknowledgement.
struct IndirectProbe {
  uint64_t Sequence = 0;
  base::SocketAddress Target;
  MSGPACK_DEFINE_ARRAY(Sequence, Target)
};

// Gossip: changed entries that a balancer sends to other balancers.
struct Rumor {
  std::vector<MemberInfo> Members;
  std::vector<RecordEntry> Records;
  MSGPACK_DEFINE_ARRAY(Members, Records)
};

// Anti-entropy digest: hashes of groups of members and records, by which two
// balancers find the entries that differ between them.
struct Digest {
  std::vector<uint64_t> MemberGroups;
  std::vector<uint64_t> RecordGroups;
  MSGPACK_DEFINE_ARRAY(MemberGroups, RecordGroups)
};

// The entries of the groups whose digests differ. If WantReply is set, the
// receiver answers with its own entries of these groups.
struct DigestDiff {
  std::vector<uint16_t> MemberGroups;
  std::vector<uint16_t> RecordGroups;
  std::vector<MemberInfo> Members;
  std::vector<RecordEntry> Records;
  bool WantReply = false;
  MSGPACK_DEFINE_ARRAY(MemberGroups, RecordGroups, Members, Records, WantReply)
};

struct LeaseRequest {
  base::DaemonId Agent;
  base::ServiceId Service;
  uint64_t Sequence = 0;
  // Sender and receiver must compute the same list of arbiters.
  uint64_t ArbiterListHash = 0;
  MSGPACK_DEFINE_ARRAY(Agent, Service, Sequence, ArbiterListHash)
};

struct LeaseGrant {
  base::DaemonId Agent;
  base::SocketAddress Arbiter;
  uint64_t Sequence = 0;
  bool Granted = false;
  MSGPACK_DEFINE_ARRAY(Agent, Arbiter, Sequence, Granted)
};

// Asks an arbiter to confirm that Target holds no lease grant and will not be
// given one.
struct FenceRequest {
  base::DaemonId Claimant;
  base::DaemonId Target;
  base::ServiceId Service;
  uint64_t Sequence = 0;
  uint64_t ArbiterListHash = 0;
  MSGPACK_DEFINE_ARRAY(Claimant, Target, Service, Sequence, ArbiterListHash)
};

struct FenceConsent {
  base::DaemonId Target;
  base::SocketAddress Arbiter;
  uint64_t Sequence = 0;
  bool Consented = false;
  MSGPACK_DEFINE_ARRAY(Target, Arbiter, Sequence, Consented)
};

// Recorded state of a non-idempotent request.
enum class RunState : uint8_t { Running, Answered, Unknown };

// Record of one non-idempotent request, kept so that it runs at most once.
struct RequestRecord {
  base::SocketAddress Caller;
  std::string RequestId;
  int64_t IssuedMilliseconds = 0;
  int64_t DeadlineMilliseconds = 0;
  RunState State = RunState::Running;
  base::DaemonId Runner; // the agent that sent the request to its endpoint
  Bytes Answer; // encoded CoAP response (code, options, payload) once answered
  MSGPACK_DEFINE_ARRAY(Caller, RequestId, IssuedMilliseconds,
                       DeadlineMilliseconds, State, Runner, Answer)
};

// An active CoAP Observe subscription (RFC 7641).
struct Subscription {
  base::SocketAddress Caller;
  Bytes Token;
  std::string Path;
  std::string Query;
  uint32_t LastDelivered =
      0; // number of the last update that the caller acknowledged
  // The update that was sent but not acknowledged, if any. After a handover the
  // new owner resends it with the same message id, so that a caller that
  // already received it detects the duplicate.
  bool HasSent = false;
  uint32_t SentNumber = 0;
  uint16_t SentMessageId = 0;
  MSGPACK_DEFINE_ARRAY(Caller, Token, Path, Query, LastDelivered, HasSent,
                       SentNumber, SentMessageId)
};

// State of a bucket that its old owner hands over to the new owner.
struct BucketSnapshot {
  base::ServiceId Service;
  base::BucketIndex Bucket = 0;
  base::Epoch OwnerEpoch = 0; // the old owner's epoch
  std::vector<RequestRecord> Requests;
  std::vector<Subscription> Subscriptions;
  // The old owner's BucketAuthority::UnknownBefore. Requests contains every
  // request issued later that was started.
  int64_t UnknownBeforeMilliseconds = 0;
  // The old owner is guaranteed to have owned the bucket until this time. Until
  // the new owner is confirmed, it cannot know of requests issued later.
  int64_t UnknownFromMilliseconds = 0;
  MSGPACK_DEFINE_ARRAY(Service, Bucket, OwnerEpoch, Requests, Subscriptions,
                       UnknownBeforeMilliseconds, UnknownFromMilliseconds)
};

struct BucketTransfer {
  base::DaemonId From;
  base::DaemonId To;
  std::vector<BucketSnapshot> Buckets;
  MSGPACK_DEFINE_ARRAY(From, To, Buckets)
};

struct BucketTransferAck {
  base::DaemonId From; // the new owner
  std::vector<uint16_t> Buckets;
  // Buckets that the agent will not accept at this epoch because it is
  // draining. The old owner continues to serve them as if no transfer had been
  // sent.
  std::vector<uint16_t> Refused;
  MSGPACK_DEFINE_ARRAY(From, Buckets, Refused)
};

// Sent by the former owner of a bucket when a request that was in flight during
// the handover has finished.
struct RecordUpdate {
  base::ServiceId Service;
  base::BucketIndex Bucket = 0;
  RequestRecord Record;
  MSGPACK_DEFINE_ARRAY(Service, Bucket, Record)
};

// Asks another agent of the service to run a request that the sender has not
// started.
struct RunRequest {
  base::DaemonId From;
  uint64_t Sequence = 0;
  int64_t NotAfterMilliseconds = 0;
  bool Idempotent = false;
  bool LongClass = false;
  Bytes Request; // encoded CoAP request
  MSGPACK_DEFINE_ARRAY(From, Sequence, NotAfterMilliseconds, Idempotent,
                       LongClass, Request)
};

enum class RunOutcome : uint8_t { Refused, Answered, Unknown };

struct RunReply {
  uint64_t Sequence = 0;
  RunOutcome Outcome = RunOutcome::Refused;
  Bytes Answer;
  MSGPACK_DEFINE_ARRAY(Sequence, Outcome, Answer)
};

struct BucketOwner {
  base::BucketIndex Bucket = 0;
  base::DaemonId Owner;
  base::Epoch OwnerEpoch = 0;
  MSGPACK_DEFINE_ARRAY(Bucket, Owner, OwnerEpoch)
};

// Notifies the other agents of a service of ownership changes that the store
// has confirmed. For each bucket, the entry with the higher epoch wins.
struct OwnershipUpdate {
  base::ServiceId Service;
  base::Revision StoreRevision = 0;
  std::vector<BucketOwner> Buckets;
  MSGPACK_DEFINE_ARRAY(Service, StoreRevision, Buckets)
};

// The index of a type in this list is its type number on the wire, so new types
// are only appended.
using Message =
    std::variant<Forward, Reply, Announce, AnnounceAck, Probe, ProbeAck,
                 IndirectProbe, Rumor, Digest, DigestDiff, LeaseRequest,
                 LeaseGrant, FenceRequest, FenceConsent, BucketTransfer,
                 BucketTransferAck, RecordUpdate, RunRequest, RunReply,
                 OwnershipUpdate>;

} // namespace burdockstream::messages

namespace msgpack {
MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS) {
  namespace adaptor {

  template <>
  struct convert<burdockstream::messages::Role>
      : ConvertBoundedEnum<burdockstream::messages::Role,
                           burdockstream::messages::Role::Agent> {};
  template <>
  struct pack<burdockstream::messages::Role>
      : PackEnum<burdockstream::messages::Role> {};

  template <>
  struct convert<burdockstream::messages::MemberState>
      : ConvertBoundedEnum<burdockstream::messages::MemberState,
                           burdockstream::messages::MemberState::Dead> {};
  template <>
  struct pack<burdockstream::messages::MemberState>
      : PackEnum<burdockstream::messages::MemberState> {};

  template <>
  struct convert<burdockstream::messages::RunState>
      : ConvertBoundedEnum<burdockstream::messages::RunState,
                           burdockstream::messages::RunState::Unknown> {};
  template <>
  struct pack<burdockstream::messages::RunState>
      : PackEnum<burdockstream::messages::RunState> {};

  template <>
  struct convert<burdockstream::messages::RunOutcome>
      : ConvertBoundedEnum<burdockstream::messages::RunOutcome,
                           burdockstream::messages::RunOutcome::Unknown> {};
  template <>
  struct pack<burdockstream::messages::RunOutcome>
      : PackEnum<burdockstream::messages::RunOutcome> {};

  } // namespace adaptor
}
} // namespace msgpack

#endif
