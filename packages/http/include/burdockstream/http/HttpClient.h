// Asynchronous HTTP client on the GLib main loop, used by the store clients and
// the JSON-RPC client between daemons. TCP keep-alive probes detect the loss of
// a peer within a few seconds.
#ifndef BURDOCKSTREAM_HTTP_HTTPCLIENT_H
#define BURDOCKSTREAM_HTTP_HTTPCLIENT_H

#include "burdockstream/base/Error.h"
#include "burdockstream/base/Time.h"

#include <functional>
#include <json/value.h>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

// libsoup's own forward declaration, so that users of this header need no
// libsoup headers.
typedef struct _SoupSession SoupSession; // NOLINT(bugprone-reserved-identifier)

namespace burdockstream::http {

struct HttpHeader {
  std::string Name;
  std::string Value;
};

// Bounds the memory that a server's response can take.
inline constexpr size_t DefaultMaxBodyBytes = size_t{16} * 1024 * 1024;

struct HttpRequest {
  std::string Url;
  std::string Body; // sent as application/json, by POST only
  std::vector<HttpHeader> Headers;
  // From the call to the end of the response; does not apply to streamJson().
  base::Duration Timeout = std::chrono::seconds(2);
  std::string Method = "POST";
  // If positive, a response may take longer than Timeout as long as at least
  // MinProgressBytes of it arrive in each StallTimeout (see ResponseDeadline).
  base::Duration StallTimeout{0};
  // A longer body ends the call with LimitExceeded.
  size_t MaxBodyBytes = DefaultMaxBodyBytes;
};

struct HttpResponse {
  unsigned Status = 0;
  std::string Body;
  std::vector<HttpHeader> Headers = {};

  // Returns the value of the first header called Name, regardless of case, or
  // nothing. Thread safety: any thread.
  std::optional<std::string> header(const std::string &Name) const;
};

using ResponseCallback = std::function<void(base::Result<HttpResponse>)>;
using JsonCallback = std::function<void(base::Result<Json::Value>)>;

// Called for each JSON value of a streamed response.
using StreamCallback = std::function<void(const Json::Value &)>;
// Called once with the reason when a streamed response has ended. Not called
// after the HttpStream is destroyed.
using StreamEndCallback = std::function<void(base::Error)>;

// An open streamed response. Destroying it cancels the request; no callback is
// called afterwards.
class HttpStream {
public:
  virtual ~HttpStream() = default;
};

// A response of which nothing has arrived for this long has stalled.
inline constexpr base::Duration ReceivingTime = std::chrono::milliseconds(200);

// When the last part of each incomplete response was received, by call.
using IncompleteResponses = std::map<const void *, base::TimePoint>;

class HttpClient {
public:
  HttpClient();
  ~HttpClient();
  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;

  // Sends Request and returns at once. Calls Callback once from the loop, with
  // a response of any HTTP status or an error, but never after this object is
  // destroyed. Errors: Unavailable if the request was not sent, OutcomeUnknown
  // if the server may have processed it, LimitExceeded if its response is
  // longer than MaxBodyBytes. Precondition: Request.Url is an http URL. Thread
  // safety: loop thread only.
  void send(const HttpRequest &Request, ResponseCallback Callback);

  // Returns whether a response to send() arrives: a part of it has been
  // received within the last ReceivingTime, and more is to come. Thread safety:
  // loop thread only.
  bool isReceiving() const;

  // Sends Request as send() does and parses the response as JSON. Errors: those
  // of send(); InvalidArgument for an HTTP status from 400 to 499;
  // OutcomeUnknown for a status of 500 or more; Corrupt if the response is not
  // JSON. Precondition: Request.Url is an http URL. Thread safety: loop thread
  // only.
  void postJson(const HttpRequest &Request, JsonCallback Callback);

  // Sends Request and parses each line of the response as one JSON value until
  // the response ends, a line is not JSON, or the returned object is destroyed.
  // OnEnd receives the errors of send(), Unavailable for a status other than
  // 200 or a response that the server ended, and Corrupt for a line that is not
  // JSON. Precondition: Request.Url is an http URL. Thread safety: loop thread
  // only.
  std::unique_ptr<HttpStream> streamJson(const HttpRequest &Request,
                                         StreamCallback OnValue,
                                         StreamEndCallback OnEnd);

private:
  SoupSession *Session;
  // Shared with pending calls, which may outlive the client.
  std::shared_ptr<IncompleteResponses> Incomplete =
      std::make_shared<IncompleteResponses>();
  // Pending calls hold a weak reference; once it has expired, they do not call
  // their callbacks.
  std::shared_ptr<int> LifetimeToken = std::make_shared<int>(0);
};

} // namespace burdockstream::http

#endif
