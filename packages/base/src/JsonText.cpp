#include "burdockstream/base/JsonText.h"

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <json/reader.h>
#include <json/writer.h>
#include <memory>
#include <sstream>

namespace burdockstream::base {

namespace {

// Settings and records need 4 levels. The limit keeps a hostile text from
// exhausting the stack of the recursive parser.
constexpr int MaxNesting = 32;

std::unique_ptr<Json::CharReader> makeReader() {
  Json::CharReaderBuilder Builder;
  Json::CharReaderBuilder::strictMode(&Builder.settings_);
  Builder["allowComments"] = true;
  Builder["collectComments"] = false;
  Builder["rejectDupKeys"] = true;
  Builder["stackLimit"] = MaxNesting;
  return std::unique_ptr<Json::CharReader>(Builder.newCharReader());
}

// Turns the first of jsoncpp's errors, "* Line 2, Column 3\n  Text\n...", into
// one line.
Error syntaxError(const std::string &Source, const std::string &Report) {
  unsigned Line = 1;
  unsigned Column = 1;
  std::string Text = "the text is not JSON";
  if (std::sscanf(Report.c_str(), "* Line %u, Column %u", &Line, &Column) ==
      2) {
    std::istringstream Lines(Report);
    std::string First;
    std::getline(Lines, First);
    if (std::getline(Lines, Text))
      Text.erase(0, Text.find_first_not_of(' '));
  }
  return makeError(ErrorKind::InvalidArgument,
                   Source + ":" + std::to_string(Line) + ": " + Text +
                       " (column " + std::to_string(Column) +
                       "); correct the JSON text");
}

std::vector<ptrdiff_t> findLineStarts(std::string_view Text) {
  std::vector<ptrdiff_t> Starts{0};
  for (size_t I = 0; I < Text.size(); ++I)
    if (Text[I] == '\n')
      Starts.push_back(static_cast<ptrdiff_t>(I) + 1);
  return Starts;
}

} // namespace

Result<JsonDocument> JsonDocument::parse(std::string_view Text,
                                         std::string Source) {
  JsonDocument Document;
  std::string Report;
  bool Parsed = false;
  try {
    Parsed = makeReader()->parse(Text.data(), Text.data() + Text.size(),
                                 &Document.Root, &Report);
  } catch (const std::exception &) { // jsoncpp throws on deep nesting
    return makeError(ErrorKind::InvalidArgument,
                     Source + ":1: the text is nested more than " +
                         std::to_string(MaxNesting) +
                         " levels deep; remove the surplus brackets");
  }
  if (!Parsed)
    return syntaxError(Source, Report);
  Document.Source = std::move(Source);
  Document.LineStarts = findLineStarts(Text);
  return Document;
}

size_t JsonDocument::lineOf(const Json::Value &Value) const {
  const auto Next = std::upper_bound(LineStarts.begin(), LineStarts.end(),
                                     Value.getOffsetStart());
  return static_cast<size_t>(std::max<ptrdiff_t>(Next - LineStarts.begin(), 1));
}

Result<std::string> readTextFile(const std::string &Path) {
  std::ifstream File(Path, std::ios::binary);
  std::ostringstream Text;
  if (!File || !(Text << File.rdbuf()))
    return makeError(ErrorKind::NotFound,
                     Path + ": cannot read the file or it is empty; check the "
                            "path and its permissions");
  return Text.str();
}

std::string compactJson(const Json::Value &Value) {
  Json::StreamWriterBuilder Builder;
  Builder["indentation"] = "";
  Builder["commentStyle"] = "None";
  return Json::writeString(Builder, Value);
}

std::string prettyJson(const Json::Value &Value) {
  Json::StreamWriterBuilder Builder;
  Builder["indentation"] = "  ";
  Builder["commentStyle"] = "None";
  return Json::writeString(Builder, Value) + "\n";
}

} // namespace burdockstream::base
