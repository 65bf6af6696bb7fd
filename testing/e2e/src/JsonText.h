// Parses the JSON output of programs and the answers of stand-ins.
#ifndef BURDOCKSTREAM_E2E_JSONTEXT_H
#define BURDOCKSTREAM_E2E_JSONTEXT_H

#include <json/value.h>

#include <string>

namespace burdockstream::e2e {

// Parses Text. Returns null if it is malformed. Thread safety: any thread.
Json::Value parseJson(const std::string &Text);

} // namespace burdockstream::e2e

#endif
