// Serialization of the state that a balancer sends to a peer on request: the
// routes that it applies and the agents that it knows.
#ifndef BURDOCKSTREAM_FLOWD_PEERSTATE_H
#define BURDOCKSTREAM_FLOWD_PEERSTATE_H

#include "burdockstream/base/Error.h"
#include "burdockstream/base/Ids.h"
#include "burdockstream/flows/TargetTable.h"

#include <string>
#include <string_view>
#include <vector>

namespace burdockstream::flowd {

struct PeerState {
  base::Revision Revision = 0; // of the routes; 0 if there are none
  std::string Routes;          // the text from the store
  std::vector<flows::AgentEntry> Agents;
};

// Returns State as JSON. Thread safety: any thread.
std::string serializePeerState(const PeerState &State);

// Parses the untrusted text of a peer. Malformed agent entries are skipped;
// malformed text otherwise is an error that names Source. Thread safety: any
// thread.
base::Result<PeerState> parsePeerState(std::string_view Text,
                                       const std::string &Source);

} // namespace burdockstream::flowd

#endif
