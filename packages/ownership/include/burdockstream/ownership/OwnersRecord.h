// The ownership record of a service, which names the owner of each bucket. It
// is stored under the key /burdockstream/owners/<service>.
#ifndef BURDOCKSTREAM_OWNERSHIP_OWNERSRECORD_H
#define BURDOCKSTREAM_OWNERSHIP_OWNERSRECORD_H

#include "burdockstream/base/Error.h"
#include "burdockstream/base/Ids.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace burdockstream::ownership {

struct BucketEntry {
  base::DaemonId Owner; // zero: never owned
  base::Epoch OwnerEpoch = 0;
  friend bool operator==(const BucketEntry &, const BucketEntry &) = default;
};

// An agent that owns at least one bucket.
struct OwnerEntry {
  base::DaemonId Id;
  // Sequence number of the owner's latest write. A daemon id never reuses a
  // number, so it identifies which of the owner's writes took effect.
  uint64_t WriteNumber = 0;
  // Hash of the arbiter list from which the owner gets its lease. A claimant
  // with another list must not fence the owner, because the two majorities
  // might not intersect.
  uint64_t ArbiterListHash = 0;
  friend bool operator==(const OwnerEntry &, const OwnerEntry &) = default;
};

struct OwnersRecord {
  uint64_t Nonce = 0; // random, of the latest write
  std::vector<OwnerEntry> Owners;
  std::vector<BucketEntry> Buckets;

  friend bool operator==(const OwnersRecord &, const OwnersRecord &) = default;

  // Returns the entry of Id, or nullptr. The pointer is valid until Owners
  // changes. Thread safety: const access only.
  const OwnerEntry *owner(base::DaemonId Id) const;

  // Adds Entry, or replaces the entry with the same id. Thread safety: needs
  // exclusive access.
  void setOwner(const OwnerEntry &Entry);

  // Thread safety: needs exclusive access.
  void removeOwnersWithoutBuckets();
};

// Returns the record as compact JSON. Precondition: every owner of a bucket has
// an entry in Owners; otherwise the process is terminated. Thread safety: any
// thread.
std::string encodeOwnersRecord(const OwnersRecord &Record);

// Parses the output of encodeOwnersRecord(). Returns an error of kind Corrupt
// if Text is malformed or has another format version. Thread safety: any
// thread.
base::Result<OwnersRecord> decodeOwnersRecord(std::string_view Text);

} // namespace burdockstream::ownership

#endif
