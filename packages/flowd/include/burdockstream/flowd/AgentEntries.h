// Serialization of the store entries through which balancers discover agents.
// Each agent has one key, which is bound to the agent's lease.
#ifndef BURDOCKSTREAM_FLOWD_AGENTENTRIES_H
#define BURDOCKSTREAM_FLOWD_AGENTENTRIES_H

#include "burdockstream/base/Error.h"
#include "burdockstream/base/SocketAddress.h"
#include "burdockstream/flows/TargetTable.h"

#include <optional>
#include <string>
#include <string_view>

namespace burdockstream::flowd {

// Prefix of the store keys of all agents.
inline constexpr std::string_view AgentKeyPrefix = "burdockstream/agents/";

// Returns the store key of the agent at address Agent. Thread safety: any
// thread.
std::string formatEntryKey(base::SocketAddress Agent);

// Returns the JSON text that is stored for Entry. Thread safety: any thread.
std::string formatEntryValue(const flows::AgentEntry &Entry);

// Returns the address of the agent that Key belongs to, or nothing if Key is
// not the key of an agent entry. Thread safety: any thread.
std::optional<base::SocketAddress> parseEntryKey(std::string_view Key);

// Parses the entry stored as Value under Key. Both are untrusted input: other
// programs can write to the store. Fails with an error if either is malformed.
// Thread safety: any thread.
base::Result<flows::AgentEntry> parseEntry(std::string_view Key,
                                           std::string_view Value);

} // namespace burdockstream::flowd

#endif
