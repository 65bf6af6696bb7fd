// Settings of one daemon, read once at startup from a JSON file that may
// contain comments. Configuration that operators change while daemons run is
// kept in service records instead.
#ifndef BURDOCKSTREAM_SETTINGS_DAEMONSETTINGS_H
#define BURDOCKSTREAM_SETTINGS_DAEMONSETTINGS_H

#include "burdockstream/base/Error.h"
#include "burdockstream/base/SocketAddress.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace burdockstream::settings {

enum class Role : uint8_t { Balancer, Agent };

// Addresses and failure domain of a balancer, as listed in the settings of
// every daemon. Data is the UDP address for caller datagrams and messages
// between daemons; Control is the TCP address for JSON-RPC over HTTP.
struct BalancerEntry {
  base::SocketAddress Data;
  base::SocketAddress Control;
  std::string FailureDomain;
};

inline constexpr size_t DatagramKeyBytes = 16; // SipHash-2-4-128
inline constexpr size_t ControlKeyBytes = 32;  // HMAC-SHA256
inline constexpr size_t TokenDigestBytes = 32; // SHA-256

// A key shared by all daemons. During a key rotation two keys are valid; the
// one with Signs set authenticates the messages that this daemon sends.
template <size_t N> struct SharedKey {
  uint8_t Id = 0;
  std::array<uint8_t, N> Bytes{};
  bool Signs = false;
};

// A team that may write records, with the SHA-256 digest of its token. Only the
// team has the token itself.
struct Team {
  std::string Name;
  std::array<uint8_t, TokenDigestBytes> TokenDigest{};
};

// Settings of an agent that describe the endpoint it serves.
struct AgentSettings {
  std::string Service;
  base::SocketAddress Endpoint;
  // Number of slots of this endpoint; overrides that in the service's record.
  std::optional<uint16_t> Slots;
};

struct DaemonSettings {
  settings::Role Role = Role::Balancer;
  base::SocketAddress Data;
  base::SocketAddress Control;
  std::string FailureDomain;
  std::vector<BalancerEntry> Entries;
  uint64_t HashSeed = 0;
  std::vector<SharedKey<DatagramKeyBytes>> DatagramKeys; // one or two
  std::vector<SharedKey<ControlKeyBytes>> ControlKeys;   // one or two
  std::vector<base::SocketAddress> StoreEndpoints;
  std::vector<Team> Teams;
  std::optional<AgentSettings> Agent; // present if Role is Agent
};

// Parses and validates settings. Source names the text in error messages. The
// error lists every problem with Source, line, field and remedy; it contains no
// key material. Thread safety: any thread.
base::Result<DaemonSettings> parseSettings(std::string_view Text,
                                           std::string Source);

// Reads and parses the file at Path. Errors: those of parseSettings(), and
// NotFound if there is no such file. Blocks during the read. Thread safety: any
// thread.
base::Result<DaemonSettings> loadSettings(const std::string &Path);

// Returns the key that authenticates outgoing messages. Precondition: Keys come
// from parseSettings(), which ensures that exactly one key signs. Thread
// safety: any thread.
template <size_t N>
const SharedKey<N> &signingKey(const std::vector<SharedKey<N>> &Keys) {
  return Keys.front().Signs ? Keys.front() : Keys.back();
}

// Returns the name of Role in settings. Thread safety: any thread.
std::string_view toString(Role Role);

} // namespace burdockstream::settings

#endif
