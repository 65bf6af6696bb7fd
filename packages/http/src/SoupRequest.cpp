#include "SoupRequest.h"

#include "burdockstream/base/JsonText.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

namespace burdockstream::http::internal {

using base::ErrorKind;
using base::makeError;

namespace {

// An idle connection whose peer is lost fails after one second without traffic
// and two unanswered probes, one second apart.
constexpr int KeepAliveIdleSeconds = 1;
constexpr int KeepAliveIntervalSeconds = 1;
constexpr int KeepAliveProbeCount = 2;

// Limit for data that the peer does not acknowledge, for which TCP sends no
// keep-alive probes.
constexpr int UnacknowledgedDataTimeoutMs = 2'500;

void onNetworkEvent(SoupMessage *, GSocketClientEvent Event,
                    GIOStream *Connection, gpointer) {
  if (Event != G_SOCKET_CLIENT_CONNECTED || !G_IS_SOCKET_CONNECTION(Connection))
    return;
  GSocket *Socket =
      g_socket_connection_get_socket(G_SOCKET_CONNECTION(Connection));
  g_socket_set_keepalive(Socket, TRUE);
  g_socket_set_option(Socket, IPPROTO_TCP, TCP_KEEPIDLE, KeepAliveIdleSeconds,
                      nullptr);
  g_socket_set_option(Socket, IPPROTO_TCP, TCP_KEEPINTVL,
                      KeepAliveIntervalSeconds, nullptr);
  g_socket_set_option(Socket, IPPROTO_TCP, TCP_KEEPCNT, KeepAliveProbeCount,
                      nullptr);
  g_socket_set_option(Socket, IPPROTO_TCP, TCP_USER_TIMEOUT,
                      UnacknowledgedDataTimeoutMs, nullptr);
}

} // namespace

SoupMessage *newMessage(const HttpRequest &Request) {
  SoupMessage *Message =
      soup_message_new(Request.Method.c_str(), Request.Url.c_str());
  if (!Message)
    return nullptr;
  g_signal_connect(Message, "network-event", G_CALLBACK(onNetworkEvent),
                   nullptr);
  if (Request.Method == "POST") {
    GBytes *Body = g_bytes_new(Request.Body.data(), Request.Body.size());
    soup_message_set_request_body_from_bytes(Message, "application/json", Body);
    g_bytes_unref(Body);
  }
  SoupMessageHeaders *Headers = soup_message_get_request_headers(Message);
  for (const HttpHeader &Header : Request.Headers)
    soup_message_headers_append(Headers, Header.Name.c_str(),
                                Header.Value.c_str());
  return Message;
}

base::Error transportError(const std::string &Url, const GError *Cause) {
  return transportError(Url, Cause, Cause ? Cause->message : "no reason given");
}

base::Error transportError(const std::string &Url, const GError *Cause,
                           const std::string &Reason) {
  const bool NotSent =
      g_error_matches(Cause, G_IO_ERROR, G_IO_ERROR_CONNECTION_REFUSED) ||
      g_error_matches(Cause, G_IO_ERROR, G_IO_ERROR_HOST_UNREACHABLE) ||
      g_error_matches(Cause, G_IO_ERROR, G_IO_ERROR_NETWORK_UNREACHABLE);
  if (NotSent)
    return makeError(ErrorKind::Unavailable,
                     Url + " cannot be reached (" + Reason +
                         "); check that it runs, then try again");
  return makeError(ErrorKind::OutcomeUnknown,
                   Url + " sent no complete response (" + Reason +
                       "); read the value back before trying again");
}

base::Result<Json::Value> parseJsonResponse(std::string_view Text) {
  const auto Document = base::JsonDocument::parse(Text, "response");
  if (Document.has_error())
    return makeError(ErrorKind::Corrupt,
                     "the response is not JSON: " + Document.error().Message);
  return Document.value().root();
}

} // namespace burdockstream::http::internal
