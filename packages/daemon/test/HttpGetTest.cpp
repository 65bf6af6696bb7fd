#include "ApiFixture.h"

#include <arpa/inet.h>
#include <gmock/gmock.h>
#include <sys/socket.h>
#include <unistd.h>

namespace burdockstream::daemon {
namespace {

using ::testing::HasSubstr;
using ::testing::StartsWith;

// Sends a GET request and returns the response with its headers.
std::string get(base::SocketAddress Server, const std::string &Path) {
  const int Socket = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_addr.s_addr = htonl(Server.Ip);
  Address.sin_port = htons(Server.Port);
  EXPECT_EQ(connect(Socket, reinterpret_cast<const sockaddr *>(&Address),
                    sizeof(Address)),
            0);
  const std::string Request =
      "GET " + Path + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
  EXPECT_EQ(send(Socket, Request.data(), Request.size(), 0),
            static_cast<ssize_t>(Request.size()));
  std::string Response;
  for (;;) {
    char Buffer[4096];
    const ssize_t Size = recv(Socket, Buffer, sizeof(Buffer), MSG_DONTWAIT);
    if (Size == 0)
      break;
    if (Size > 0)
      Response.append(Buffer, static_cast<size_t>(Size));
    else
      g_main_context_iteration(nullptr, FALSE);
  }
  close(Socket);
  return Response;
}

// Guards against health checks that require a token or report the wrong state.
TEST(HttpGetTest, HealthChecksNeedNoToken) {
  ApiFixture Api;
  EXPECT_THAT(get(ApiFixture::BalancerControl, "/healthz"),
              StartsWith("HTTP/1.1 200 "));
  EXPECT_THAT(get(ApiFixture::BalancerControl, "/readyz"),
              HasSubstr("\r\n\r\nyes\n"));
  nodes::ActionSink Out;
  Api.Balancer.beginShutdown(
      {base::TimePoint(std::chrono::seconds(6)), base::WallTime{6000}}, Out);
  const std::string Stopping = get(ApiFixture::BalancerControl, "/readyz");
  EXPECT_THAT(Stopping, StartsWith("HTTP/1.1 503 "));
  EXPECT_THAT(Stopping, HasSubstr("\r\n\r\nno\n"));
  EXPECT_THAT(get(ApiFixture::BalancerControl, "/healthz"),
              StartsWith("HTTP/1.1 200 "));
}

// Guards against metrics in a format that Prometheus cannot parse.
TEST(HttpGetTest, MetricsAreInPrometheusTextFormat) {
  ApiFixture Api;
  for (const auto Control :
       {ApiFixture::BalancerControl, ApiFixture::AgentControl}) {
    const std::string Response = get(Control, "/metrics");
    EXPECT_THAT(Response, StartsWith("HTTP/1.1 200 "));
    EXPECT_THAT(Response, HasSubstr("text/plain; version=0.0.4"));
    EXPECT_THAT(Response, HasSubstr("\n# TYPE burdockstream_"));
  }
}

TEST(HttpGetTest, UnknownPathsAreNotFound) {
  ApiFixture Api;
  EXPECT_THAT(get(ApiFixture::AgentControl, "/status"),
              StartsWith("HTTP/1.1 404 "));
}

} // namespace
} // namespace burdockstream::daemon
