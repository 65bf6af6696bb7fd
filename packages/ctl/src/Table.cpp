#include "burdockstream/ctl/Table.h"

#include "burdockstream/base/JsonText.h"

#include <algorithm>
#include <glog/logging.h>

namespace burdockstream::ctl {

namespace {

std::string cellText(const Json::Value &Value) {
  if (Value.isNull())
    return "-";
  return Value.isString() ? Value.asString() : base::compactJson(Value);
}

std::string pad(const std::string &Text, size_t Width, bool AlignRight) {
  const std::string Padding(Width - std::min(Width, Text.size()), ' ');
  return AlignRight ? Padding + Text : Text + Padding;
}

std::string toUpperCase(std::string Text) {
  std::transform(Text.begin(), Text.end(), Text.begin(), [](char Letter) {
    return Letter >= 'a' && Letter <= 'z'
               ? static_cast<char>(Letter - 'a' + 'A')
               : Letter;
  });
  return Text;
}

// Appends one line without trailing spaces.
void appendLine(std::string &Out, std::string Line) {
  Line.erase(Line.find_last_not_of(' ') + 1);
  Out += Line + "\n";
}

std::string formatText(const Table &Table) {
  std::vector<size_t> Widths;
  for (size_t Column = 0; Column < Table.Columns.size(); ++Column) {
    size_t Width = Table.Columns[Column].size();
    for (const auto &Row : Table.Rows)
      Width = std::max(Width, cellText(Row[Column]).size());
    Widths.push_back(Width);
  }
  std::string Out;
  std::string Header;
  for (size_t Column = 0; Column < Table.Columns.size(); ++Column) {
    const bool AlignRight =
        !Table.Rows.empty() && Table.Rows[0][Column].isNumeric();
    Header += (Column > 0 ? "  " : "") + pad(toUpperCase(Table.Columns[Column]),
                                             Widths[Column], AlignRight);
  }
  appendLine(Out, Header);
  for (const auto &Row : Table.Rows) {
    std::string Line;
    for (size_t Column = 0; Column < Row.size(); ++Column)
      Line +=
          (Column > 0 ? "  " : "") +
          pad(cellText(Row[Column]), Widths[Column], Row[Column].isNumeric());
    appendLine(Out, Line);
  }
  return Out;
}

} // namespace

std::string formatTable(const Table &Table, Format Format) {
  for (const auto &Row : Table.Rows)
    CHECK_EQ(Row.size(), Table.Columns.size());
  if (Format == Format::Table)
    return formatText(Table);
  Json::Value Array(Json::arrayValue);
  for (const auto &Row : Table.Rows) {
    Json::Value Object(Json::objectValue);
    for (size_t Column = 0; Column < Row.size(); ++Column)
      Object[Table.Columns[Column]] = Row[Column];
    Array.append(Object);
  }
  return base::prettyJson(Array);
}

} // namespace burdockstream::ctl
