// A table of results and its output as aligned text or as JSON.
#ifndef BURDOCKSTREAM_CTL_TABLE_H
#define BURDOCKSTREAM_CTL_TABLE_H

#include <json/value.h>
#include <string>
#include <vector>

namespace burdockstream::ctl {

enum class Format { Table, Json };

// Each row has one value per column. Column names are also the JSON keys.
struct Table {
  std::vector<std::string> Columns;
  std::vector<std::vector<Json::Value>> Rows;
};

// Formats Table as aligned text with a header, or as a JSON array with one
// object per row. In text, numbers are right-aligned and null is printed as
// "-". Precondition: every row has as many values as Columns. Thread safety:
// any thread.
std::string formatTable(const Table &Table, Format Format);

} // namespace burdockstream::ctl

#endif
