// Recorded sessions of an agent: every event and action is one JSON line.
// Traces, golden files and external benchmarks attach here: typed events in,
// typed actions out, and the only time is the one stored in the line.
#ifndef BURDOCKSTREAM_NODES_AGENTTRACE_H
#define BURDOCKSTREAM_NODES_AGENTTRACE_H

#include "burdockstream/messages/EventTrace.h"
#include "burdockstream/nodes/AgentNode.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace burdockstream::nodes {

// Events, one for each method of AgentNode that handles one. Their names in a
// trace, in the order of AgentEvent: start, message, endpoint, pong, transfer,
// transfer-ack, store, shutdown, tick.
struct StartEvent {
  MSGPACK_DEFINE_ARRAY()
};
struct MessageEvent {
  base::DaemonId Sender;
  base::SocketAddress From;
  messages::Message Body;
  MSGPACK_DEFINE_ARRAY(Sender, From, Body)
};
struct EndpointEvent {
  messages::Bytes Datagram;
  MSGPACK_DEFINE_ARRAY(Datagram)
};
struct PongEvent {
  MSGPACK_DEFINE_ARRAY()
};
struct TransferEvent {
  messages::BucketTransfer Transfer;
  MSGPACK_DEFINE_ARRAY(Transfer)
};
struct TransferAckEvent {
  messages::BucketTransferAck Ack;
  MSGPACK_DEFINE_ARRAY(Ack)
};
struct StoreEvent {
  uint64_t Operation = 0;
  uint8_t Outcome = 0; // ownership::StoreOutcome
  base::Revision StoreRevision = 0;
  std::string Record; // encoded as in the store; empty: no record
  MSGPACK_DEFINE_ARRAY(Operation, Outcome, StoreRevision, Record)
};
struct ShutdownEvent {
  MSGPACK_DEFINE_ARRAY()
};
struct TickEvent {
  MSGPACK_DEFINE_ARRAY()
};

using AgentEvent = std::variant<StartEvent, MessageEvent, EndpointEvent,
                                PongEvent, TransferEvent, TransferAckEvent,
                                StoreEvent, ShutdownEvent, TickEvent>;

// Calls the method of Node that handles Event. Returns an error of kind Corrupt
// if the store outcome of Event is not valid, or the error of a stored
// ownership record that cannot be decoded. Thread safety: as Node.
base::Result<void> feed(AgentNode &Node, const AgentEvent &Event, base::Now Now,
                        ActionSink &Out);

// Converts between events and trace lines. eventOf() returns an error if the
// line does not name an event (kind Corrupt) or its data cannot be decoded.
// Thread safety: any thread.
base::Result<messages::TraceLine> toTraceLine(const AgentEvent &Event,
                                              base::Now Now);
base::Result<AgentEvent> eventOf(const messages::TraceLine &Line);

// Converts an action to a trace line, whose name starts with "out.". Thread
// safety: any thread.
base::Result<messages::TraceLine> toTraceLine(const Action &NextAction,
                                              base::Now Now);

} // namespace burdockstream::nodes

#endif
