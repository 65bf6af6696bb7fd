// Conversion to and from the JSON of the etcd v3 gateway, which encodes keys
// and values as base64 and 64-bit numbers as strings.
#ifndef BURDOCKSTREAM_STORE_ETCDJSON_H
#define BURDOCKSTREAM_STORE_ETCDJSON_H

#include "burdockstream/store/Base64.h"
#include "burdockstream/store/StoreClient.h"

#include <json/value.h>
#include <string>

namespace burdockstream::store::etcd {

// Returns the exclusive end of the range of all keys that start with Prefix.
// Thread safety: any thread.
std::string prefixEnd(std::string Prefix);

// Converts a JSON number or a string of digits; returns 0 for any other value.
// Thread safety: any thread.
int64_t toInteger(const Json::Value &Value);

// Converts a key-value object of the gateway. Thread safety: any thread.
KeyValue toKeyValue(const Json::Value &Value);

// Builds the body of an unconditional write. Thread safety: any thread.
Json::Value putBody(const PutRequest &Request);

// Builds the body of a transaction that writes a key if its revision matches
// Request.ExpectedRevision and otherwise reads it. Thread safety: any thread.
Json::Value casBody(const CasRequest &Request);

} // namespace burdockstream::store::etcd

#endif
