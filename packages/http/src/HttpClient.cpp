#include "burdockstream/http/HttpClient.h"

#include "SoupRequest.h"

#include <glog/logging.h>
#include <utility>

namespace burdockstream::http {

using base::ErrorKind;
using base::makeError;

namespace {

// libsoup queues further requests when this many connections to one host are in
// use. With a lower limit, long-lived watches could block short calls.
constexpr int MaxConnectionsPerHost = 16;

// State of one pending call. finishCall() deletes it after the callback.
struct Call {
  std::string Url;
  ResponseCallback Callback;
  SoupMessage *Message = nullptr;
  GCancellable *Cancellable = nullptr;
  guint TimeoutSource = 0;

  ~Call() {
    if (TimeoutSource != 0)
      g_source_remove(TimeoutSource);
    g_clear_object(&Cancellable);
    g_clear_object(&Message);
  }
};

gboolean cancelCall(gpointer Data) {
  auto *Pending = static_cast<Call *>(Data);
  Pending->TimeoutSource = 0;
  g_cancellable_cancel(Pending->Cancellable);
  return G_SOURCE_REMOVE;
}

base::Result<Json::Value> parseResponse(const std::string &Url,
                                        const HttpResponse &Response) {
  if (Response.Status >= 500)
    return makeError(ErrorKind::OutcomeUnknown,
                     Url + " returned HTTP status " +
                         std::to_string(Response.Status) +
                         "; read the value back before trying again");
  if (Response.Status >= 400)
    return makeError(ErrorKind::InvalidArgument,
                     Url + " refused the request with HTTP status " +
                         std::to_string(Response.Status) + ": " +
                         Response.Body);
  return internal::parseJsonResponse(Response.Body);
}

std::vector<HttpHeader> readHeaders(SoupMessage *Message) {
  std::vector<HttpHeader> Result;
  SoupMessageHeadersIter Position;
  soup_message_headers_iter_init(&Position,
                                 soup_message_get_response_headers(Message));
  const char *Name = nullptr;
  const char *Value = nullptr;
  while (soup_message_headers_iter_next(&Position, &Name, &Value) != FALSE)
    Result.push_back({Name, Value});
  return Result;
}

void finishCall(GObject *Source, GAsyncResult *AsyncResult, gpointer Data) {
  const std::unique_ptr<Call> Pending(static_cast<Call *>(Data));
  GError *Cause = nullptr;
  GBytes *Body = soup_session_send_and_read_finish(SOUP_SESSION(Source),
                                                   AsyncResult, &Cause);
  if (!Body) {
    Pending->Callback(internal::transportError(Pending->Url, Cause));
    g_clear_error(&Cause);
    return;
  }
  gsize Size = 0;
  const auto *Text = static_cast<const char *>(g_bytes_get_data(Body, &Size));
  HttpResponse Response{soup_message_get_status(Pending->Message),
                        std::string(Text ? Text : "", Size),
                        readHeaders(Pending->Message)};
  g_bytes_unref(Body);
  Pending->Callback(std::move(Response));
}

} // namespace

std::optional<std::string> HttpResponse::header(const std::string &Name) const {
  for (const HttpHeader &Each : Headers)
    if (g_ascii_strcasecmp(Each.Name.c_str(), Name.c_str()) == 0)
      return Each.Value;
  return std::nullopt;
}

HttpClient::HttpClient()
    // Daemons and stores are reached directly by IP address. The default proxy
    // resolver would load the desktop settings.
    : Session(soup_session_new_with_options(
          "proxy-resolver", nullptr, "max-conns-per-host",
          MaxConnectionsPerHost, "max-conns", 4 * MaxConnectionsPerHost,
          nullptr)) {}

HttpClient::~HttpClient() {
  LifetimeToken.reset();
  soup_session_abort(Session);
  g_object_unref(Session);
}

void HttpClient::send(const HttpRequest &Request, ResponseCallback Callback) {
  auto *Pending = new Call{
      Request.Url,
      [Alive = std::weak_ptr(LifetimeToken),
       Done = std::move(Callback)](base::Result<HttpResponse> Response) {
        if (!Alive.expired())
          Done(std::move(Response));
      }};
  Pending->Message = internal::newMessage(Request);
  CHECK_NE(Pending->Message, nullptr) << "malformed URL " << Request.Url;
  Pending->Cancellable = g_cancellable_new();
  Pending->TimeoutSource =
      g_timeout_add(static_cast<guint>(base::toMilliseconds(Request.Timeout)),
                    cancelCall, Pending);
  soup_session_send_and_read_async(Session, Pending->Message,
                                   G_PRIORITY_DEFAULT, Pending->Cancellable,
                                   finishCall, Pending);
}

void HttpClient::postJson(const HttpRequest &Request, JsonCallback Callback) {
  send(Request, [Url = Request.Url, Done = std::move(Callback)](
                    base::Result<HttpResponse> Response) {
    if (Response.has_error())
      Done(Response.error());
    else
      Done(parseResponse(Url, Response.value()));
  });
}

} // namespace burdockstream::http
