// Deterministic simulation of a service in virtual time: agents with their
// endpoints, callers, and links that lose, duplicate, delay and reorder
// datagrams. A run is determined by its seed.
#ifndef BURDOCKSTREAM_REQUESTS_TEST_SERVICESIMULATION_H
#define BURDOCKSTREAM_REQUESTS_TEST_SERVICESIMULATION_H

#include "CoreHarness.h"

#include <functional>
#include <map>
#include <memory>
#include <set>

namespace burdockstream::requests {

class ServiceSimulation;

// Size and fault rates of one run.
struct SimulationOptions {
  uint64_t Seed = 0;
  size_t Agents = 1;
  unsigned LossPercent = 0;
  unsigned DuplicatePercent = 0;
  unsigned RestartPercent = 0;  // probability of an endpoint restart per second
  unsigned SuspendPercent = 0;  // probability of a lease loss per second
  unsigned HandoverPercent = 0; // probability of a handover per second
  unsigned ShedPercent = 0;     // probability that an endpoint sheds a request
};

// An endpoint that loses its CoAP message state when it restarts. The list of
// executed requests belongs to the simulation and survives.
class SimulatedEndpoint {
public:
  SimulatedEndpoint(ServiceSimulation &InitOwner, size_t InitIndex)
      : Owner(InitOwner), Index(InitIndex) {}
  void receive(const Bytes &Datagram);
  void restart(base::Duration DownTime);
  void publish(); // sends a new update to all observers

private:
  struct Observer {
    uint32_t Next = 0;     // number of the next update to send
    uint16_t InFlight = 0; // message id of the unacknowledged update
  };
  void onRequest(const CoapMessage &Request);
  void observe(const CoapMessage &Request);
  void run(const CoapMessage &Request);
  void complete(const CoapMessage &Request, CoapMessage Response,
                bool Separate);
  void sendNext(const Bytes &Token);
  void sendConfirmable(CoapMessage Message, int Copies = 5);
  void send(const CoapMessage &Message);

  ServiceSimulation &Owner;
  size_t Index;
  uint64_t Generation = 0; // restarts so far
  bool Down = false;
  uint16_t NextId = 1;
  std::map<uint16_t, CoapMessage>
      Seen; // replies by message id; no message id: still running
  std::set<uint16_t> Unacknowledged;
  std::map<Bytes, Observer> Observers;
};

// A request of a caller and all responses to it.
struct CallerRequest {
  CoapMessage Message;
  std::string RequestId; // empty for idempotent requests
  bool Acknowledged = false;
  std::vector<std::string> Answers; // "CODE PAYLOAD", without duplicates
};

// A caller that retransmits its requests and acknowledges separate responses.
class SimulatedCaller {
public:
  SimulatedCaller(ServiceSimulation &InitOwner, uint16_t InitNumber)
      : Owner(InitOwner), Number(InitNumber) {}
  void get();
  void post();
  void subscribe();
  void receive(const Bytes &Datagram);

  std::map<Bytes, CallerRequest> Requests;
  std::vector<uint32_t> Updates; // numbers as received, without duplicates

private:
  CoapMessage newRequest(Code Method, std::string_view Path);
  void issue(CallerRequest Request);
  void transmit(const Bytes &Token, int Copies, base::Duration Timeout);

  ServiceSimulation &Owner;
  uint16_t Number;
  uint16_t NextId = 1;
  Bytes ObserveToken;
  std::map<uint16_t, base::TimePoint> SeenIds;
};

class ServiceSimulation {
public:
  explicit ServiceSimulation(const SimulationOptions &InitOptions);

  // Generates load for 60 s, then runs until 600 s so that retransmissions end.
  void run();

  void schedule(base::Duration Delay, std::function<void()> Event);
  // Runs Event, a delivery, after a random delay, unless the datagram is lost.
  // Private links, between an agent and its endpoint, lose half as much and
  // duplicate nothing.
  void deliver(bool PrivateLink, const std::function<void()> &Event);
  bool chance(unsigned Percent) { return Random() % 100 < Percent; }
  uint64_t below(uint64_t Bound) { return base::randomBelow(Random, Bound); }
  void sendToAgent(uint16_t Caller, const Bytes &Datagram);
  void endpointSends(size_t Index, const Bytes &Datagram);

  SimulationOptions Options;
  base::Now Now{base::TimePoint{} + 1000s, {StartWall}};
  uint32_t LatestUpdate = 1;
  std::multiset<std::string> ExecutedRequestIds; // rid of each execution
  std::vector<std::unique_ptr<SimulatedCaller>> Callers;
  std::map<Counter, int> Counts;

private:
  struct Agent {
    base::DaemonId Id;
    std::unique_ptr<RequestCore> Core;
    std::unique_ptr<SimulatedEndpoint> Endpoint;
    std::map<base::BucketIndex, messages::BucketAuthority> Authority;
  };
  void addAgent(size_t Index);
  void everySecond(int Second);
  void suspend(Agent &Target);
  void handover(base::BucketIndex Bucket);
  void setRole(Agent &Target, base::BucketIndex Bucket, BucketRole Role);
  void perform(Agent &From);
  void performPeer(Agent &From, const SendToPeer &Value);
  void runUntil(base::TimePoint End);

  base::RandomSource Random;
  base::RandomSource CoreRandom;
  std::vector<Agent> Agents;
  std::map<base::BucketIndex, size_t> OwnerOf;
  std::map<base::BucketIndex, base::Epoch> Epochs;
  std::set<base::BucketIndex> Moving;
  std::multimap<base::TimePoint, std::function<void()>> Events;
  Sink Out;
};

inline constexpr base::BucketIndex SimulatedBuckets = 3;

} // namespace burdockstream::requests

#endif
