// Helpers for libsoup messages, shared by the single-response and the streaming
// requests of HttpClient.
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

// Maps a transport error to Unavailable if the request was not sent, otherwise
// to OutcomeUnknown. Cause may be null.
base::Error transportError(const std::string &Url, const GError *Cause);

// The same with another Reason than that of Cause in the message.
base::Error transportError(const std::string &Url, const GError *Cause,
                           const std::string &Reason);

// Parses Text as one JSON value. Errors: Corrupt if it is not JSON.
base::Result<Json::Value> parseJsonResponse(std::string_view Text);

} // namespace burdockstream::http::internal

#endif
