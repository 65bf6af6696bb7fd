// Decides which service owns an address that the records of several services
// name. A write of such a record is rejected, but two concurrent writes do not
// see each other and can both succeed. A packet must never reach the wrong
// service, so every daemon must choose the same owner. The service that claimed
// the address first keeps it, because its callers already send there.
#ifndef BURDOCKSTREAM_RECORDS_ADDRESSCLAIM_H
#define BURDOCKSTREAM_RECORDS_ADDRESSCLAIM_H

#include "burdockstream/records/ServiceConfig.h"

namespace burdockstream::records {

// Returns the store revision at which the service of Config claimed its
// address: AddressSince if it is positive and earlier than StoreRevision,
// otherwise StoreRevision. A record that was not written through the
// administration API has no AddressSince. Thread safety: any thread.
base::Revision claimRevision(const ServiceConfig &Config);

// Returns whether A owns an address that both A and B name: its claim has the
// lower revision or, if the revisions are equal, the lower service ID. Thread
// safety: any thread.
bool hasEarlierClaim(const ServiceConfig &A, const ServiceConfig &B);

// Returns the AddressSince with which Proposed replaces Current: the claim
// revision of Current, or 0 if Current does not hold the address, because there
// is no current record (nullptr), it is retired or it names another address.
// Precondition: the StoreRevision of Current is set. Thread safety: any thread.
base::Revision inheritedClaimRevision(const ServiceConfig *Current,
                                      const ServiceConfig &Proposed);

} // namespace burdockstream::records

#endif
