// JSON-RPC methods of an agent: its status and buckets for operators, and the
// handover of buckets for other agents.
#ifndef BURDOCKSTREAM_DAEMON_AGENTAPI_H
#define BURDOCKSTREAM_DAEMON_AGENTAPI_H

#include "burdockstream/admin/RpcMethod.h"
#include "burdockstream/messages/Messages.h"
#include "burdockstream/nodes/AgentNode.h"
#include "burdockstream/settings/DaemonSettings.h"

#include <functional>
#include <string>
#include <vector>

namespace burdockstream::daemon {

// Called for each bucket.transfer and bucket.transferred of another agent.
struct AgentApiHooks {
  std::function<void(const messages::BucketTransfer &)> OnTransfer;
  std::function<void(const messages::BucketTransferAck &)> OnTransferAck;
};

// Encodes a message as a JSON string: msgpack in base64, because bucket
// snapshots hold binary responses. Thread safety: any thread.
std::string encodeForRpc(const messages::Message &Body);

// Returns the methods of an agent. Precondition: Settings has an agent part.
// Node and Settings must outlive the methods. Thread safety: loop thread only.
std::vector<admin::RpcMethod>
agentMethods(const nodes::AgentNode &Node,
             const settings::DaemonSettings &Settings, AgentApiHooks Hooks);

} // namespace burdockstream::daemon

#endif
