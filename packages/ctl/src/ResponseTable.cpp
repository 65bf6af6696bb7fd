#include "ResponseTable.h"

namespace burdockstream::ctl::detail {

base::Error unexpectedFormat(const std::string &Method) {
  return base::makeError(
      base::ErrorKind::Corrupt,
      "the response to " + Method +
          " has an unexpected format; check that the balancer "
          "and burdockstreamctl have the same version");
}

admin::RpcResult callForList(const Hooks &Hooks, const std::string &Method,
                             const Json::Value &Parameters,
                             const std::string &List) {
  auto Response = Hooks.Call(Method, Parameters);
  if (Response.has_error())
    return Response;
  if (!Response.value().isObject() || !Response.value()[List].isArray())
    return unexpectedFormat(Method);
  for (const Json::Value &Entry : Response.value()[List])
    if (!Entry.isObject())
      return unexpectedFormat(Method);
  return Response;
}

Table makeTable(const std::vector<std::string> &Columns,
                const Json::Value &List) {
  Table Table{Columns, {}};
  for (const Json::Value &Entry : List) {
    std::vector<Json::Value> Row;
    Row.reserve(Columns.size());
    for (const std::string &Column : Columns)
      Row.push_back(Entry[Column]);
    Table.Rows.push_back(std::move(Row));
  }
  return Table;
}

Output tableOutput(const Table &Table, const Command &Command) {
  return {ExitCode::Ok, formatTable(Table, Command.Format), ""};
}

} // namespace burdockstream::ctl::detail
