// JSON text with comments, parsed so that every value can be traced to its
// line. Duplicate keys, trailing commas and text after the root value are
// refused.
#ifndef BURDOCKSTREAM_BASE_JSONTEXT_H
#define BURDOCKSTREAM_BASE_JSONTEXT_H

#include "burdockstream/base/Error.h"

#include <cstddef>
#include <json/value.h>
#include <string>
#include <string_view>
#include <vector>

namespace burdockstream::base {

// A parsed text. Immutable after parse(). Thread safety: any thread.
class JsonDocument {
public:
  // Parses Text, whose root must be an object or an array. Source names the
  // text in errors, usually as a file path.
  static Result<JsonDocument> parse(std::string_view Text, std::string Source);

  const Json::Value &root() const { return Root; }
  const std::string &source() const { return Source; }

  // Returns the line, from 1, on which Value starts. Value must belong to this
  // document.
  size_t lineOf(const Json::Value &Value) const;

private:
  JsonDocument() = default;

  Json::Value Root;
  std::string Source;
  std::vector<ptrdiff_t> LineStarts; // offset of the first byte of each line
};

// Reads a whole text file. Thread safety: any thread; it blocks, so a daemon
// calls it at startup only.
Result<std::string> readTextFile(const std::string &Path);

// Formats Value on one line without spaces, as records are stored. Thread
// safety: any thread.
std::string compactJson(const Json::Value &Value);

// Formats Value with an indentation of two spaces and a final line break.
// Thread safety: any thread.
std::string prettyJson(const Json::Value &Value);

} // namespace burdockstream::base

#endif
