// Parses and formats the JSON text of service configuration records. Records of
// schema versions 1 and 2 are parsed into the same type; section 10 of
// docs/design.md lists their fields.
#ifndef BURDOCKSTREAM_RECORDS_RECORDPARSER_H
#define BURDOCKSTREAM_RECORDS_RECORDPARSER_H

#include "burdockstream/base/Error.h"
#include "burdockstream/records/ServiceConfig.h"

#include <string>
#include <string_view>
#include <vector>

namespace burdockstream::records {

// Maximum size of the text of a record. A record and the members of its service
// must together fit into one UDP datagram, which holds at most 65,507 bytes.
inline constexpr size_t MaxRecordBytes = 32'768;

// Maximum of the setting expected_ms. The deadline of a request is at most
// 120 s after its issue time, so a request with a longer run time would never
// end in time.
inline constexpr int64_t MaxExpectedMilliseconds = 120'000;

// Parses a record of schema version 1 or 2. The StoreRevision of the result is
// 0. Source names the text in error messages. Errors: LimitExceeded if Text is
// longer than MaxRecordBytes; otherwise the message lists every problem with
// Source, line, field and remedy. Thread safety: any thread.
base::Result<ServiceConfig> parseRecord(std::string_view Text,
                                        std::string Source);

// Formats Config as one line of JSON in its SchemaVersion. Optional settings
// that have their default value are omitted, except buckets in schema version 2
// and idempotent in class rules. parseRecord() of the text yields Config with
// StoreRevision 0. Error: InvalidArgument if SchemaVersion is 1 and Config has
// settings that this version cannot express. Thread safety: any thread.
base::Result<std::string> formatRecord(const ServiceConfig &Config);

// Converts the text of a record to schema version 2 and drops its comments. A
// record that has version 2 already is reformatted with the same settings.
// Errors: those of parseRecord(). Thread safety: any thread.
base::Result<std::string> migrateRecord(std::string_view Text,
                                        std::string Source);

// Returns the names in schema version 2 of the settings of Config that schema
// version 1 cannot express. Thread safety: any thread.
std::vector<std::string>
settingsUnsupportedBySchema1(const ServiceConfig &Config);

// Returns the name of Class in records. Thread safety: any thread.
std::string_view toString(WorkClass Class);

} // namespace burdockstream::records

#endif
