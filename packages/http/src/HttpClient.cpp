#include "burdockstream/http/HttpClient.h"

#include "SoupRequest.h"
#include "burdockstream/http/ResponseDeadline.h"

#include <algorithm>
#include <glog/logging.h>
#include <utility>

namespace burdockstream::http {

using base::ErrorKind;
using base::makeError;

namespace {

// libsoup queues further requests when this many connections to one host are in
// use. With a lower limit, long-lived watches could block short calls.
constexpr int MaxConnectionsPerHost = 16;

// Bytes that one read of a response's body asks for.
constexpr size_t ReadBytes = size_t{16} * 1024;

base::TimePoint now() {
  return base::TimePoint(std::chrono::microseconds(g_get_monotonic_time()));
}

// State of one pending call. finishCall() deletes it after the callback.
struct Call {
  std::string Url;
  ResponseCallback Callback;
  base::TimePoint SentAt;
  ResponseDeadline Deadline;
  size_t MaxBodyBytes;
  std::shared_ptr<IncompleteResponses> Incomplete;
  SoupMessage *Message = nullptr;
  GCancellable *Cancellable = nullptr;
  GInputStream *BodyStream = nullptr;
  std::string Body = {}; // received so far
  guint TimeoutSource = 0;
  bool TimedOut = false;

  ~Call() {
    Incomplete->erase(this);
    if (TimeoutSource != 0)
      g_source_remove(TimeoutSource);
    g_clear_object(&BodyStream);
    g_clear_object(&Cancellable);
    g_clear_object(&Message);
  }
};

gboolean onTimer(gpointer Data);

// Runs onTimer() when the call's deadline has passed, unless it is extended.
void startTimer(Call &Pending) {
  const auto Left = std::chrono::ceil<std::chrono::milliseconds>(
      std::max(Pending.Deadline.latest() - now(), base::Duration::zero()));
  Pending.TimeoutSource =
      g_timeout_add(static_cast<guint>(Left.count()), onTimer, &Pending);
}

gboolean onTimer(gpointer Data) {
  auto *Pending = static_cast<Call *>(Data);
  Pending->TimeoutSource = 0;
  if (now() < Pending->Deadline.latest()) {
    startTimer(*Pending); // extended
  } else {
    Pending->TimedOut = true;
    g_cancellable_cancel(Pending->Cancellable);
  }
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

// Returns the length of the body that the response's headers give, if any.
std::optional<size_t> announcedLength(const Call &Pending) {
  SoupMessageHeaders *Headers =
      soup_message_get_response_headers(Pending.Message);
  if (soup_message_headers_get_encoding(Headers) !=
      SOUP_ENCODING_CONTENT_LENGTH)
    return std::nullopt;
  return static_cast<size_t>(soup_message_headers_get_content_length(Headers));
}

// The part of the response that has arrived distinguishes a slow response from
// a server that does not answer.
std::string describeProgress(const Call &Pending) {
  if (!Pending.BodyStream)
    return "no response";
  SoupMessageHeaders *Headers =
      soup_message_get_response_headers(Pending.Message);
  std::string Text = std::to_string(Pending.Body.size());
  if (soup_message_headers_get_encoding(Headers) ==
      SOUP_ENCODING_CONTENT_LENGTH)
    Text += " of " +
            std::to_string(soup_message_headers_get_content_length(Headers));
  return Text + " bytes received";
}

// Ends the call with a transport error and deletes it.
void failCall(std::unique_ptr<Call> Pending, GError *Cause) {
  std::string Reason = Cause ? Cause->message : "no reason given";
  if (Pending->TimedOut)
    Reason = "timed out after " +
             std::to_string(base::toMilliseconds(now() - Pending->SentAt)) +
             " ms, " + describeProgress(*Pending);
  auto Failure = internal::transportError(Pending->Url, Cause, Reason);
  g_clear_error(&Cause);
  Pending->Callback(std::move(Failure));
}

// Ends the call whose body has Length bytes or more, and its connection, which
// the rest of the body would occupy.
void refuseBody(std::unique_ptr<Call> Pending, size_t Length) {
  g_cancellable_cancel(Pending->Cancellable);
  Pending->Callback(makeError(
      ErrorKind::LimitExceeded,
      Pending->Url + " sent a response of " + std::to_string(Length) +
          " bytes or more, and the limit is " +
          std::to_string(Pending->MaxBodyBytes) + "; request less at a time"));
}

void finishCall(std::unique_ptr<Call> Pending) {
  HttpResponse Response{soup_message_get_status(Pending->Message),
                        std::move(Pending->Body),
                        readHeaders(Pending->Message)};
  Pending->Callback(std::move(Response));
}

void readBody(std::unique_ptr<Call> Pending);

void onBodyRead(GObject *Source, GAsyncResult *AsyncResult, gpointer Data) {
  std::unique_ptr<Call> Pending(static_cast<Call *>(Data));
  GError *Cause = nullptr;
  const gssize Count =
      g_input_stream_read_finish(G_INPUT_STREAM(Source), AsyncResult, &Cause);
  Pending->Body.resize(Pending->Body.size() - ReadBytes +
                       static_cast<size_t>(std::max<gssize>(Count, 0)));
  if (Count < 0)
    failCall(std::move(Pending), Cause);
  else if (Count == 0)
    finishCall(std::move(Pending));
  else if (const size_t Received = Pending->Body.size();
           Received > Pending->MaxBodyBytes)
    refuseBody(std::move(Pending), Received);
  else {
    const base::TimePoint Now = now();
    Pending->Deadline.onBytes(static_cast<size_t>(Count), Now);
    Pending->Incomplete->insert_or_assign(Pending.get(), Now);
    readBody(std::move(Pending));
  }
}

void readBody(std::unique_ptr<Call> Pending) {
  Call &Reading = *Pending.release(); // onBodyRead() owns it again
  const size_t Received = Reading.Body.size();
  Reading.Body.resize(Received + ReadBytes);
  g_input_stream_read_async(Reading.BodyStream, Reading.Body.data() + Received,
                            ReadBytes, G_PRIORITY_DEFAULT, Reading.Cancellable,
                            onBodyRead, &Reading);
}

void onResponseHeaders(GObject *Source, GAsyncResult *AsyncResult,
                       gpointer Data) {
  std::unique_ptr<Call> Pending(static_cast<Call *>(Data));
  GError *Cause = nullptr;
  Pending->BodyStream =
      soup_session_send_finish(SOUP_SESSION(Source), AsyncResult, &Cause);
  if (!Pending->BodyStream)
    return failCall(std::move(Pending), Cause);
  Pending->Deadline.onHeaders(now());
  const size_t Length = announcedLength(*Pending).value_or(0);
  if (Length > Pending->MaxBodyBytes)
    return refuseBody(std::move(Pending), Length);
  Pending->Body.reserve(Length + ReadBytes);
  readBody(std::move(Pending));
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
      },
      now(),
      {now() + Request.Timeout, Request.StallTimeout},
      Request.MaxBodyBytes,
      Incomplete};
  Pending->Message = internal::newMessage(Request);
  CHECK_NE(Pending->Message, nullptr) << "malformed URL " << Request.Url;
  Pending->Cancellable = g_cancellable_new();
  startTimer(*Pending);
  soup_session_send_async(Session, Pending->Message, G_PRIORITY_DEFAULT,
                          Pending->Cancellable, onResponseHeaders, Pending);
}

bool HttpClient::isReceiving() const {
  return std::any_of(Incomplete->begin(), Incomplete->end(),
                     [Now = now()](const auto &Each) {
                       return Now - Each.second < ReceivingTime;
                     });
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
