// The methods of Cluster that send commands to the stand-ins.
#include "Cluster.h"

#include "JsonText.h"

#include <algorithm>
#include <gio/gio.h>
#include <glog/logging.h>
#include <json/writer.h>

namespace burdockstream::e2e {

namespace {

constexpr gint64 AnswerTimeoutMicroseconds = 2 * gint64{G_USEC_PER_SEC};

std::string sendCommand(base::SocketAddress Control, const std::string &Text) {
  GSocket *Socket = g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_DATAGRAM,
                                 G_SOCKET_PROTOCOL_UDP, nullptr);
  const std::string Address = base::toString(Control);
  GSocketAddress *Peer = g_inet_socket_address_new_from_string(
      Address.substr(0, Address.find(':')).c_str(), Control.Port);
  g_socket_connect(Socket, Peer, nullptr, nullptr);
  g_object_unref(Peer);
  g_socket_send(Socket, Text.data(), Text.size(), nullptr, nullptr);
  std::string Answer(65536, '\0');
  gssize Size = 0;
  if (g_socket_condition_timed_wait(Socket, G_IO_IN, AnswerTimeoutMicroseconds,
                                    nullptr, nullptr))
    Size = g_socket_receive(Socket, Answer.data(), Answer.size(), nullptr,
                            nullptr);
  g_object_unref(Socket);
  Answer.resize(static_cast<size_t>(std::max<gssize>(Size, 0)));
  return Answer;
}

} // namespace

Json::Value Cluster::command(base::SocketAddress Control,
                             const Json::Value &Command) {
  Json::StreamWriterBuilder Builder;
  Builder["indentation"] = "";
  return parseJson(sendCommand(Control, Json::writeString(Builder, Command)));
}

void Cluster::setStoreFault(const std::string &Fault, int DelayMilliseconds) {
  Json::StreamWriterBuilder Builder;
  Json::Value Body;
  Body["fault"] = Fault;
  Body["delay_ms"] = DelayMilliseconds;
  const http::HttpRequest Request{"http://" + base::toString(Layout.store()) +
                                      "/control",
                                  Json::writeString(Builder, Body),
                                  {},
                                  std::chrono::seconds(5)};
  http::HttpClient Client;
  bool Done = false;
  Client.postJson(Request, [&](const base::Result<Json::Value> &Answer) {
    CHECK(Answer.has_value()) << Answer.error().Message;
    Done = true;
  });
  while (!Done)
    g_main_context_iteration(nullptr, TRUE);
}

void Cluster::publish(const Service &Svc, const std::string &Board, int Count) {
  Json::Value Command;
  Command["command"] = "publish";
  Command["board"] = Board;
  Command["count"] = Count;
  for (const EndpointPlacement &Placement : Placements)
    if (Placement.OwningService->Name == Svc.Name)
      command(Layout.endpointControl(Placement.Index), Command);
}

std::map<std::string, int> Cluster::runsByRequest(const Service &Svc) {
  std::map<std::string, int> Runs;
  for (const EndpointPlacement &Placement : Placements) {
    if (Placement.OwningService->Name != Svc.Name)
      continue;
    Json::Value Command;
    Command["command"] = "journal";
    Command["from"] = 0;
    while (true) {
      const Json::Value Page =
          command(Layout.endpointControl(Placement.Index), Command);
      for (const Json::Value &Entry : Page["entries"])
        if (!Entry["rid"].asString().empty())
          ++Runs[Entry["rid"].asString()];
      if (Page["entries"].empty())
        break;
      Command["from"] = Page["next"];
    }
  }
  return Runs;
}

} // namespace burdockstream::e2e
