// Base64, in which stores carry keys and values within JSON.
#ifndef BURDOCKSTREAM_STORE_BASE64_H
#define BURDOCKSTREAM_STORE_BASE64_H

#include <string>

namespace burdockstream::store {

// Encodes as base64. Thread safety: any thread.
std::string encodeBase64(const std::string &Plain);

// Decodes base64; malformed input gives an empty string. Thread safety: any
// thread.
std::string decodeBase64(const std::string &Encoded);

} // namespace burdockstream::store

#endif
