// Validates changes of records. A writer checks these rules against the records
// that it has read from the store; its compare-and-swap then fails if the
// record to be replaced is no longer the one that was checked.
#ifndef BURDOCKSTREAM_RECORDS_RECORDRULES_H
#define BURDOCKSTREAM_RECORDS_RECORDRULES_H

#include "burdockstream/base/Error.h"
#include "burdockstream/records/RecordSet.h"
#include "burdockstream/records/ServiceConfig.h"

#include <string_view>

namespace burdockstream::records {

// Checks that Proposed may replace Current. Errors: InvalidArgument if the
// service name differs; Conflict if the bucket count differs, or if Proposed
// has schema version 1 and would drop a setting that this version cannot
// express, unless one of the two records is retired. Thread safety: any thread.
base::Result<void> checkReplacement(const ServiceConfig &Current,
                                    const ServiceConfig &Proposed);

// Checks that the team WriterTeam may write Proposed in place of Current, which
// is nullptr for a new service: Proposed and Current, if any, must belong to
// WriterTeam. Error: PermissionDenied. Thread safety: any thread.
base::Result<void> checkTeam(const ServiceConfig *Current,
                             const ServiceConfig &Proposed,
                             std::string_view WriterTeam);

// Checks that no other service in Known names the address of Proposed. Retired
// records name no address. Error: AlreadyExists. Thread safety: event loop
// thread only.
base::Result<void> checkAddress(const RecordSet &Known,
                                const ServiceConfig &Proposed);

// Returns whether A and B differ at most in Nonce, AddressSince and
// StoreRevision, so that replacing one by the other has no effect. Thread
// safety: any thread.
bool sameSettings(const ServiceConfig &A, const ServiceConfig &B);

// Checks that WriterTeam may write Proposed, given the records in Known.
// Errors: NotFound if Proposed is retired and Known has no record of its
// service; otherwise those of checkTeam(), checkReplacement() and
// checkAddress(), in this order. Thread safety: event loop thread only.
base::Result<void> checkWrite(const RecordSet &Known,
                              const ServiceConfig &Proposed,
                              std::string_view WriterTeam);

} // namespace burdockstream::records

#endif
