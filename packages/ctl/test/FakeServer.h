// A fake of the administration API with scripted responses, scripted files and
// HTTP documents, and a simulated clock.
#ifndef BURDOCKSTREAM_CTL_TEST_FAKESERVER_H
#define BURDOCKSTREAM_CTL_TEST_FAKESERVER_H

#include "burdockstream/base/JsonText.h"
#include "burdockstream/ctl/Run.h"

#include <gtest/gtest.h>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace burdockstream::ctl {

inline Json::Value json(const std::string &Text) {
  const auto Document = base::JsonDocument::parse(Text, "test");
  EXPECT_TRUE(Document.has_value()) << Text;
  return Document.has_value() ? Document.value().root() : Json::Value();
}

inline base::Error error(base::ErrorKind Kind, const std::string &Text) {
  return base::makeError(Kind, Text);
}

struct FakeServer {
  // Responses of Hooks::Call by method; the last one of a method is repeated.
  std::map<std::string, std::vector<admin::RpcResult>> Responses;
  // Responses of Hooks::CallEach by server, in the order of the calls; the last
  // one of a server is repeated.
  std::map<std::string, std::vector<admin::RpcResult>> StatusResponses;
  // Documents of Hooks::FetchEach by server and path; others are unavailable.
  std::map<std::string, Json::Value> Documents;
  std::map<std::string, std::string> Files;
  // The methods and parameters of Hooks::Call.
  std::vector<std::pair<std::string, Json::Value>> Calls;
  base::TimePoint Time{}; // advanced by Hooks::Sleep

  // Removes and returns the next response for Key; keeps the last one.
  static admin::RpcResult
  nextResponse(std::map<std::string, std::vector<admin::RpcResult>> &ByKey,
               const std::string &Key) {
    auto &List = ByKey[Key];
    if (List.empty())
      return error(base::ErrorKind::Unavailable, Key + " is unavailable");
    admin::RpcResult Response = List.front();
    if (List.size() > 1)
      List.erase(List.begin());
    return Response;
  }

  Hooks hooks() {
    Hooks Hooks;
    Hooks.ReadFile = [this](const std::string &Path) {
      const auto Found = Files.find(Path);
      return Found == Files.end()
                 ? base::Result<std::string>(
                       error(base::ErrorKind::NotFound, Path + ": not found"))
                 : base::Result<std::string>(Found->second);
    };
    Hooks.Call = [this](const std::string &Method,
                        const Json::Value &Parameters) {
      Calls.emplace_back(Method, Parameters);
      return nextResponse(Responses, Method);
    };
    Hooks.CallEach = [this](const std::vector<base::SocketAddress> &Servers,
                            const std::string &, base::Duration) {
      std::vector<admin::RpcResult> Results;
      Results.reserve(Servers.size());
      for (const base::SocketAddress Server : Servers)
        Results.push_back(
            nextResponse(StatusResponses, base::toString(Server)));
      return Results;
    };
    Hooks.FetchEach = [this](const std::vector<base::SocketAddress> &Servers,
                             const std::string &Path) {
      std::vector<base::Result<Json::Value>> Results;
      for (const base::SocketAddress Server : Servers) {
        const auto Found = Documents.find(base::toString(Server) + Path);
        if (Found == Documents.end())
          Results.emplace_back(
              error(base::ErrorKind::Unavailable, "unavailable"));
        else
          Results.emplace_back(Found->second);
      }
      return Results;
    };
    Hooks.Now = [this] { return Time; };
    Hooks.Sleep = [this](base::Duration Pause) { Time += Pause; };
    return Hooks;
  }

  // Returns the parameters of the first call of Method.
  Json::Value sent(const std::string &Method) const {
    for (const auto &[Name, Parameters] : Calls)
      if (Name == Method)
        return Parameters;
    return {};
  }
};

inline Command command(Verb Verb, std::vector<std::string> Arguments) {
  Command Command;
  Command.Verb = Verb;
  Command.Arguments = std::move(Arguments);
  return Command;
}

// The text of a record in schema version 2.
inline std::string record(const std::string &Service, int Port, int Slots = 2) {
  return R"({"schema_version": 2, "team": "retail", "service": ")" + Service +
         R"(", "address": "127.0.10.1:)" + std::to_string(Port) +
         R"(", "limits": {"slots_per_endpoint": )" + std::to_string(Slots) +
         "}}";
}

// The response to record.get.
inline Json::Value getResponse(const std::string &Body, int Revision) {
  Json::Value Response;
  Response["revision"] = Revision;
  Response["body"] = Body;
  return Response;
}

// The response to record.put and record.retire.
inline Json::Value writeResponse(int Revision, bool Changed = true) {
  Json::Value Response =
      json(R"({"service": "shopdesk", "contested_with": []})");
  Response["revision"] = Revision;
  Response["changed"] = Changed;
  return Response;
}

} // namespace burdockstream::ctl

#endif
