// A caller's subscription to one board. It checks that each update arrives
// exactly once, in order and with the expected body, and counts violations.
#ifndef BURDOCKSTREAM_STANDINS_BOARDSUBSCRIPTION_H
#define BURDOCKSTREAM_STANDINS_BOARDSUBSCRIPTION_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace burdockstream::standins {

struct BoardSubscription {
  std::string Service;
  std::string Board;
  std::optional<uint32_t> Last; // highest update number received
  bool Registering = false;     // a registration awaits its response
  uint64_t Updates = 0;         // new updates, excluding the first response
  uint64_t Lost = 0;            // skipped numbers
  uint64_t Duplicates = 0;      // the highest number again in a new message
  uint64_t OutOfOrder = 0;      // numbers below the highest
  uint64_t WrongBodies = 0;

  // Checks one message that carries the Observe option. Precondition:
  // retransmitted copies were already removed by message id. The response to a
  // registration may repeat a known number. Thread safety: loop thread only.
  void recordUpdate(uint32_t Number, std::string_view Body);
};

} // namespace burdockstream::standins

#endif
