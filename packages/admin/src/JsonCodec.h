// Reading of JSON texts for this package.
#ifndef BURDOCKSTREAM_ADMIN_JSONCODEC_H
#define BURDOCKSTREAM_ADMIN_JSONCODEC_H

#include <json/value.h>
#include <string>

namespace burdockstream::admin::internal {

// Parses Text; malformed input gives a null value.
Json::Value parseJson(const std::string &Text);

} // namespace burdockstream::admin::internal

#endif
