// The records known to one daemon. Updates arrive from a watch on the store and
// by gossip, in any order and possibly more than once. The update of a service
// with the highest store revision wins, so the sets of all daemons converge.
#ifndef BURDOCKSTREAM_RECORDS_RECORDSET_H
#define BURDOCKSTREAM_RECORDS_RECORDSET_H

#include "burdockstream/base/Error.h"
#include "burdockstream/records/ServiceConfig.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace burdockstream::records {

// A parsed record and its text, which is passed on to other daemons.
struct StoredRecord {
  ServiceConfig Config; // with Config.Retired, the record is a tombstone
  std::string Body;
};

enum class ApplyOutcome {
  Applied,  // the set now has this version
  NotNewer, // the set already had this or a later version
};

// Pointers returned by the lookups are valid until the next apply(). Thread
// safety: event loop thread only.
class RecordSet {
public:
  using Map = std::map<std::string, StoredRecord, std::less<>>;

  // Stores the record Body of Service if StoreRevision is higher than that of
  // the existing record. A retired record stays in the set as a tombstone, so
  // that a delayed older update cannot restore the service. On an error the
  // existing record is kept. Errors: those of parseRecord(); InvalidArgument if
  // Body names another service; Conflict if it changes the bucket count;
  // AlreadyExists if another service has the same ID.
  base::Result<ApplyOutcome> apply(std::string_view Service,
                                   base::Revision StoreRevision,
                                   std::string_view Body);

  // Return the record, which may be a tombstone, or nullptr if there is none.
  const StoredRecord *find(base::ServiceId Id) const;
  const StoredRecord *findByName(std::string_view Service) const;

  // Returns the service that owns Address, or nullptr if there is none. If
  // several services name the address, the one with the earliest claim owns it;
  // see AddressClaim.h. Tombstones own no address.
  const ServiceConfig *findByAddress(base::SocketAddress Address) const;

  // Returns the services other than that of Config that name its address,
  // sorted by service name. The result is empty if Config is retired;
  // tombstones are left out.
  std::vector<const ServiceConfig *>
  servicesInConflictWith(const ServiceConfig &Config) const;

  // Returns, in ascending order, the addresses that more than one service
  // names. The checks in RecordRules.h prevent this except for concurrent
  // writes.
  std::vector<base::SocketAddress> contestedAddresses() const;

  // Returns all records, including tombstones, by service name.
  const Map &all() const { return Records; }

  // Returns the number of updates applied so far.
  uint64_t generation() const { return Generation; }

private:
  void removeFromAddressIndex(const ServiceConfig &Config);

  Map Records;
  std::unordered_map<base::ServiceId, const StoredRecord *> ById;
  // The services that name each address, without tombstones. A list has more
  // than one element only after concurrent writes.
  std::unordered_map<base::SocketAddress, std::vector<const ServiceConfig *>>
      ByAddress;
  uint64_t Generation = 0;
};

} // namespace burdockstream::records

#endif
