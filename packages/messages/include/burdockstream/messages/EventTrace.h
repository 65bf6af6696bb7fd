// Records typed events as JSON lines and reads them back, so that the inputs of
// a state machine can be replayed. Supports every type with MSGPACK_DEFINE, and
// variants of such types.
#ifndef BURDOCKSTREAM_MESSAGES_EVENTTRACE_H
#define BURDOCKSTREAM_MESSAGES_EVENTTRACE_H

#include "burdockstream/base/Error.h"
#include "burdockstream/base/Time.h"
#include "burdockstream/messages/VariantPack.h"

#include <json/value.h>
#include <string>
#include <string_view>

namespace burdockstream::messages {

// One line of a trace: the time, a name chosen by the recorder and the event's
// fields.
struct TraceLine {
  base::Now At;
  std::string Name;
  Json::Value Data;
};

// Converts between msgpack and JSON. Arrays, integers, booleans and printable
// ASCII strings keep their form; other values become an object with one member:
// {"bin": HEX}, {"str": HEX}, {"float": HEX of the IEEE 754 bits} or
// {"map": [[KEY, VALUE], ...]}. Extension types and JSON of any other
// form give an error of kind Corrupt. Thread safety: any thread.
base::Result<Json::Value> jsonFromObject(const msgpack::object &Object);
base::Result<msgpack::sbuffer> packFromJson(const Json::Value &Value);

// Formats as one line without a line break. Thread safety: any thread.
std::string formatTraceLine(const TraceLine &Line);

// Parses the output of formatTraceLine. Any other text gives an error of kind
// Corrupt. Thread safety: any thread.
base::Result<TraceLine> parseTraceLine(std::string_view Text);

// Returns the JSON form of Event. Thread safety: any thread.
template <typename T> base::Result<Json::Value> jsonFromEvent(const T &Event) {
  msgpack::sbuffer Packed;
  msgpack::pack(Packed, Event);
  const auto Handle = msgpack::unpack(Packed.data(), Packed.size());
  return jsonFromObject(Handle.get());
}

// Restores an event from its JSON form. A value that does not describe a T
// gives an error of kind Corrupt. Thread safety: any thread.
template <typename T> base::Result<T> eventFromJson(const Json::Value &Value) {
  const auto Packed = packFromJson(Value);
  if (!Packed)
    return Packed.error();
  // msgpack reports type mismatches only by exceptions.
  try {
    return msgpack::unpack(Packed.value().data(), Packed.value().size())
        ->template as<T>();
  } catch (const std::exception &Failure) {
    return base::makeError(base::ErrorKind::Corrupt, Failure.what());
  }
}

} // namespace burdockstream::messages

#endif
