// Actions that a node returns instead of doing I/O. The code that runs the node
// (the daemon, or a test) performs them in the order of the sink.
#ifndef BURDOCKSTREAM_NODES_ACTIONS_H
#define BURDOCKSTREAM_NODES_ACTIONS_H

#include "burdockstream/messages/Messages.h"
#include "burdockstream/ownership/OwnersRecord.h"

#include <cstdint>
#include <variant>
#include <vector>

namespace burdockstream::nodes {

// Send a message to another daemon as a UDP datagram.
struct SendDatagram {
  base::SocketAddress To;
  messages::Message Body;
};

// Send a CoAP datagram to the agent's own endpoint.
struct SendToEndpoint {
  messages::Bytes Datagram;
};

// Send a CoAP ping to the endpoint, from a socket that carries no requests.
struct PingEndpoint {};

// Call bucket.transfer on another agent.
struct TransferBuckets {
  base::SocketAddress Control;
  messages::BucketTransfer Transfer;
};

// Call bucket.transferred on another agent.
struct AcknowledgeTransfer {
  base::SocketAddress Control;
  messages::BucketTransferAck Ack;
};

// Read the service's ownership record from the store. The result is returned
// under the same Operation.
struct ReadOwners {
  uint64_t Operation = 0;
};

// Replace the service's ownership record in the store if its revision is
// Expected; 0 means that there is no record yet.
struct SwapOwners {
  uint64_t Operation = 0;
  base::Revision Expected = 0;
  ownership::OwnersRecord Record;
};

// The graceful shutdown is complete: the process may exit.
struct ShutdownComplete {};

using Action =
    std::variant<SendDatagram, SendToEndpoint, PingEndpoint, TransferBuckets,
                 AcknowledgeTransfer, ReadOwners, SwapOwners, ShutdownComplete>;
using ActionSink = std::vector<Action>;

} // namespace burdockstream::nodes

#endif
