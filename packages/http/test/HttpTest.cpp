#include "burdockstream/http/HttpClient.h"
#include "burdockstream/http/HttpServer.h"

#include <glib.h>
#include <gtest/gtest.h>
#include <optional>

namespace burdockstream::http {
namespace {

constexpr base::SocketAddress ServerAddress{0x7f000001, 28471};
const char *const ServerUrl = "http://127.0.0.1:28471/path";

// Runs the loop until Done returns true.
template <typename Predicate> void runLoopUntil(Predicate Done) {
  while (!Done())
    g_main_context_iteration(nullptr, TRUE);
}

base::Result<Json::Value> post(HttpClient &Client, base::Duration Timeout) {
  std::optional<base::Result<Json::Value>> Answer;
  Client.postJson(
      {ServerUrl, "{}", {}, Timeout},
      [&](base::Result<Json::Value> Value) { Answer = std::move(Value); });
  runLoopUntil([&] { return Answer.has_value(); });
  return *Answer;
}

TEST(HttpTest, SendsTheHandlersBody) {
  HttpServer Server([](const ServerRequest &Request,
                       const std::shared_ptr<Responder> &Out) {
    Out->send({200, "application/json", "{\"path\":\"" + Request.Path + "\"}"});
  });
  ASSERT_TRUE(Server.listen(ServerAddress).has_value());
  HttpClient Client;
  const auto Answer = post(Client, std::chrono::seconds(5));
  ASSERT_TRUE(Answer.has_value()) << Answer.error().Message;
  EXPECT_EQ(Answer.value()["path"].asString(), "/path");
}

// Guards against reporting a refused connection as an unknown outcome: the
// request was not sent.
TEST(HttpTest, RefusedConnectionIsUnavailable) {
  HttpClient Client;
  const auto Answer = post(Client, std::chrono::seconds(5));
  ASSERT_TRUE(Answer.has_error());
  EXPECT_EQ(Answer.error().Kind, base::ErrorKind::Unavailable);
}

// Guards against reporting a lost response as a request that was not sent: the
// server may have processed it.
TEST(HttpTest, LostResponseIsOutcomeUnknown) {
  HttpServer Server(
      [](const ServerRequest &, const std::shared_ptr<Responder> &Out) {
        Out->abort();
      });
  ASSERT_TRUE(Server.listen(ServerAddress).has_value());
  HttpClient Client;
  const auto Answer = post(Client, std::chrono::seconds(5));
  ASSERT_TRUE(Answer.has_error());
  EXPECT_EQ(Answer.error().Kind, base::ErrorKind::OutcomeUnknown);
}

TEST(HttpTest, MissingResponseTimesOutAsOutcomeUnknown) {
  std::shared_ptr<Responder> Kept;
  HttpServer Server([&](const ServerRequest &,
                        const std::shared_ptr<Responder> &Out) { Kept = Out; });
  ASSERT_TRUE(Server.listen(ServerAddress).has_value());
  HttpClient Client;
  const auto Answer = post(Client, std::chrono::milliseconds(50));
  ASSERT_TRUE(Answer.has_error());
  EXPECT_EQ(Answer.error().Kind, base::ErrorKind::OutcomeUnknown);
}

// Guards against a response that takes any amount of memory.
TEST(HttpTest, ALongBodyEndsTheCall) {
  HttpServer Server(
      [](const ServerRequest &, const std::shared_ptr<Responder> &Out) {
        Out->send({200, "text/plain", std::string(1000, 'x')});
      });
  ASSERT_TRUE(Server.listen(ServerAddress).has_value());
  HttpClient Client;
  for (const size_t Limit : {1000U, 999U, 1000U}) {
    HttpRequest Request;
    Request.Url = ServerUrl;
    Request.MaxBodyBytes = Limit;
    std::optional<base::Result<HttpResponse>> Answer;
    Client.send(Request, [&](base::Result<HttpResponse> Response) {
      Answer = std::move(Response);
    });
    runLoopUntil([&] { return Answer.has_value(); });
    ASSERT_EQ(Answer->has_value(), Limit == 1000U);
    if (Limit == 999U) {
      EXPECT_EQ(Answer->error().Kind, base::ErrorKind::LimitExceeded);
    }
  }
}

TEST(HttpTest, StreamsLinesAndReportsTheEnd) {
  std::shared_ptr<Responder> Kept;
  HttpServer Server(
      [&](const ServerRequest &, const std::shared_ptr<Responder> &Out) {
        Kept = Out;
        Out->sendLine("{\"n\":1}");
      });
  ASSERT_TRUE(Server.listen(ServerAddress).has_value());
  HttpClient Client;
  std::vector<int> Values;
  bool Ended = false;
  const auto Stream = Client.streamJson(
      {ServerUrl, "{}", {}, std::chrono::seconds(5)},
      [&](const Json::Value &Value) { Values.push_back(Value["n"].asInt()); },
      [&](const base::Error &) { Ended = true; });
  runLoopUntil([&] { return Values.size() == 1; });
  Kept->sendLine("{\"n\":2}");
  runLoopUntil([&] { return Values.size() == 2; });
  Kept->abort();
  runLoopUntil([&] { return Ended; });
  EXPECT_EQ(Values, (std::vector<int>{1, 2}));
}

// Guards against a callback after the destruction of its client, which could
// access objects destroyed together with the client.
TEST(HttpTest, DestroyedClientInvokesNoCallback) {
  bool Called = false;
  std::shared_ptr<Responder> Unanswered;
  HttpServer Server(
      [&](const ServerRequest &, const std::shared_ptr<Responder> &Out) {
        Unanswered = Out;
      });
  ASSERT_TRUE(Server.listen(ServerAddress).has_value());
  {
    HttpClient Client;
    Client.send({ServerUrl, "{}", {}, std::chrono::seconds(5)},
                [&](const base::Result<HttpResponse> &) { Called = true; });
    runLoopUntil([&] { return Unanswered != nullptr; });
  }
  Unanswered->send({200, "application/json", "{}"});
  // When this request completes, the loop has processed the cancelled call too.
  HttpClient Other;
  std::optional<base::Result<Json::Value>> Answer;
  Other.postJson(
      {ServerUrl, "{}", {}, std::chrono::milliseconds(300)},
      [&](base::Result<Json::Value> Value) { Answer = std::move(Value); });
  runLoopUntil([&] { return Answer.has_value(); });
  EXPECT_FALSE(Called);
}

// Guards against a server that cannot listen again after it was closed while
// clients were connected.
TEST(HttpTest, ListensAgainAfterItClosedOnItsClients) {
  HttpServer Server(
      [](const ServerRequest &, const std::shared_ptr<Responder> &Out) {
        Out->send({200, "application/json", "{}"});
      });
  HttpClient Client;
  for (int Round = 0; Round < 40; ++Round) {
    ASSERT_TRUE(Server.listen(ServerAddress).has_value());
    int Outstanding = 4;
    for (int I = 0; I < 4; ++I)
      Client.send({ServerUrl, "{}", {}, std::chrono::milliseconds(300)},
                  [&](const base::Result<HttpResponse> &) { --Outstanding; });
    // Each round closes the server at a different point of the exchanges.
    for (int I = 0; I < Round && Outstanding > 0; ++I)
      g_main_context_iteration(nullptr, FALSE);
    Server.close();
    runLoopUntil([&] { return Outstanding == 0; });
  }
}

} // namespace
} // namespace burdockstream::http
