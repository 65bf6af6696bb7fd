// The entries by which agents are found in the store: a key for each agent,
// which lasts as long as the agent's lease.
#ifndef BURDOCKSTREAM_FLOWD_AGENTENTRIES_H
#define BURDOCKSTREAM_FLOWD_AGENTENTRIES_H

#include "burdockstream/base/Error.h"
#include "burdockstream/base/SocketAddress.h"
#include "burdockstream/flows/TargetTable.h"

#include <optional>
#include <string>
#include <string_view>

namespace burdockstream::flowd {

inline constexpr std::string_view AgentPrefix = "burdockstream/agents/";

// Thread safety, for all: any thread.
std::string entryKey(base::SocketAddress Agent);
std::string entryValue(const flows::AgentEntry &Entry);

// Returns the agent that Key names, if it is the key of an entry.
std::optional<base::SocketAddress> agentOfKey(std::string_view Key);

// Reads an entry; one that another program wrote may hold anything.
base::Result<flows::AgentEntry> readEntry(std::string_view Key,
                                          std::string_view Value);

} // namespace burdockstream::flowd

#endif
