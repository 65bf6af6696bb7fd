// Outgoing messages of RequestCore. The core performs no I/O: it appends these
// actions to a list, and the code that owns the sockets sends them in order.
#ifndef BURDOCKSTREAM_REQUESTS_ACTIONS_H
#define BURDOCKSTREAM_REQUESTS_ACTIONS_H

#include "burdockstream/base/Ids.h"
#include "burdockstream/base/SocketAddress.h"
#include "burdockstream/messages/Messages.h"

#include <string>
#include <variant>
#include <vector>

namespace burdockstream::requests {

// A CoAP datagram for a caller, to be sent in a messages::Reply.
struct SendToCaller {
  base::SocketAddress Caller;
  base::SocketAddress
      Ingress; // last balancer that forwarded; zero: any live balancer
  messages::Bytes Datagram;
};

// A CoAP datagram for the agent's own endpoint.
struct SendToEndpoint {
  messages::Bytes Datagram;
};

// A message for another agent of the same service: Forward, RunRequest,
// RunReply or RecordUpdate.
struct SendToPeer {
  base::DaemonId Peer;
  messages::Message Content;
};

using Action = std::variant<SendToCaller, SendToEndpoint, SendToPeer>;
// Receives actions in the order in which they must be sent.
using Sink = std::vector<Action>;

// Formats a CoAP datagram as one line for logs and golden files. A datagram
// that cannot be parsed is shown by its size in bytes. Thread safety: any
// thread.
std::string describeDatagram(const messages::Bytes &Datagram);

// Formats Value as one line for logs and golden files. Thread safety: any
// thread.
std::string describe(const Action &Value);

} // namespace burdockstream::requests

#endif
