// Answers of the administration API that a test scripts, and virtual time.
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
  const auto Doc = base::JsonDocument::parse(Text, "test");
  EXPECT_TRUE(Doc.has_value()) << Text;
  return Doc.has_value() ? Doc.value().root() : Json::Value();
}

inline base::Error error(base::ErrorKind Kind, const std::string &Text) {
  return base::makeError(Kind, Text);
}

struct FakeServer {
  // Answers by method; the last one of a method is used again.
  std::map<std::string, std::vector<admin::RpcResult>> Answers;
  // Answers to CallEach by server and by round; the last one is used again.
  std::map<std::string, std::vector<admin::RpcResult>> Status;
  // Documents by server and path; others do not answer.
  std::map<std::string, Json::Value> Documents;
  std::map<std::string, std::string> Files;
  std::vector<std::pair<std::string, Json::Value>> Calls;
  base::TimePoint Time{};

  static admin::RpcResult
  next(std::map<std::string, std::vector<admin::RpcResult>> &From,
       const std::string &Key) {
    auto &List = From[Key];
    if (List.empty())
      return error(base::ErrorKind::Unavailable, Key + " does not answer");
    admin::RpcResult First = List.front();
    if (List.size() > 1)
      List.erase(List.begin());
    return First;
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
      return next(Answers, Method);
    };
    Hooks.CallEach = [this](const std::vector<base::SocketAddress> &Servers,
                            const std::string &, base::Duration) {
      std::vector<admin::RpcResult> Results;
      Results.reserve(Servers.size());
      for (const base::SocketAddress Server : Servers)
        Results.push_back(next(Status, base::toString(Server)));
      return Results;
    };
    Hooks.FetchEach = [this](const std::vector<base::SocketAddress> &Servers,
                             const std::string &Path) {
      std::vector<base::Result<Json::Value>> Results;
      for (const base::SocketAddress Server : Servers) {
        const auto Found = Documents.find(base::toString(Server) + Path);
        if (Found == Documents.end())
          Results.emplace_back(
              error(base::ErrorKind::Unavailable, "does not answer"));
        else
          Results.emplace_back(Found->second);
      }
      return Results;
    };
    Hooks.Now = [this] { return Time; };
    Hooks.Wait = [this](base::Duration Pause) { Time += Pause; };
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

inline std::string record(const std::string &Service, int Port, int Slots = 2) {
  return R"({"schema_version": 2, "team": "retail", "service": ")" + Service +
         R"(", "address": "127.0.10.1:)" + std::to_string(Port) +
         R"(", "limits": {"slots_per_endpoint": )" + std::to_string(Slots) +
         "}}";
}

// The answer of record.get.
inline Json::Value stored(const std::string &Body, int Revision) {
  Json::Value Answer;
  Answer["revision"] = Revision;
  Answer["body"] = Body;
  return Answer;
}

inline Json::Value written(int Revision, bool Changed = true) {
  Json::Value Answer = json(R"({"service": "shopdesk", "contested_with": []})");
  Answer["revision"] = Revision;
  Answer["changed"] = Changed;
  return Answer;
}

} // namespace burdockstream::ctl

#endif
