// The boards of the endpoint stand-in: sequences of numbered updates, which
// each observer (RFC 7641) receives one at a time and in ascending order.
#ifndef BURDOCKSTREAM_STANDINS_BOARDSERVER_H
#define BURDOCKSTREAM_STANDINS_BOARDSERVER_H

#include "burdockstream/standins/ReliableSender.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace burdockstream::standins {

// Identifies an observation (RFC 7641): the observer's address and token.
using ObserverKey = std::pair<base::SocketAddress, coap::Bytes>;

struct BoardCounters {
  uint64_t Registered = 0;
  uint64_t Notified = 0;
  uint64_t Dropped = 0; // observers removed after a Reset or a time-out
};

class BoardServer {
public:
  // Service appears in every body. Sender must outlive the server.
  BoardServer(std::string Service, ReliableSender &Sender);

  // Publishes update Number of Board, or the next number if Number is zero, and
  // returns the number. Publishing an existing number again has no effect.
  // Thread safety: loop thread only.
  uint32_t publish(const std::string &Board, uint32_t Number);

  // Registers Key, replacing an earlier registration, and returns the number of
  // the update to put into the response: the first one after Since, or the
  // latest if there is none or Since is not given. Updates after that number
  // are sent as notifications. Thread safety: loop thread only.
  uint32_t observe(const ObserverKey &Key, const std::string &Board,
                   std::optional<uint32_t> Since);

  // Starts the notifications of a new registration. Call it after the response
  // was sent, so that no notification overtakes it. Thread safety: loop thread
  // only.
  void resume(const ObserverKey &Key);

  // Ends an observation; an unknown key is ignored. Thread safety: loop thread
  // only.
  void stop(const ObserverKey &Key);

  // Returns the number of the latest update; zero before the first. Thread
  // safety: loop thread only.
  uint32_t latest(const std::string &Board) const;

  // Thread safety: loop thread only.
  const BoardCounters &counters() const { return Counters; }
  size_t observers() const { return Observers.size(); }

private:
  struct Observer {
    std::string Board;
    uint32_t LastSent = 0;            // number of the newest update sent
    std::optional<uint16_t> InFlight; // message id not yet acknowledged
  };
  void sendNext(const ObserverKey &Key);
  void handleDelivery(const ObserverKey &Key, DeliveryResult Outcome);

  std::string Service;
  ReliableSender &Sender;
  std::map<std::string, std::set<uint32_t>> Boards;
  std::map<ObserverKey, Observer> Observers;
  BoardCounters Counters;
};

} // namespace burdockstream::standins

#endif
