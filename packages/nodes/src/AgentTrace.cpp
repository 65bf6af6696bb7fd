#include "burdockstream/nodes/AgentTrace.h"

#include <array>
#include <string_view>
#include <utility>

namespace burdockstream::nodes {

using base::ErrorKind;
using base::makeError;
using messages::TraceLine;

namespace {

constexpr std::array<std::string_view, std::variant_size_v<AgentEvent>>
    EventNames{"start",        "message", "endpoint", "pong", "transfer",
               "transfer-ack", "store",   "shutdown", "tick"};

constexpr uint8_t MaxStoreOutcome =
    static_cast<uint8_t>(ownership::StoreOutcome::Unknown);

base::Result<void> feedStore(AgentNode &Node, const StoreEvent &Event,
                             base::Now Now, ActionSink &Out) {
  if (Event.Outcome > MaxStoreOutcome)
    return makeError(ErrorKind::Corrupt,
                     "the trace has an unknown store outcome; record the "
                     "trace again with this version");
  ownership::StoreResult Result{
      Event.Operation,
      static_cast<ownership::StoreOutcome>(Event.Outcome),
      Event.StoreRevision,
      {}};
  if (!Event.Record.empty()) {
    auto Record = ownership::decodeOwnersRecord(Event.Record);
    if (Record.has_error())
      return Record.error();
    Result.Record = std::move(Record).value();
  }
  Node.onStoreResult(Result, Now, Out);
  return boost::outcome_v2::success();
}

template <typename T>
base::Result<TraceLine> makeLine(std::string Name, const T &Value,
                                 base::Now Now) {
  auto Data = messages::jsonFromEvent(Value);
  if (Data.has_error())
    return Data.error();
  return TraceLine{Now, std::move(Name), std::move(Data).value()};
}

// Decodes an event of type T from the array of its fields.
template <typename T>
base::Result<AgentEvent> decodeEvent(const Json::Value &Data) {
  auto Event = messages::eventFromJson<T>(Data);
  if (Event.has_error())
    return Event.error();
  return AgentEvent(std::move(Event).value());
}

template <size_t... Indices>
base::Result<AgentEvent> decodeNamedEvent(const TraceLine &Line,
                                          std::index_sequence<Indices...>) {
  base::Result<AgentEvent> Found =
      makeError(ErrorKind::Corrupt, "'" + Line.Name +
                                        "' is not an event; see AgentTrace.h "
                                        "for the names");
  (void)((Line.Name == EventNames[Indices] &&
          (Found = decodeEvent<std::variant_alternative_t<Indices, AgentEvent>>(
               Line.Data),
           true)) ||
         ...);
  return Found;
}

// Actions are stored with the fields of a similar event, because the event
// types have the msgpack definitions.
base::Result<TraceLine> makeActionLine(const SendDatagram &Value,
                                       base::Now Now) {
  return makeLine("out.send", MessageEvent{{}, Value.To, Value.Body}, Now);
}
base::Result<TraceLine> makeActionLine(const SendToEndpoint &Value,
                                       base::Now Now) {
  return makeLine("out.endpoint", EndpointEvent{Value.Datagram}, Now);
}
base::Result<TraceLine> makeActionLine(const PingEndpoint &, base::Now Now) {
  return makeLine("out.ping", PongEvent{}, Now);
}
base::Result<TraceLine> makeActionLine(const TransferBuckets &Value,
                                       base::Now Now) {
  return makeLine("out.transfer", TransferEvent{Value.Transfer}, Now);
}
base::Result<TraceLine> makeActionLine(const AcknowledgeTransfer &Value,
                                       base::Now Now) {
  return makeLine("out.transfer-ack", TransferAckEvent{Value.Ack}, Now);
}
base::Result<TraceLine> makeActionLine(const ReadOwners &Value, base::Now Now) {
  return makeLine("out.read", StoreEvent{Value.Operation, 0, 0, ""}, Now);
}
base::Result<TraceLine> makeActionLine(const SwapOwners &Value, base::Now Now) {
  return makeLine("out.swap",
                  StoreEvent{Value.Operation, 0, Value.Expected,
                             ownership::encodeOwnersRecord(Value.Record)},
                  Now);
}
base::Result<TraceLine> makeActionLine(const ShutdownComplete &,
                                       base::Now Now) {
  return makeLine("out.finished", ShutdownEvent{}, Now);
}

} // namespace

base::Result<void> feed(AgentNode &Node, const AgentEvent &Event, base::Now Now,
                        ActionSink &Out) {
  if (const auto *Stored = std::get_if<StoreEvent>(&Event))
    return feedStore(Node, *Stored, Now, Out);
  if (std::get_if<StartEvent>(&Event))
    Node.start(Now, Out);
  else if (const auto *Received = std::get_if<MessageEvent>(&Event))
    Node.onMessage(Received->Body, Received->Sender, Received->From, Now, Out);
  else if (const auto *FromEndpoint = std::get_if<EndpointEvent>(&Event))
    Node.onEndpoint(FromEndpoint->Datagram, Now, Out);
  else if (std::get_if<PongEvent>(&Event))
    Node.onEndpointPong(Now, Out);
  else if (const auto *Transferred = std::get_if<TransferEvent>(&Event))
    Node.onTransfer(Transferred->Transfer, Now, Out);
  else if (const auto *Acknowledged = std::get_if<TransferAckEvent>(&Event))
    Node.onTransferAck(Acknowledged->Ack, Now, Out);
  else if (std::get_if<ShutdownEvent>(&Event))
    Node.beginShutdown(Now, Out);
  else
    Node.tick(Now, Out);
  return boost::outcome_v2::success();
}

base::Result<TraceLine> toTraceLine(const AgentEvent &Event, base::Now Now) {
  return std::visit(
      [&](const auto &Value) {
        return makeLine(std::string(EventNames[Event.index()]), Value, Now);
      },
      Event);
}

base::Result<AgentEvent> eventOf(const TraceLine &Line) {
  return decodeNamedEvent(
      Line, std::make_index_sequence<std::variant_size_v<AgentEvent>>());
}

base::Result<TraceLine> toTraceLine(const Action &NextAction, base::Now Now) {
  return std::visit(
      [&](const auto &Value) { return makeActionLine(Value, Now); },
      NextAction);
}

} // namespace burdockstream::nodes
