// The JSON forms of the etcd v3 gateway: keys and values in base64, 64-bit
// numbers as strings.
#ifndef BURDOCKSTREAM_STORE_ETCDJSON_H
#define BURDOCKSTREAM_STORE_ETCDJSON_H

#include "burdockstream/store/Base64.h"
#include "burdockstream/store/StoreClient.h"

#include <json/value.h>
#include <string>

namespace burdockstream::store::etcd {

// Returns the end of the key range of all keys with this prefix. Thread safety:
// any thread.
std::string prefixEnd(std::string Prefix);

// Reads a number that may be a JSON string or number; 0 if absent. Thread
// safety: any thread.
int64_t toInteger(const Json::Value &Value);

// Converts the gateway's key-value object. Thread safety: any thread.
KeyValue toKeyValue(const Json::Value &Value);

// Builds the body of a write without a condition. Thread safety: any thread.
Json::Value putBody(const PutRequest &Request);

// Builds the body of a transaction that writes a key if its revision matches
// and reads it if not. Thread safety: any thread.
Json::Value casBody(const CasRequest &Request);

} // namespace burdockstream::store::etcd

#endif
