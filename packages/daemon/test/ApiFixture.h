// Test fixture: the administration APIs of a balancer and an agent with fixed
// ids, a simulated store and an HTTP client, all on loopback and in one event
// loop.
#ifndef BURDOCKSTREAM_DAEMON_TEST_APIFIXTURE_H
#define BURDOCKSTREAM_DAEMON_TEST_APIFIXTURE_H

#include "AgentApi.h"
#include "BalancerApi.h"
#include "RecordApi.h"
#include "burdockstream/admin/RpcServer.h"
#include "burdockstream/http/HttpClient.h"
#include "burdockstream/testing/StoreStandIn.h"

#include <glib.h>
#include <gtest/gtest.h>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace burdockstream::daemon {

// How a request is authenticated.
enum class Credential { None, Token, Signature };

// Runs the loop until Value is set.
template <typename ValueT> void await(const std::optional<ValueT> &Value) {
  while (!Value)
    g_main_context_iteration(nullptr, TRUE);
}

class ApiFixture {
public:
  static constexpr base::SocketAddress BalancerControl{0x7f000001, 28476};
  static constexpr base::SocketAddress AgentControl{0x7f000001, 28477};
  static constexpr base::SocketAddress StoreAddress{0x7f000001, 28478};

  ApiFixture();

  // Posts a JSON-RPC request and returns the whole response.
  Json::Value post(base::SocketAddress Control, const std::string &Body,
                   Credential Auth);

  base::Result<RecordWriteResult> write(const RecordWrite &Write);

  std::vector<admin::RpcMethod> balancerRpcMethods();
  std::vector<admin::RpcMethod> agentRpcMethods();

  settings::DaemonSettings BalancerSettings;
  settings::DaemonSettings AgentSettings;
  base::RandomSource Random{20261204};
  // Generates the nonces of the records. The golden files contain them, so they
  // must not depend on how often Random is used.
  base::RandomSource NonceRandom{20261204};
  base::Metrics BalancerMetrics;
  base::Metrics AgentMetrics;
  nodes::BalancerNode Balancer;
  nodes::AgentNode Agent;
  testing::StoreStandIn Store;
  store::StoreClient StoreConnection;
  RecordWriter Writer;
  int Transfers = 0; // bucket handover calls that the agent received

private:
  void populateBalancer();
  void populateAgent();

  std::unique_ptr<admin::RpcServer> BalancerServer;
  std::unique_ptr<admin::RpcServer> AgentServer;
  http::HttpClient Http;
};

} // namespace burdockstream::daemon

#endif
