// Helpers around libsoup messages that the request kinds of HttpClient share.
#ifndef BURDOCKSTREAM_HTTP_SOUPREQUEST_H
#define BURDOCKSTREAM_HTTP_SOUPREQUEST_H

#include "burdockstream/base/Error.h"
#include "burdockstream/http/HttpClient.h"

#include <json/value.h>
#include <libsoup/soup.h>
#include <string_view>

namespace burdockstream::http::internal {

// Returns a new message for Request, or null if the URL is malformed. The
// caller owns it.
SoupMessage *newMessage(const HttpRequest &Request);

// Maps a transport error to Unavailable (not sent) or OutcomeUnknown (may have
// been sent).
base::Error transportError(const std::string &Url, const GError *Cause);

// Parses one JSON text of an answer.
base::Result<Json::Value> parseAnswer(std::string_view Text);

} // namespace burdockstream::http::internal

#endif
