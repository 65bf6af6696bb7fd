// What a balancer tells another one that asks: the routes that it applies and
// the agents that it knows. The text between them may hold anything.
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
  std::string Routes;          // as they stand in the store
  std::vector<flows::AgentEntry> Agents;
};

// Thread safety: any thread.
std::string writePeerState(const PeerState &State);

// Reads a peer's text. Agents that cannot be read are left out; the others
// hold. Thread safety: any thread.
base::Result<PeerState> readPeerState(std::string_view Text,
                                      const std::string &Source);

} // namespace burdockstream::flowd

#endif
