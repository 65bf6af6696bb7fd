#include "SoupRequest.h"
#include "burdockstream/http/HttpClient.h"

#include <glog/logging.h>
#include <utility>

namespace burdockstream::http {

using base::ErrorKind;
using base::makeError;

namespace {

// State shared between the stream object and its pending GIO operations, which
// outlive the stream object if it is destroyed before the response ends.
struct StreamState {
  std::string Url;
  StreamCallback OnValue;
  StreamEndCallback OnEnd;
  SoupMessage *Message = nullptr;
  GCancellable *Cancellable = nullptr;
  GDataInputStream *Lines = nullptr;
  bool Closed = false;

  ~StreamState() {
    g_clear_object(&Lines);
    g_clear_object(&Cancellable);
    g_clear_object(&Message);
  }
};

using SharedState = std::shared_ptr<StreamState>;

void readNextLine(const SharedState &State);

void endStream(const SharedState &State, base::Error Reason) {
  if (State->Closed)
    return;
  State->Closed = true;
  State->OnEnd(std::move(Reason));
}

void parseLine(const SharedState &State, const char *Line, gsize Size) {
  base::Result<Json::Value> Value =
      internal::parseJsonResponse(std::string_view(Line, Size));
  if (Value.has_error()) {
    endStream(State, Value.error());
    return;
  }
  State->OnValue(Value.value());
}

void onLine(GObject *Source, GAsyncResult *AsyncResult, gpointer Data) {
  const std::unique_ptr<SharedState> Holder(static_cast<SharedState *>(Data));
  const SharedState State = *Holder;
  GError *Cause = nullptr;
  gsize Size = 0;
  char *Line = g_data_input_stream_read_line_finish(G_DATA_INPUT_STREAM(Source),
                                                    AsyncResult, &Size, &Cause);
  if (!Line) {
    endStream(
        State,
        Cause ? internal::transportError(State->Url, Cause)
              : makeError(ErrorKind::Unavailable,
                          State->Url + " closed the stream; open it again"));
    g_clear_error(&Cause);
    return;
  }
  if (!State->Closed && Size > 0)
    parseLine(State, Line, Size);
  g_free(Line);
  if (!State->Closed)
    readNextLine(State);
}

void readNextLine(const SharedState &State) {
  g_data_input_stream_read_line_async(State->Lines, G_PRIORITY_DEFAULT,
                                      State->Cancellable, onLine,
                                      new SharedState(State));
}

void onResponseHeaders(GObject *Source, GAsyncResult *AsyncResult,
                       gpointer Data) {
  const std::unique_ptr<SharedState> Holder(static_cast<SharedState *>(Data));
  const SharedState State = *Holder;
  GError *Cause = nullptr;
  GInputStream *Body =
      soup_session_send_finish(SOUP_SESSION(Source), AsyncResult, &Cause);
  if (!Body) {
    endStream(State, internal::transportError(State->Url, Cause));
    g_clear_error(&Cause);
    return;
  }
  State->Lines = g_data_input_stream_new(Body);
  g_object_unref(Body);
  const guint Status = soup_message_get_status(State->Message);
  if (Status != SOUP_STATUS_OK) {
    endStream(State, makeError(ErrorKind::Unavailable,
                               State->Url + " returned HTTP status " +
                                   std::to_string(Status) +
                                   "; open the stream again later"));
    return;
  }
  if (!State->Closed)
    readNextLine(State);
}

class OpenStream : public HttpStream {
public:
  explicit OpenStream(SharedState InitState) : State(std::move(InitState)) {}
  ~OpenStream() override {
    State->Closed = true;
    g_cancellable_cancel(State->Cancellable);
  }

private:
  SharedState State;
};

} // namespace

std::unique_ptr<HttpStream> HttpClient::streamJson(const HttpRequest &Request,
                                                   StreamCallback OnValue,
                                                   StreamEndCallback OnEnd) {
  auto State = std::make_shared<StreamState>();
  State->Url = Request.Url;
  State->OnValue = std::move(OnValue);
  State->OnEnd = std::move(OnEnd);
  State->Message = internal::newMessage(Request);
  CHECK_NE(State->Message, nullptr) << "malformed URL " << Request.Url;
  State->Cancellable = g_cancellable_new();
  soup_session_send_async(Session, State->Message, G_PRIORITY_DEFAULT,
                          State->Cancellable, onResponseHeaders,
                          new SharedState(State));
  return std::make_unique<OpenStream>(State);
}

} // namespace burdockstream::http
