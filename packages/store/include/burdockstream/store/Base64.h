// Base64 encoding of store keys and values, which JSON requests carry as text.
#ifndef BURDOCKSTREAM_STORE_BASE64_H
#define BURDOCKSTREAM_STORE_BASE64_H

#include <string>

namespace burdockstream::store {

// Returns Plain encoded as base64. Thread safety: any thread.
std::string encodeBase64(const std::string &Plain);

// Returns Encoded decoded from base64; invalid characters are skipped. Thread
// safety: any thread.
std::string decodeBase64(const std::string &Encoded);

} // namespace burdockstream::store

#endif
