// Checked reading of JSON values: each value has a type and a range, unknown
// fields are refused, and every problem names file, line, field and remedy.
#ifndef BURDOCKSTREAM_BASE_JSONFIELDS_H
#define BURDOCKSTREAM_BASE_JSONFIELDS_H

#include "burdockstream/base/JsonText.h"
#include "burdockstream/base/NameTable.h"
#include "burdockstream/base/SocketAddress.h"

#include <cstdint>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace burdockstream::base {

// Collects what is wrong with one document, so that an operator sees all
// problems at once. Thread safety: one thread at a time.
class JsonProblems {
public:
  explicit JsonProblems(const JsonDocument &InitDoc) : Doc(InitDoc) {}

  // Reports a problem with the value At, which must belong to the document.
  // Message must end with the remedy.
  void add(const Json::Value &At, std::string_view Field,
           std::string_view Message);

  bool empty() const { return Found.empty(); }

  // Returns the problems in the order of their lines, one per line of the
  // message. Precondition: !empty().
  Error error() const;

private:
  const JsonDocument &Doc;
  std::vector<std::pair<size_t, std::string>> Found;
};

// A range of whole numbers, both ends included.
struct IntegerRange {
  int64_t Min;
  int64_t Max;
};

// Returns whether Text has 1 to 63 lower-case letters, digits and hyphens and
// starts and ends with a letter or digit. Thread safety: any thread.
bool isName(std::string_view Text);

// One value of a document together with its place. The value may be absent;
// then every read returns false without a report. A read returns true and sets
// Out if the value is valid; otherwise it reports a problem, returns false and
// leaves Out unchanged. Thread safety: one thread at a time.
class JsonNode {
public:
  JsonNode(const Json::Value *InitValue, std::string InitPath,
           JsonProblems &Sink)
      : Value(InitValue), Path(std::move(InitPath)), Problems(&Sink) {}

  bool present() const { return Value != nullptr; }
  const std::string &path() const { return Path; }

  // Reports a problem with this value. Precondition: present().
  void fail(std::string_view Message) const;

  template <typename IntegerT>
  bool readInteger(IntegerRange Range, IntegerT &Out) const {
    int64_t Number = 0;
    if (!readNumber(Range, Number))
      return false;
    Out = static_cast<IntegerT>(Number);
    return true;
  }
  // Reads a number, whole or not.
  bool readReal(IntegerRange Range, double &Out) const;
  bool readBool(bool &Out) const;
  // Reads a string of 1 to MaxBytes bytes without control characters.
  bool readText(size_t MaxBytes, std::string &Out) const;
  // Reads a string that satisfies isName().
  bool readName(std::string &Out) const;
  bool readAddress(SocketAddress &Out) const;
  // Reads exactly Out.size() bytes in hexadecimal. The value may be secret, so
  // it is not repeated in the report.
  bool readHex(std::span<uint8_t> Out) const;

  template <typename EnumT, size_t N>
  bool readEnum(const NameTable<EnumT, N> &Names, EnumT &Out) const {
    std::string Choices;
    for (const auto &Entry : Names.entries())
      Choices += (Choices.empty() ? "" : " or ") + std::string(Entry.Name);
    if (!present())
      return false;
    const auto Choice =
        Value->isString() ? Names.value(Value->asString()) : std::nullopt;
    if (!Choice)
      return refuse("write " + Choices);
    Out = *Choice;
    return true;
  }

  // Returns the elements of an array of MinCount to MaxCount elements.
  std::vector<JsonNode> elements(size_t MaxCount, size_t MinCount = 0) const;

  // Returns the members of an object that is used as a map, in the order of
  // their keys.
  std::vector<std::pair<std::string, JsonNode>> members(size_t MaxCount) const;

private:
  friend class JsonFields;
  bool readNumber(IntegerRange Range, int64_t &Out) const;
  bool refuse(const std::string &Remedy) const;

  const Json::Value *Value;
  std::string Path;
  JsonProblems *Problems;
};

// Reads the fields of one object. Ask for every field of the schema, then call
// finish(). Thread safety: one thread at a time.
class JsonFields {
public:
  // Reports a problem if Node is present and not an object.
  explicit JsonFields(const JsonNode &Object);
  // Reads the root object of Doc.
  JsonFields(const JsonDocument &Doc, JsonProblems &Problems)
      : JsonFields(JsonNode(&Doc.root(), "", Problems)) {}

  // Returns the field Name and reports a problem if there is none.
  JsonNode required(std::string_view Name);
  // Returns the field Name, which may be absent.
  JsonNode optional(std::string_view Name);

  // Reports the field Name, if it is present, with a message of its own.
  void forbid(std::string_view Name, std::string_view Message);

  // Reports all fields that were not asked for.
  void finish();

private:
  JsonNode Node;
  std::set<std::string, std::less<>> Known;
  std::set<std::string, std::less<>> Forbidden;
};

} // namespace burdockstream::base

#endif
