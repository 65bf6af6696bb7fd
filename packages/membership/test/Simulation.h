// Discrete-event simulation of balancers and agents in virtual time, connected
// by a network that loses, delays and duplicates messages. Deterministic for a
// given seed.
#ifndef BURDOCKSTREAM_MEMBERSHIP_TEST_SIMULATION_H
#define BURDOCKSTREAM_MEMBERSHIP_TEST_SIMULATION_H

#include "burdockstream/membership/AgentMembership.h"
#include "burdockstream/membership/BalancerMembership.h"

#include <functional>
#include <memory>
#include <queue>
#include <string>

namespace burdockstream::membership::test {

// Properties of the simulated network. Loss and Duplicates are probabilities.
struct Network {
  double Loss = 0;
  double Duplicates = 0;
  base::Duration MinDelay = milliseconds(4);
  base::Duration MaxDelay = milliseconds(5);
};

// A simulated daemon.
struct Node {
  std::unique_ptr<BalancerMembership>
      Balancer; // exactly one of Balancer and Agent is set
  std::unique_ptr<AgentMembership> Agent;
  base::SocketAddress Address;
  bool Running = true;
  base::TimePoint PausedUntil;
  int64_t ClockError = 0; // milliseconds
  uint64_t BytesSent = 0;
  uint64_t LargestDatagram = 0;
  base::TimePoint Scheduled = base::Never;
  std::vector<Action> Actions; // all but SendMessage, in order
};

class Simulation {
public:
  Simulation(uint64_t Seed, size_t Balancers, Network Net = {});

  // Starts configured balancer I; one that runs at its address is killed first.
  // Returns the index of the new node.
  size_t startBalancer(size_t I);
  // Starts all balancers as a group whose members know each other, without the
  // traffic of joining. Must be called before any other node is started.
  void startGroup();
  // Starts a ready agent of Service in failure domain number Domain modulo 4.
  // ClockError is added to its wall clock, in milliseconds. Returns the node's
  // index.
  size_t startAgent(const std::string &Service, size_t Domain,
                    int64_t ClockError = 0);

  // Stops a node without any announcement.
  void kill(size_t Node);
  // Delays all events of a node until Length has passed.
  void pause(size_t Node, base::Duration Length);
  void run(base::Duration Length);
  // Runs until Condition holds, which is checked every millisecond. Returns the
  // time taken, or Limit if it did not hold within Limit.
  base::Duration runUntil(const std::function<bool()> &Condition,
                          base::Duration Limit);

  // Returns whether Predicate holds for the entry of Member at every running
  // balancer that is not paused. A missing entry is passed as null.
  bool atAllBalancers(
      base::DaemonId Member,
      const std::function<bool(const messages::MemberInfo *)> &Predicate);
  bool stateEverywhere(base::DaemonId Member, messages::MemberState State);

  void setState(size_t Node, messages::MemberState State);
  base::Now now(const Node &At) const;
  base::DaemonId id(size_t Node) const;
  Node &node(size_t I) { return *Nodes[I]; }
  size_t nodes() const { return Nodes.size(); }
  const std::vector<BalancerLocation> &configuredBalancers() const {
    return ConfiguredBalancers;
  }
  base::TimePoint time() const { return Time; }
  // If set, returns whether a message between two addresses is dropped.
  std::function<bool(base::SocketAddress, base::SocketAddress)> Drop;
  Network Net;
  // Returns the number of messages delivered so far.
  uint64_t deliveredMessages() const { return Delivered; }

  // Calls the function with the node's current time and an empty sink, and then
  // performs the actions that it appended.
  void call(size_t Node, const std::function<void(base::Now, ActionSink &)> &);

private:
  struct Event {
    base::TimePoint At;
    uint64_t Order = 0;
    size_t Target = 0;
    base::SocketAddress From;
    std::shared_ptr<const messages::Message> Body; // null: timer event
  };
  struct LaterFirst {
    bool operator()(const Event &A, const Event &B) const {
      return A.At != B.At ? A.At > B.At : A.Order > B.Order;
    }
  };

  void process(const Event &Next);
  void transmit(Node &From, SendMessage &&Message);
  void schedule(size_t Node);
  // Returns a random number in [0, 1).
  double randomFraction() {
    return static_cast<double>(Random() >> 11) / 0x1p53;
  }

  base::RandomSource Random;
  std::vector<BalancerLocation> ConfiguredBalancers;
  std::vector<std::unique_ptr<Node>> Nodes;
  std::vector<std::unique_ptr<base::RandomSource>> RandomSources;
  std::unordered_map<base::SocketAddress, size_t> ByAddress;
  std::priority_queue<Event, std::vector<Event>, LaterFirst> Events;
  base::TimePoint Time{std::chrono::hours(1)};
  uint64_t Order = 0;
  uint64_t Delivered = 0;
};

} // namespace burdockstream::membership::test

#endif
