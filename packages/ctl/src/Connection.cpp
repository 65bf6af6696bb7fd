#include "burdockstream/ctl/Connection.h"

#include "burdockstream/base/JsonText.h"

#include <algorithm>
#include <glib.h>
#include <optional>
#include <utility>

namespace burdockstream::ctl {

using base::ErrorKind;

namespace {

// A balancer serves reads from memory. One that takes longer than this is
// unreachable or overloaded, and the next one is tried.
constexpr base::Duration ReadTimeout = std::chrono::seconds(2);

bool isWrite(const std::string &Method) {
  return Method == "record.put" || Method == "record.retire";
}

base::Result<Json::Value>
parseResponse(base::SocketAddress Server,
              const base::Result<http::HttpResponse> &Response) {
  if (Response.has_error())
    return Response.error();
  const std::string Name = base::toString(Server);
  if (Response.value().Status != 200)
    return base::makeError(ErrorKind::NotFound,
                           Name + " returned HTTP status " +
                               std::to_string(Response.value().Status) +
                               "; specify a daemon of flow services");
  const auto Document = base::JsonDocument::parse(Response.value().Body, Name);
  if (Document.has_error())
    return Document.error();
  return Document.value().root();
}

// Returns whether the call may be retried at another server after an error of
// Kind without the risk that the method takes effect twice.
bool mayTryNextServer(const std::string &Method, ErrorKind Kind) {
  return Kind == ErrorKind::Unavailable ||
         (Kind == ErrorKind::OutcomeUnknown && !isWrite(Method));
}

} // namespace

Connection::Connection(ConnectionSettings InitSettings)
    : Settings(std::move(InitSettings)), Client({Settings.Token, {}}, [] {
        return base::WallTime{g_get_real_time() / 1'000};
      }) {}

base::Duration Connection::timeoutFor(const std::string &Method) const {
  return isWrite(Method) ? Settings.Timeout
                         : std::min(Settings.Timeout, ReadTimeout);
}

admin::RpcResult Connection::callServer(base::SocketAddress Server,
                                        const std::string &Method,
                                        const Json::Value &Parameters) {
  std::optional<admin::RpcResult> Result;
  Client.call({Server, Method, Parameters, timeoutFor(Method)},
              [&](admin::RpcResult Value) { Result = std::move(Value); });
  while (!Result)
    g_main_context_iteration(nullptr, TRUE);
  return *std::move(Result);
}

admin::RpcResult Connection::call(const std::string &Method,
                                  const Json::Value &Parameters) {
  admin::RpcResult LastResult =
      base::makeError(ErrorKind::Unavailable, "no server is specified");
  for (size_t I = 0; I < Settings.Servers.size(); ++I) {
    const base::SocketAddress Server = Settings.Servers[CurrentServer];
    if (isWrite(Method)) {
      LastResult = callServer(Server, "status", Json::objectValue);
      if (LastResult.has_error() &&
          !mayTryNextServer("status", LastResult.error().Kind))
        return LastResult;
    }
    if (!isWrite(Method) || LastResult.has_value()) {
      LastResult = callServer(Server, Method, Parameters);
      if (LastResult.has_value() ||
          !mayTryNextServer(Method, LastResult.error().Kind))
        return LastResult;
    }
    CurrentServer = (CurrentServer + 1) % Settings.Servers.size();
  }
  // Nothing was written: each server failed before the write or rejected it.
  if (LastResult.error().Kind == ErrorKind::OutcomeUnknown)
    return base::makeError(ErrorKind::Unavailable, LastResult.error().Message);
  return LastResult;
}

std::vector<admin::RpcResult>
Connection::callEach(const std::vector<base::SocketAddress> &Servers,
                     const std::string &Method, base::Duration Limit) {
  const base::Duration Timeout = std::min(timeoutFor(Method), Limit);
  std::vector<admin::RpcResult> Results(
      Servers.size(), base::makeError(ErrorKind::Unavailable, "no response"));
  size_t Outstanding = Servers.size();
  for (size_t I = 0; I < Servers.size(); ++I)
    Client.call({Servers[I], Method, Json::objectValue, Timeout},
                [&, I](admin::RpcResult Value) {
                  Results[I] = std::move(Value);
                  --Outstanding;
                });
  while (Outstanding > 0)
    g_main_context_iteration(nullptr, TRUE);
  return Results;
}

std::vector<base::Result<Json::Value>>
Connection::fetchEach(const std::vector<base::SocketAddress> &Servers,
                      const std::string &Path) {
  std::vector<base::Result<Json::Value>> Results(
      Servers.size(), base::makeError(ErrorKind::Unavailable,
                                      "no response; check the address"));
  size_t Outstanding = Servers.size();
  for (size_t I = 0; I < Servers.size(); ++I)
    DocumentClient.send(
        {"http://" + base::toString(Servers[I]) + Path,
         "",
         {},
         std::min(Settings.Timeout, ReadTimeout),
         "GET"},
        [&, I](const base::Result<http::HttpResponse> &Response) {
          --Outstanding;
          Results[I] = parseResponse(Servers[I], Response);
        });
  while (Outstanding > 0)
    g_main_context_iteration(nullptr, TRUE);
  return Results;
}

Hooks makeHooks(Connection &Conn) {
  Hooks Hooks;
  Hooks.ReadFile = base::readTextFile;
  Hooks.Call = [&Conn](const std::string &Method,
                       const Json::Value &Parameters) {
    return Conn.call(Method, Parameters);
  };
  Hooks.CallEach = [&Conn](const std::vector<base::SocketAddress> &Servers,
                           const std::string &Method, base::Duration Limit) {
    return Conn.callEach(Servers, Method, Limit);
  };
  Hooks.FetchEach = [&Conn](const std::vector<base::SocketAddress> &Servers,
                            const std::string &Path) {
    return Conn.fetchEach(Servers, Path);
  };
  Hooks.Now = [] {
    return base::TimePoint(base::Duration(g_get_monotonic_time()));
  };
  Hooks.Sleep = [](base::Duration Time) {
    bool Expired = false;
    g_timeout_add(
        static_cast<guint>(
            std::chrono::duration_cast<std::chrono::milliseconds>(Time)
                .count()),
        [](gpointer Data) -> gboolean {
          *static_cast<bool *>(Data) = true;
          return G_SOURCE_REMOVE;
        },
        &Expired);
    while (!Expired)
      g_main_context_iteration(nullptr, TRUE);
  };
  return Hooks;
}

} // namespace burdockstream::ctl
