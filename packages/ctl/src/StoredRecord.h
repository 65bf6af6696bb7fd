// Reads and prints records stored by the balancers.
#ifndef BURDOCKSTREAM_CTL_SRC_STOREDRECORD_H
#define BURDOCKSTREAM_CTL_SRC_STOREDRECORD_H

#include "burdockstream/ctl/Run.h"
#include "burdockstream/records/ServiceConfig.h"

#include <string>

namespace burdockstream::ctl::detail {

struct StoredRecord {
  records::ServiceConfig Config; // parsed from Body; StoreRevision is set
  std::string Body;              // JSON with comments, as it was written
};

// Reads the record of Service with the method record.get. Fails with the error
// of the call, or if the response or the record is invalid. Thread safety: one
// thread at a time.
base::Result<StoredRecord> fetchRecord(const Hooks &Hooks,
                                       const std::string &Service);

// Formats Body as indented JSON; a body that cannot be parsed is returned
// unchanged. Source is the name of the document for the parser. Thread safety:
// any thread.
std::string prettyPrintRecord(const std::string &Body,
                              const std::string &Source);

} // namespace burdockstream::ctl::detail

#endif
