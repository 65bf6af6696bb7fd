#include "burdockstream/base/JsonFields.h"

#include <algorithm>
#include <glog/logging.h>

namespace burdockstream::base {

namespace {

constexpr size_t MaxNameBytes = 63;
// Long values are cut in messages so that a message stays readable.
constexpr size_t MaxEchoBytes = 60;

bool isLowerAlnum(char C) {
  return (C >= 'a' && C <= 'z') || (C >= '0' && C <= '9');
}

bool isControl(char C) {
  return static_cast<unsigned char>(C) < 0x20 || C == 0x7f;
}

std::string describe(const Json::Value &Value) {
  if (Value.isObject())
    return "an object of size " + std::to_string(Value.size());
  if (Value.isArray())
    return "an array of size " + std::to_string(Value.size());
  std::string Text = compactJson(Value);
  if (Text.size() > MaxEchoBytes)
    Text = Text.substr(0, MaxEchoBytes) + "...";
  return Text;
}

std::string joinPath(const std::string &Path, std::string_view Name) {
  return Path.empty() ? std::string(Name) : Path + "." + std::string(Name);
}

int hexDigit(char C) {
  if (C >= '0' && C <= '9')
    return C - '0';
  if (C >= 'a' && C <= 'f')
    return C - 'a' + 10;
  if (C >= 'A' && C <= 'F')
    return C - 'A' + 10;
  return -1;
}

bool decodeHex(std::string_view Text, std::span<uint8_t> Out) {
  if (Text.size() != 2 * Out.size())
    return false;
  for (size_t I = 0; I < Out.size(); ++I) {
    const int High = hexDigit(Text[2 * I]);
    const int Low = hexDigit(Text[2 * I + 1]);
    if (High < 0 || Low < 0)
      return false;
    Out[I] = static_cast<uint8_t>(High * 16 + Low);
  }
  return true;
}

} // namespace

void JsonProblems::add(const Json::Value &At, std::string_view Field,
                       std::string_view Message) {
  std::string Text(Field);
  Text += Field.empty() ? "" : ": ";
  Text += Message;
  Found.emplace_back(Doc.lineOf(At), std::move(Text));
}

Error JsonProblems::error() const {
  CHECK(!Found.empty());
  auto Sorted = Found;
  std::stable_sort(
      Sorted.begin(), Sorted.end(),
      [](const auto &A, const auto &B) { return A.first < B.first; });
  std::string Text;
  for (const auto &[Line, Message] : Sorted) {
    Text += Text.empty() ? "" : "\n";
    Text += Doc.source() + ":" + std::to_string(Line) + ": " + Message;
  }
  return makeError(ErrorKind::InvalidArgument, Text);
}

bool isName(std::string_view Text) {
  return !Text.empty() && Text.size() <= MaxNameBytes &&
         isLowerAlnum(Text.front()) && isLowerAlnum(Text.back()) &&
         std::all_of(Text.begin(), Text.end(),
                     [](char C) { return isLowerAlnum(C) || C == '-'; });
}

void JsonNode::fail(std::string_view Message) const {
  CHECK(present());
  Problems->add(*Value, Path, Message);
}

bool JsonNode::refuse(const std::string &Remedy) const {
  fail(describe(*Value) + " is not allowed; " + Remedy);
  return false;
}

bool JsonNode::readNumber(IntegerRange Range, int64_t &Out) const {
  if (!present())
    return false;
  // 1.0 and 1e3 have the type realValue: only plain whole numbers are accepted.
  const bool Whole =
      Value->type() == Json::intValue || Value->type() == Json::uintValue;
  if (!Whole || !Value->isInt64() || Value->asInt64() < Range.Min ||
      Value->asInt64() > Range.Max)
    return refuse("write a whole number from " + std::to_string(Range.Min) +
                  " to " + std::to_string(Range.Max));
  Out = Value->asInt64();
  return true;
}

bool JsonNode::readReal(IntegerRange Range, double &Out) const {
  if (!present())
    return false;
  if (!Value->isNumeric() ||
      Value->asDouble() < static_cast<double>(Range.Min) ||
      Value->asDouble() > static_cast<double>(Range.Max))
    return refuse("write a number from " + std::to_string(Range.Min) + " to " +
                  std::to_string(Range.Max));
  Out = Value->asDouble();
  return true;
}

bool JsonNode::readBool(bool &Out) const {
  if (!present())
    return false;
  if (!Value->isBool())
    return refuse("write true or false");
  Out = Value->asBool();
  return true;
}

bool JsonNode::readText(size_t MaxBytes, std::string &Out) const {
  if (!present())
    return false;
  const std::string Text = Value->isString() ? Value->asString() : "";
  if (Text.empty() || Text.size() > MaxBytes ||
      std::any_of(Text.begin(), Text.end(), isControl))
    return refuse("write a string of 1 to " + std::to_string(MaxBytes) +
                  " bytes without control characters");
  Out = Text;
  return true;
}

bool JsonNode::readName(std::string &Out) const {
  if (!present())
    return false;
  if (!Value->isString() || !isName(Value->asString()))
    return refuse("write a name of 1 to 63 lower-case letters, digits and "
                  "inner hyphens");
  Out = Value->asString();
  return true;
}

bool JsonNode::readAddress(SocketAddress &Out) const {
  if (!present())
    return false;
  const auto Address =
      parseSocketAddress(Value->isString() ? Value->asString() : "");
  if (Address.has_error())
    return refuse("write an IPv4 number and a port, as in \"10.0.0.1:5683\"");
  Out = Address.value();
  return true;
}

bool JsonNode::readHex(std::span<uint8_t> Out) const {
  if (!present())
    return false;
  std::vector<uint8_t> Bytes(Out.size());
  if (!Value->isString() || !decodeHex(Value->asString(), Bytes)) {
    fail("the value has the wrong form; write a string of " +
         std::to_string(2 * Out.size()) + " hexadecimal digits");
    return false;
  }
  std::copy(Bytes.begin(), Bytes.end(), Out.begin());
  return true;
}

std::vector<JsonNode> JsonNode::elements(size_t MaxCount,
                                         size_t MinCount) const {
  std::vector<JsonNode> Nodes;
  if (!present())
    return Nodes;
  if (!Value->isArray() || Value->size() < MinCount ||
      Value->size() > MaxCount) {
    refuse("write an array of " + std::to_string(MinCount) + " to " +
           std::to_string(MaxCount) + " elements");
    return Nodes;
  }
  for (Json::ArrayIndex I = 0; I < Value->size(); ++I)
    Nodes.emplace_back(&(*Value)[I], Path + "[" + std::to_string(I) + "]",
                       *Problems);
  return Nodes;
}

std::vector<std::pair<std::string, JsonNode>>
JsonNode::members(size_t MaxCount) const {
  std::vector<std::pair<std::string, JsonNode>> Nodes;
  if (!present())
    return Nodes;
  if (!Value->isObject() || Value->size() > MaxCount) {
    refuse("write an object of at most " + std::to_string(MaxCount) +
           " members");
    return Nodes;
  }
  for (const std::string &Key : Value->getMemberNames())
    Nodes.emplace_back(
        Key, JsonNode(&(*Value)[Key], joinPath(Path, Key), *Problems));
  return Nodes;
}

JsonFields::JsonFields(const JsonNode &Object) : Node(Object) {
  if (Node.present() && !Node.Value->isObject()) {
    Node.refuse("write an object");
    Node.Value = nullptr;
  }
}

JsonNode JsonFields::optional(std::string_view Name) {
  Known.emplace(Name);
  const Json::Value *Found =
      Node.present() ? Node.Value->find(Name.data(), Name.data() + Name.size())
                     : nullptr;
  return {Found, joinPath(Node.Path, Name), *Node.Problems};
}

JsonNode JsonFields::required(std::string_view Name) {
  JsonNode Field = optional(Name);
  if (Node.present() && !Field.present())
    Node.Problems->add(*Node.Value, Field.path(),
                       "the field is missing; add it");
  return Field;
}

void JsonFields::forbid(std::string_view Name, std::string_view Message) {
  Forbidden.emplace(Name);
  if (Node.present() && Node.Value->isMember(std::string(Name)))
    Node.Problems->add((*Node.Value)[std::string(Name)],
                       joinPath(Node.Path, Name), Message);
}

void JsonFields::finish() {
  if (!Node.present())
    return;
  for (const std::string &Key : Node.Value->getMemberNames()) {
    if (Known.contains(Key) || Forbidden.contains(Key))
      continue;
    std::string Names;
    for (const std::string &Name : Known)
      Names += (Names.empty() ? "" : ", ") + Name;
    Node.Problems->add((*Node.Value)[Key], joinPath(Node.Path, Key),
                       "the field is unknown; remove it or use one of: " +
                           Names);
  }
}

} // namespace burdockstream::base
