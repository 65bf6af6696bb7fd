// Simulates one service in virtual time: agents that run the production request
// core, simulated endpoints, and callers that do not retry. A run depends only
// on its options, which include the seed.
#ifndef BURDOCKSTREAM_BENCH_POLICY_POLICYSIMULATION_H
#define BURDOCKSTREAM_BENCH_POLICY_POLICYSIMULATION_H

#include "Jobs.h"
#include "SimulatedEndpoint.h"

#include "burdockstream/coap/CoapMessage.h"
#include "burdockstream/requests/RequestCore.h"
#include "burdockstream/routing/BucketTable.h"

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace burdockstream::bench {

enum class AgentKind : uint8_t {
  Core,   // runs the request core
  Direct, // passes every request straight to the endpoint's queue
};

// Which requests an agent may pass to another agent.
enum class MoveRule : uint8_t { Never, Short, All };

struct SimulationOptions {
  uint64_t Seed = 1;
  size_t Agents = 7;
  uint16_t Slots = 2;
  AgentKind Kind = AgentKind::Core;
  requests::SchedulingPolicy Policy;
  MoveRule Moves = MoveRule::Never;
  uint8_t MoveAttempts = 1;
  size_t EndpointQueue = 4; // queued requests beyond which an endpoint sheds
  // Agents that own no bucket until ColdStart and whose endpoints start cold.
  size_t ColdAgents = 0;
  base::Duration ColdStart{0};
  Workload Load;
};

// Runs one workload. Thread safety: all methods on one thread.
class PolicySimulation {
public:
  explicit PolicySimulation(SimulationOptions InitOptions);
  ~PolicySimulation();
  PolicySimulation(const PolicySimulation &) = delete;
  PolicySimulation &operator=(const PolicySimulation &) = delete;

  // Runs until all requests have arrived and all their deadlines have passed.
  // Returns every job. Precondition: called once.
  std::vector<Job> run();

private:
  struct Agent;
  void addAgent(size_t Index);
  void schedule(base::Duration Delay, std::function<void()> Event);
  // Submits one request and schedules the next arrival.
  void generateArrival();
  void submit(uint64_t Index);
  // Carries out the actions in Out, which the core of From has requested.
  void performActions(Agent &From);
  void sendToPeer(Agent &From, const requests::SendToPeer &Value);
  void deliverToCaller(const requests::SendToCaller &Value);
  void deliverToEndpoint(Agent &From, const messages::Bytes &Datagram);
  void startWaitingJobs(Agent &Host);
  void deliverFromEndpoint(Agent &Host, const coap::CoapMessage &Message);
  // Publishes the load of every agent, which the others read in choosePeer.
  void reportLoads();
  std::optional<base::DaemonId> choosePeer(size_t Self,
                                           const requests::MoveQuery &Query);
  void advanceTo(base::TimePoint Time);
  void runUntil(base::TimePoint End);
  // Returns the index of the agent that owns the bucket of Flow now.
  size_t agentIndexOf(uint64_t Flow) const;

  SimulationOptions Options;
  base::RandomSource Random;     // for arrivals and run times
  base::RandomSource CoreRandom; // for the request cores
  base::RandomSource MoveRandom; // for the choice of peers
  base::Now Now;
  std::multimap<base::TimePoint, std::function<void()>> Events;
  std::vector<std::unique_ptr<Agent>> Agents;
  routing::BucketTable InitialTable; // in force before ColdStart
  routing::BucketTable FullTable;
  std::vector<Job> Jobs;
  std::map<uint64_t, messages::Bytes> TokenByJob; // at the job's endpoint
  std::vector<uint16_t> NextMessageId;            // per flow
  requests::Sink Out;
};

} // namespace burdockstream::bench

#endif
