#include "burdockstream/ctl/Connection.h"

#include "burdockstream/base/JsonText.h"

#include <algorithm>
#include <glib.h>
#include <optional>
#include <utility>

namespace burdockstream::ctl {

using base::ErrorKind;

namespace {

// A balancer answers a read out of its memory. One that needs longer than this
// is unreachable or overloaded, and the next one is tried.
constexpr base::Duration ReadTimeout = std::chrono::seconds(2);

bool isWrite(const std::string &Method) {
  return Method == "record.put" || Method == "record.retire";
}

base::Result<Json::Value>
readDocument(base::SocketAddress From,
             const base::Result<http::HttpResponse> &Answer) {
  if (Answer.has_error())
    return Answer.error();
  const std::string Name = base::toString(From);
  if (Answer.value().Status != 200)
    return base::makeError(ErrorKind::NotFound,
                           Name + " answered with HTTP status " +
                               std::to_string(Answer.value().Status) +
                               "; name a daemon of flow services");
  const auto Document = base::JsonDocument::parse(Answer.value().Body, Name);
  if (Document.has_error())
    return Document.error();
  return Document.value().root();
}

// Whether another server may be asked after Error without the risk that the
// method runs twice.
bool mayAskNext(const std::string &Method, ErrorKind Kind) {
  return Kind == ErrorKind::Unavailable ||
         (Kind == ErrorKind::OutcomeUnknown && !isWrite(Method));
}

} // namespace

Connection::Connection(ConnectionSettings InitSettings)
    : Settings(std::move(InitSettings)), Client({Settings.Token, {}}, [] {
        return base::WallTime{g_get_real_time() / 1'000};
      }) {}

base::Duration Connection::timeoutOf(const std::string &Method) const {
  return isWrite(Method) ? Settings.Timeout
                         : std::min(Settings.Timeout, ReadTimeout);
}

admin::RpcResult Connection::callAt(base::SocketAddress Server,
                                    const std::string &Method,
                                    const Json::Value &Parameters) {
  std::optional<admin::RpcResult> Result;
  Client.call({Server, Method, Parameters, timeoutOf(Method)},
              [&](admin::RpcResult Value) { Result = std::move(Value); });
  while (!Result)
    g_main_context_iteration(nullptr, TRUE);
  return *std::move(Result);
}

admin::RpcResult Connection::call(const std::string &Method,
                                  const Json::Value &Parameters) {
  admin::RpcResult Last =
      base::makeError(ErrorKind::Unavailable, "no server is named");
  for (size_t I = 0; I < Settings.Servers.size(); ++I) {
    const base::SocketAddress Server = Settings.Servers[Selected];
    if (isWrite(Method)) {
      Last = callAt(Server, "status", Json::objectValue);
      if (Last.has_error() && !mayAskNext("status", Last.error().Kind))
        return Last;
    }
    if (!isWrite(Method) || Last.has_value()) {
      Last = callAt(Server, Method, Parameters);
      if (Last.has_value() || !mayAskNext(Method, Last.error().Kind))
        return Last;
    }
    Selected = (Selected + 1) % Settings.Servers.size();
  }
  // Nothing was written: each server failed before the write or refused it.
  if (Last.error().Kind == ErrorKind::OutcomeUnknown)
    return base::makeError(ErrorKind::Unavailable, Last.error().Message);
  return Last;
}

std::vector<admin::RpcResult>
Connection::callEach(const std::vector<base::SocketAddress> &Servers,
                     const std::string &Method, base::Duration Limit) {
  const base::Duration Timeout = std::min(timeoutOf(Method), Limit);
  std::vector<admin::RpcResult> Results(
      Servers.size(), base::makeError(ErrorKind::Unavailable, "no answer"));
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
      Servers.size(),
      base::makeError(ErrorKind::Unavailable, "no answer; check the address"));
  size_t Outstanding = Servers.size();
  for (size_t I = 0; I < Servers.size(); ++I)
    Reader.send({"http://" + base::toString(Servers[I]) + Path,
                 "",
                 {},
                 std::min(Settings.Timeout, ReadTimeout),
                 "GET"},
                [&, I](const base::Result<http::HttpResponse> &Answer) {
                  --Outstanding;
                  Results[I] = readDocument(Servers[I], Answer);
                });
  while (Outstanding > 0)
    g_main_context_iteration(nullptr, TRUE);
  return Results;
}

Hooks programHooks(Connection &Link) {
  Hooks Hooks;
  Hooks.ReadFile = base::readTextFile;
  Hooks.Call = [&Link](const std::string &Method,
                       const Json::Value &Parameters) {
    return Link.call(Method, Parameters);
  };
  Hooks.CallEach = [&Link](const std::vector<base::SocketAddress> &Servers,
                           const std::string &Method, base::Duration Limit) {
    return Link.callEach(Servers, Method, Limit);
  };
  Hooks.FetchEach = [&Link](const std::vector<base::SocketAddress> &Servers,
                            const std::string &Path) {
    return Link.fetchEach(Servers, Path);
  };
  Hooks.Now = [] {
    return base::TimePoint(base::Duration(g_get_monotonic_time()));
  };
  Hooks.Wait = [](base::Duration Time) {
    bool Over = false;
    g_timeout_add(
        static_cast<guint>(
            std::chrono::duration_cast<std::chrono::milliseconds>(Time)
                .count()),
        [](gpointer Data) -> gboolean {
          *static_cast<bool *>(Data) = true;
          return G_SOURCE_REMOVE;
        },
        &Over);
    while (!Over)
      g_main_context_iteration(nullptr, TRUE);
  };
  return Hooks;
}

} // namespace burdockstream::ctl
