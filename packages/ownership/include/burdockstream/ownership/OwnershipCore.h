// An agent's side of the bucket ownership protocol, without I/O: renews the
// lease, claims buckets of dead owners, hands buckets over to other agents and
// accepts them, and determines what the agent may do with the requests of a
// bucket.
#ifndef BURDOCKSTREAM_OWNERSHIP_OWNERSHIPCORE_H
#define BURDOCKSTREAM_OWNERSHIP_OWNERSHIPCORE_H

#include "burdockstream/base/Random.h"
#include "burdockstream/messages/BucketAuthority.h"
#include "burdockstream/messages/Messages.h"
#include "burdockstream/ownership/OwnershipActions.h"

#include <cstdint>
#include <memory>
#include <span>
#include <vector>

namespace burdockstream::ownership {

struct OwnershipConfig {
  base::DaemonId Self;
  base::ServiceId Service;
  uint16_t Buckets = 256;
  // Configured addresses of all balancers.
  std::vector<base::SocketAddress> BalancerAddresses;
};

// Totals since the start of the process.
struct OwnershipCounters {
  uint64_t FirstAssignments = 0; // buckets without a previous owner
  uint64_t Claims = 0;           // buckets claimed from dead owners
  uint64_t HandoversIn = 0;      // buckets
  uint64_t HandoversOut = 0;     // buckets
  uint64_t HandoversRefused = 0; // buckets refused by draining agents
  uint64_t Reclaims = 0;         // buckets taken back after an aborted handover
  uint64_t Lapses = 0;           // lost leases, counted when regained
  uint64_t Affirmations = 0; // writes that confirmed buckets for a new lease
  uint64_t SwapConflicts = 0;
  uint64_t StoreFailures = 0;
  // Buckets found, counted at each check, whose departed owner must not be
  // fenced because it uses another arbiter list than this agent.
  uint64_t ForeignArbiterLists = 0;
};

// Precondition of every call: Now was read after the event was received.
class OwnershipCore {
public:
  // Config.Self must not be zero. Random must outlive the object. Thread
  // safety: loop thread only.
  OwnershipCore(OwnershipConfig Config, base::RandomSource &Random,
                base::Now Now);
  ~OwnershipCore();
  OwnershipCore(const OwnershipCore &) = delete;
  OwnershipCore &operator=(const OwnershipCore &) = delete;

  // Performs the work that is due and appends the actions to Sink. Call it at
  // nextDeadline() at the latest. Thread safety: loop thread only.
  void tick(base::Now Now, OwnershipSink &Sink);

  // Returns the time by which tick() must be called. Thread safety: loop thread
  // only.
  base::TimePoint nextDeadline() const;

  // Processes a message from an arbiter or a peer. Thread safety: loop thread
  // only.
  void handle(const messages::LeaseGrant &Message, base::Now Now,
              OwnershipSink &Sink);
  void handle(const messages::FenceConsent &Message, base::Now Now,
              OwnershipSink &Sink);
  void handle(const messages::BucketTransfer &Message, base::Now Now,
              OwnershipSink &Sink);
  void handle(const messages::BucketTransferAck &Message, base::Now Now,
              OwnershipSink &Sink);
  void handle(const messages::OwnershipUpdate &Message, base::Now Now,
              OwnershipSink &Sink);

  // Processes the outcome of a ReadOwners or SwapOwners action. An outcome of
  // an operation that is not in flight is ignored. Thread safety: loop thread
  // only.
  void handle(const StoreResult &Result, base::Now Now, OwnershipSink &Sink);

  // Sets the desired owner of each bucket according to this agent's bucket
  // table (zero: none). Precondition: Desired has one element per bucket.
  // Thread safety: loop thread only.
  void setDesired(std::span<const base::DaemonId> Desired, base::Now Now,
                  OwnershipSink &Sink);

  // Sets the agents of the service, including this one. An owner that is
  // missing from the list for 3 s counts as dead. Thread safety: loop thread
  // only.
  void setMembers(std::span<const messages::MemberInfo> Members, base::Now Now,
                  OwnershipSink &Sink);

  // Starts to hand over all buckets. A drain cannot be cancelled. Thread
  // safety: loop thread only.
  void beginDrain(base::Now Now, OwnershipSink &Sink);

  // Returns what this agent may do with the requests of Bucket. Called for each
  // packet, so it does not allocate. Precondition: Bucket is below the number
  // of buckets. Thread safety: loop thread only.
  messages::BucketAuthority authority(base::BucketIndex Bucket,
                                      base::Now Now) const;

  // Returns whether the ownership record has been read; until then the owners
  // of the buckets are not known. Thread safety: loop thread only.
  bool knowsOwners() const;

  // Returns the end of the current lease; TimePoint::min() before the first
  // lease. Thread safety: loop thread only.
  base::TimePoint leaseEnd() const;

  // Returns the highest known epoch of Bucket; for a bucket that this agent
  // holds, the epoch of its own ownership. Precondition: Bucket is below the
  // number of buckets. Thread safety: loop thread only.
  base::Epoch epoch(base::BucketIndex Bucket) const;

  // Thread safety: loop thread only.
  const OwnershipCounters &counters() const;

private:
  struct State;
  std::unique_ptr<State> Impl;
};

} // namespace burdockstream::ownership

#endif
