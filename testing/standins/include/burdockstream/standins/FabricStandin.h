// Stand-in for the network fabric: it forwards each caller datagram, prefixed
// with a PROXY protocol v2 header, to a random balancer, and the responses of
// the balancers to the callers. Loss, duplication, reordering and delay can be
// configured for each link, and each link can be cut.
#ifndef BURDOCKSTREAM_STANDINS_FABRICSTANDIN_H
#define BURDOCKSTREAM_STANDINS_FABRICSTANDIN_H

#include "burdockstream/base/Random.h"
#include "burdockstream/network/UdpSocket.h"
#include "burdockstream/standins/TimerQueue.h"

#include <json/value.h>
#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

namespace burdockstream::standins {

struct FabricOptions {
  std::vector<base::SocketAddress> Services;
  std::vector<base::SocketAddress> Balancers;
  base::SocketAddress Uplink{0x7f000001, 0}; // socket facing the balancers
  uint64_t Seed = 1;
};

// Impairments of one link. All but the cuts apply to both directions.
struct LinkState {
  bool CutToBalancer = false;
  bool CutFromBalancer = false;
  double DropProbability = 0;
  double DuplicateProbability = 0;
  double ReorderProbability = 0; // of an additional ReorderDelay
  base::Duration Delay{0};
  base::Duration Jitter{0}; // uniform, added to Delay
};

struct FabricCounters {
  uint64_t FromCallers = 0;
  uint64_t ToBalancers = 0;
  uint64_t FromBalancers = 0;
  uint64_t ToCallers = 0;
  uint64_t CutDrops = 0;
  uint64_t RandomDrops = 0;
  uint64_t Duplicated = 0;
  uint64_t Reordered = 0;
  uint64_t NoBalancer = 0;  // dropped because the list of balancers is empty
  uint64_t BadResponse = 0; // no PROXY header or unknown service address
};

class FabricStandin {
public:
  // Additional delay of a reordered datagram; later ones overtake it.
  static constexpr base::Duration ReorderDelay = std::chrono::milliseconds(10);

  // Opens the sockets and attaches them to Context; null selects the default
  // main context. Returns the error if a socket cannot be opened. Thread
  // safety: loop thread only.
  static base::Result<std::unique_ptr<FabricStandin>>
  open(GMainContext *Context, const FabricOptions &Options);

  // Executes a command:
  //   {"command": "set_link", "balancer": "IP:PORT" or "*", ...} with any of
  //     cut, cut_to, cut_from (booleans), drop_percent, duplicate_percent,
  //     reorder_percent, delay_ms, jitter_ms (numbers). "callers" instead of a
  //     balancer selects the links between callers and fabric.
  //   {"command": "set_balancers", "balancers": ["IP:PORT", ...]}
  //   {"command": "counters"}
  // Returns an object with the member "error" for any other command. May throw
  // jsoncpp exceptions for values of the wrong type; executeCommand catches
  // them. Thread safety: loop thread only.
  Json::Value execute(const Json::Value &Command);

  // Thread safety: loop thread only.
  const FabricCounters &counters() const { return Counters; }
  base::SocketAddress uplinkAddress() const { return Uplink->localAddress(); }
  std::vector<base::SocketAddress> serviceAddresses() const;

private:
  FabricStandin(GMainContext *Context, const FabricOptions &Options);
  void receiveFromCaller(network::UdpSocket &Service,
                         std::span<const uint8_t> Payload,
                         base::SocketAddress Caller);
  void forwardToBalancer(const std::vector<uint8_t> &Datagram);
  void receiveFromBalancer(std::span<const uint8_t> Datagram,
                           base::SocketAddress From);
  void forwardToCaller(network::UdpSocket &Service,
                       const std::vector<uint8_t> &Payload,
                       base::SocketAddress Caller);
  void forward(const LinkState &Link, const std::vector<uint8_t> &Datagram,
               const std::function<void(const std::vector<uint8_t> &)> &Send);
  bool sampleEvent(double Probability);
  Json::Value setLink(const Json::Value &Command);
  Json::Value setBalancers(const Json::Value &Command);

  GMainContext *Context;
  TimerQueue Timers;
  base::RandomSource Random;
  std::vector<base::SocketAddress> Balancers;
  std::map<base::SocketAddress, LinkState> Links;
  LinkState CallerLink;
  std::unordered_map<base::SocketAddress, std::unique_ptr<network::UdpSocket>>
      Services;
  std::unique_ptr<network::UdpSocket> Uplink;
  FabricCounters Counters;
};

} // namespace burdockstream::standins

#endif
