#include "burdockstream/messages/EventTrace.h"

#include "burdockstream/base/JsonText.h"

#include <algorithm>
#include <bit>
#include <cstdio>
#include <json/reader.h>
#include <memory>
#include <optional>

namespace burdockstream::messages {

namespace {

base::Error corruptError(std::string Text) {
  return base::makeError(base::ErrorKind::Corrupt, std::move(Text));
}

bool isPrintable(std::string_view Text) {
  return std::all_of(Text.begin(), Text.end(),
                     [](char C) { return C >= 0x20 && C < 0x7f; });
}

std::string toHex(std::string_view Bytes) {
  static constexpr std::string_view Digits = "0123456789abcdef";
  std::string Text;
  Text.reserve(2 * Bytes.size());
  for (const char C : Bytes) {
    Text += Digits[static_cast<uint8_t>(C) >> 4];
    Text += Digits[static_cast<uint8_t>(C) & 0xf];
  }
  return Text;
}

std::optional<std::string> fromHex(const std::string &Text) {
  const auto Digit = [](char C) {
    if (C >= '0' && C <= '9')
      return C - '0';
    return C >= 'a' && C <= 'f' ? C - 'a' + 10 : -1;
  };
  if (Text.size() % 2 != 0)
    return std::nullopt;
  std::string Bytes;
  for (size_t I = 0; I < Text.size(); I += 2) {
    if (Digit(Text[I]) < 0 || Digit(Text[I + 1]) < 0)
      return std::nullopt;
    Bytes += static_cast<char>(Digit(Text[I]) << 4 | Digit(Text[I + 1]));
  }
  return Bytes;
}

Json::Value taggedValue(const char *Tag, Json::Value Content) {
  Json::Value Object(Json::objectValue);
  Object[Tag] = std::move(Content);
  return Object;
}

Json::Value floatValue(double Value) {
  std::array<char, 17> Text{};
  std::snprintf(
      Text.data(), Text.size(), "%016llx",
      static_cast<unsigned long long>(std::bit_cast<uint64_t>(Value)));
  return taggedValue("float", Text.data());
}

base::Result<Json::Value> arrayValue(const msgpack::object_array &Array) {
  Json::Value List(Json::arrayValue);
  for (uint32_t I = 0; I < Array.size; ++I) {
    auto Element = jsonFromObject(Array.ptr[I]);
    if (!Element)
      return Element.error();
    List.append(std::move(Element.value()));
  }
  return List;
}

base::Result<Json::Value> mapValue(const msgpack::object_map &Map) {
  Json::Value Pairs(Json::arrayValue);
  for (uint32_t I = 0; I < Map.size; ++I) {
    auto Key = jsonFromObject(Map.ptr[I].key);
    auto Value = jsonFromObject(Map.ptr[I].val);
    if (!Key || !Value)
      return Key ? Value.error() : Key.error();
    Json::Value Pair(Json::arrayValue);
    Pair.append(std::move(Key.value()));
    Pair.append(std::move(Value.value()));
    Pairs.append(std::move(Pair));
  }
  return taggedValue("map", std::move(Pairs));
}

Json::Value stringValue(std::string_view Text) {
  if (!isPrintable(Text))
    return taggedValue("str", toHex(Text));
  return Json::Value(Text.data(), Text.data() + Text.size());
}

using Packer = msgpack::packer<msgpack::sbuffer>;

bool packValue(Packer &Out, const Json::Value &Value);

bool packBytes(Packer &Out, const Json::Value &Hex, bool AsString) {
  const auto Content = Hex.isString() ? fromHex(Hex.asString()) : std::nullopt;
  if (!Content)
    return false;
  const auto Size = static_cast<uint32_t>(Content->size());
  if (AsString)
    Out.pack(*Content);
  else
    Out.pack_bin(Size).pack_bin_body(Content->data(), Size);
  return true;
}

bool packFloat(Packer &Out, const Json::Value &Hex) {
  const auto Content = Hex.isString() ? fromHex(Hex.asString()) : std::nullopt;
  if (!Content || Content->size() != sizeof(uint64_t))
    return false;
  uint64_t Bits = 0;
  for (const char C : *Content)
    Bits = (Bits << 8) | static_cast<uint8_t>(C);
  Out.pack(std::bit_cast<double>(Bits));
  return true;
}

bool packMap(Packer &Out, const Json::Value &Pairs) {
  if (!Pairs.isArray())
    return false;
  Out.pack_map(Pairs.size());
  return std::all_of(Pairs.begin(), Pairs.end(), [&Out](const auto &Pair) {
    return Pair.isArray() && Pair.size() == 2 && packValue(Out, Pair[0]) &&
           packValue(Out, Pair[1]);
  });
}

bool packTagged(Packer &Out, const Json::Value &Object) {
  if (Object.size() != 1)
    return false;
  const std::string Tag = Object.begin().name();
  const Json::Value &Content = *Object.begin();
  if (Tag == "bin" || Tag == "str")
    return packBytes(Out, Content, Tag == "str");
  if (Tag == "float")
    return packFloat(Out, Content);
  return Tag == "map" && packMap(Out, Content);
}

bool packArray(Packer &Out, const Json::Value &List) {
  Out.pack_array(List.size());
  return std::all_of(List.begin(), List.end(), [&Out](const auto &Element) {
    return packValue(Out, Element);
  });
}

bool packValue(Packer &Out, const Json::Value &Value) {
  switch (Value.type()) {
  case Json::nullValue:
    Out.pack_nil();
    return true;
  case Json::booleanValue:
    Out.pack(Value.asBool());
    return true;
  case Json::intValue:
    Out.pack(Value.asInt64());
    return true;
  case Json::uintValue:
    Out.pack(Value.asUInt64());
    return true;
  case Json::stringValue:
    Out.pack(Value.asString());
    return true;
  case Json::arrayValue:
    return packArray(Out, Value);
  case Json::objectValue:
    return packTagged(Out, Value);
  case Json::realValue:
    break; // traces store floats as bits, never as JSON numbers
  }
  return false;
}

} // namespace

base::Result<Json::Value> jsonFromObject(const msgpack::object &Object) {
  switch (Object.type) {
  case msgpack::type::NIL:
    return Json::Value();
  case msgpack::type::BOOLEAN:
    return Json::Value(Object.via.boolean);
  case msgpack::type::POSITIVE_INTEGER:
    return Json::Value(Json::UInt64{Object.via.u64});
  case msgpack::type::NEGATIVE_INTEGER:
    return Json::Value(Json::Int64{Object.via.i64});
  case msgpack::type::FLOAT32:
  case msgpack::type::FLOAT64:
    return floatValue(Object.via.f64);
  case msgpack::type::STR:
    return stringValue({Object.via.str.ptr, Object.via.str.size});
  case msgpack::type::BIN:
    return taggedValue("bin", toHex({Object.via.bin.ptr, Object.via.bin.size}));
  case msgpack::type::ARRAY:
    return arrayValue(Object.via.array);
  case msgpack::type::MAP:
    return mapValue(Object.via.map);
  case msgpack::type::EXT:
    break;
  }
  return corruptError("event trace does not support msgpack extension types");
}

base::Result<msgpack::sbuffer> packFromJson(const Json::Value &Value) {
  msgpack::sbuffer Buffer;
  Packer Out(Buffer);
  if (!packValue(Out, Value))
    return corruptError("JSON value is not in the format of event traces");
  return Buffer;
}

std::string formatTraceLine(const TraceLine &Line) {
  Json::Value Object(Json::objectValue);
  Object["at_us"] = Json::Int64{Line.At.Monotonic.time_since_epoch().count()};
  Object["wall_ms"] = Json::Int64{Line.At.Wall.Milliseconds};
  Object["name"] = Line.Name;
  Object["data"] = Line.Data;
  return base::compactJson(Object);
}

base::Result<TraceLine> parseTraceLine(std::string_view Text) {
  Json::CharReaderBuilder Builder;
  Json::CharReaderBuilder::strictMode(&Builder.settings_);
  const std::unique_ptr<Json::CharReader> Reader(Builder.newCharReader());
  Json::Value Object;
  std::string Problem;
  // jsoncpp throws an exception if the input is nested too deeply.
  try {
    if (!Reader->parse(Text.data(), Text.data() + Text.size(), &Object,
                       &Problem))
      return corruptError("trace line is not valid JSON: " + Problem);
  } catch (const std::exception &Failure) {
    return corruptError(Failure.what());
  }
  if (!Object.isObject())
    return corruptError("trace line is not a JSON object");
  if (!Object["at_us"].isInt64() || !Object["wall_ms"].isInt64() ||
      !Object["name"].isString() || !Object.isMember("data"))
    return corruptError("trace line lacks at_us, wall_ms, name or data, or has "
                        "one of the wrong type");
  return TraceLine{{base::TimePoint(base::Duration(Object["at_us"].asInt64())),
                    base::WallTime{Object["wall_ms"].asInt64()}},
                   Object["name"].asString(),
                   Object["data"]};
}

} // namespace burdockstream::messages
