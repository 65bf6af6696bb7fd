#include "burdockstream/http/HttpServer.h"

#include <gio/gio.h>
#include <libsoup/soup.h>
#include <utility>

namespace burdockstream::http {

using base::ErrorKind;
using base::makeError;

namespace {

class SoupResponder : public Responder {
public:
  explicit SoupResponder(SoupServerMessage *InitMessage)
      : Message(InitMessage) {
    g_object_ref(Message);
    FinishedHandler =
        g_signal_connect(Message, "finished", G_CALLBACK(onClosed), this);
  }

  ~SoupResponder() override {
    if (!Answered && !Closed)
      abort();
    g_signal_handler_disconnect(Message, FinishedHandler);
    g_object_unref(Message);
  }

  void send(const ServerAnswer &Answer) override {
    if (Closed || Answered)
      return;
    Answered = true;
    soup_server_message_set_status(Message, Answer.Status, nullptr);
    for (const auto &[Name, Value] : Answer.Headers)
      soup_message_headers_replace(
          soup_server_message_get_response_headers(Message), Name.c_str(),
          Value.c_str());
    soup_server_message_set_response(Message, Answer.ContentType.c_str(),
                                     SOUP_MEMORY_COPY, Answer.Body.data(),
                                     Answer.Body.size());
    soup_server_message_unpause(Message);
  }

  void sendLine(const std::string &Line) override {
    if (Closed)
      return;
    SoupMessageBody *Body = soup_server_message_get_response_body(Message);
    if (!Streaming) {
      Streaming = true;
      soup_server_message_set_status(Message, SOUP_STATUS_OK, nullptr);
      soup_message_headers_set_encoding(
          soup_server_message_get_response_headers(Message),
          SOUP_ENCODING_CHUNKED);
      soup_message_body_set_accumulate(Body, FALSE);
    }
    const std::string Text = Line + "\n";
    soup_message_body_append(Body, SOUP_MEMORY_COPY, Text.data(), Text.size());
    soup_server_message_unpause(Message);
  }

  void abort() override {
    if (Closed)
      return;
    Answered = true;
    GSocket *Socket = soup_server_message_get_socket(Message);
    // The server may have closed the connection already.
    if (!Socket || g_socket_is_closed(Socket))
      return;
    g_socket_shutdown(Socket, TRUE, TRUE, nullptr);
    soup_server_message_unpause(Message);
  }

  bool isClosed() const override { return Closed; }

private:
  static void onClosed(SoupServerMessage *, gpointer Data) {
    static_cast<SoupResponder *>(Data)->Closed = true;
  }

  SoupServerMessage *Message;
  gulong FinishedHandler = 0;
  bool Answered = false;
  bool Streaming = false;
  bool Closed = false;
};

std::string headerValue(SoupServerMessage *Message, const char *Name) {
  const char *Value = soup_message_headers_get_one(
      soup_server_message_get_request_headers(Message), Name);
  return Value ? Value : "";
}

std::string requestBody(SoupServerMessage *Message) {
  GBytes *Flat =
      soup_message_body_flatten(soup_server_message_get_request_body(Message));
  gsize Size = 0;
  const auto *Data = static_cast<const char *>(g_bytes_get_data(Flat, &Size));
  std::string Body(Data ? Data : "", Size);
  g_bytes_unref(Flat);
  return Body;
}

std::map<std::string, std::string> copyQuery(GHashTable *Query) {
  std::map<std::string, std::string> Result;
  if (!Query)
    return Result;
  GHashTableIter Position;
  gpointer Name = nullptr;
  gpointer Value = nullptr;
  g_hash_table_iter_init(&Position, Query);
  while (g_hash_table_iter_next(&Position, &Name, &Value))
    Result[static_cast<const char *>(Name)] =
        Value ? static_cast<const char *>(Value) : "";
  return Result;
}

void onRequest(SoupServer *, SoupServerMessage *Message, const char *Path,
               GHashTable *Query, gpointer Data) {
  const auto &Handle = *static_cast<Handler *>(Data);
  const ServerRequest Request{soup_server_message_get_method(Message),
                              Path,
                              requestBody(Message),
                              headerValue(Message, "Authorization"),
                              headerValue(Message, "X-Burdockstream-Signature"),
                              copyQuery(Query)};
  soup_server_message_pause(Message);
  Handle(Request, std::make_shared<SoupResponder>(Message));
}

// Returns nothing and sets Cause if Address cannot be bound.
GSocket *openListener(GSocketAddress *Address, int Backlog, GError **Cause) {
  GSocket *Socket = g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
                                 G_SOCKET_PROTOCOL_TCP, Cause);
  if (!Socket)
    return nullptr;
  g_socket_set_listen_backlog(Socket, Backlog);
  if (!g_socket_bind(Socket, Address, TRUE, Cause) ||
      !g_socket_listen(Socket, Cause))
    g_clear_object(&Socket);
  return Socket;
}

} // namespace

HttpServer::HttpServer(Handler InitHandler)
    : Handle(std::move(InitHandler)),
      Server(soup_server_new(nullptr, nullptr)) {
  soup_server_add_handler(Server, nullptr, onRequest, &Handle, nullptr);
}

HttpServer::~HttpServer() {
  close();
  g_object_unref(Server);
}

base::Result<void> HttpServer::listen(base::SocketAddress Address,
                                      int Backlog) {
  const std::string Text = base::toString(Address);
  const std::string Ip = Text.substr(0, Text.find(':'));
  GSocketAddress *Native =
      g_inet_socket_address_new_from_string(Ip.c_str(), Address.Port);
  GError *Cause = nullptr;
  GSocket *Socket = openListener(Native, Backlog, &Cause);
  const gboolean Listening =
      Socket && soup_server_listen_socket(Server, Socket,
                                          SoupServerListenOptions(0), &Cause);
  g_clear_object(&Socket);
  g_object_unref(Native);
  if (Listening)
    return boost::outcome_v2::success();
  const std::string Reason = Cause ? Cause->message : "no reason given";
  g_clear_error(&Cause);
  return makeError(ErrorKind::Unavailable,
                   "cannot listen on " + Text + " (" + Reason +
                       "); choose a free address in the settings");
}

void HttpServer::close() { soup_server_disconnect(Server); }

} // namespace burdockstream::http
