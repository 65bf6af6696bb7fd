// Runs one deployment as separate processes (store, fabric, balancers,
// endpoints and agents) and sends commands and API calls to them.
#ifndef BURDOCKSTREAM_E2E_CLUSTER_H
#define BURDOCKSTREAM_E2E_CLUSTER_H

#include "Deployment.h"
#include "Process.h"
#include "burdockstream/admin/RpcClient.h"

#include <chrono>
#include <json/value.h>
#include <map>
#include <memory>
#include <string>

namespace burdockstream::e2e {

struct CallerOptions {
  unsigned Callers = 50;
  double RequestsPerSecond = 50; // over all callers
  unsigned RunSeconds = 10;
  std::string Mix = "echo=6,sheet=1,put=1,booking=2";
  std::string Boards = "/board/1";
};

class Cluster {
public:
  // Creates a temporary folder for settings and logs, but starts no process.
  // The destructor kills all processes and deletes the folder, unless the
  // environment variable E2E_KEEP_LOGS is set. Thread safety: loop thread only,
  // for all methods.
  Cluster(Deployment InitLayout, size_t InitBalancerCount);
  ~Cluster();
  Cluster(const Cluster &) = delete;
  Cluster &operator=(const Cluster &) = delete;

  // Starts all processes but the callers, writes the service records and waits
  // until every bucket has an owner. Returns false on a time-out; Timeout
  // applies to each of these waits.
  bool start(std::chrono::seconds Timeout);

  // Starts a balancer or an agent. If it is running, it is killed first. Index
  // counts from 1.
  void startBalancer(size_t Index);
  void startAgent(size_t Index);
  // Kills the agent and the endpoint with this index and starts an agent and an
  // endpoint of another service at the same addresses. Svc must outlive the
  // cluster.
  void replaceEndpoint(size_t Index, const Service &Svc);

  // Precondition: the process was started.
  Process &balancer(size_t Index) {
    return *Processes.at("balancer-" + std::to_string(Index));
  }
  Process &agent(size_t Index) {
    return *Processes.at("agent-" + std::to_string(Index));
  }
  Process &endpoint(size_t Index) {
    return *Processes.at("endpoint-" + std::to_string(Index));
  }

  // Starts the callers of a service in one process. Precondition: Svc is
  // an element of deployment().Services.
  Process &startCallers(const Service &Svc, const CallerOptions &Options);

  // Waits until the callers of a service exit and returns their report, or null
  // if it cannot be parsed. Precondition: startCallers(Svc).
  Json::Value callerReport(const Service &Svc);

  // Calls a method of the administration API with the token of Team and waits
  // for the result.
  admin::RpcResult call(base::SocketAddress Server, const std::string &Team,
                        const std::string &Method,
                        const Json::Value &Parameters = {});

  // Writes the record of a service through the given balancer.
  admin::RpcResult putRecord(const Service &Svc, const std::string &Text,
                             size_t Balancer = 1);

  // Sends a command to the control port of a stand-in and returns the answer,
  // or null if there is none within 2 s.
  Json::Value command(base::SocketAddress Control, const Json::Value &Command);

  // Sets the fault that the store stand-in injects (none, refuse, away or
  // lose_answer) and the delay of its requests.
  void setStoreFault(const std::string &Fault, int DelayMilliseconds = 0);

  // Sends the command "publish" with this board and count to every endpoint of
  // the service.
  void publish(const Service &Svc, const std::string &Board, int Count);

  // Returns how often each request id was run, summed over all endpoints of the
  // service.
  std::map<std::string, int> runsByRequest(const Service &Svc);

  // Returns the number of buckets of the service for which an agent reports
  // that it is the owner, summed over all running agents.
  size_t countOwnedBuckets(const Service &Svc);

  // Polls Done every 100 ms until it returns true. Returns false on a time-out.
  bool waitUntil(const std::function<bool()> &Done,
                 std::chrono::seconds Timeout);

  const Deployment &deployment() const { return Layout; }
  const std::vector<EndpointPlacement> &endpoints() const { return Placements; }
  const std::string &folder() const { return Folder; }

private:
  void launch(const std::string &Name, const std::string &Program,
              std::vector<std::string> Arguments);
  std::string writeFile(const std::string &Name, const std::string &Text);
  void startEndpoint(const EndpointPlacement &Placement);
  void startFabric();
  bool writeRecords(std::chrono::seconds Timeout);

  Deployment Layout;
  size_t BalancerCount;
  std::vector<EndpointPlacement> Placements;
  std::string Folder;
  std::map<std::string, std::unique_ptr<Process>> Processes;
};

} // namespace burdockstream::e2e

#endif
