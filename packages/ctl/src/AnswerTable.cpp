#include "AnswerTable.h"

namespace burdockstream::ctl::detail {

base::Error unknownForm(const std::string &Method) {
  return base::makeError(base::ErrorKind::Corrupt,
                         "the answer of " + Method +
                             " has an unknown form; check that the balancer "
                             "and burdockstreamctl have the same version");
}

admin::RpcResult callForList(const Hooks &Hooks, const std::string &Method,
                             const Json::Value &Parameters,
                             const std::string &List) {
  auto Answer = Hooks.Call(Method, Parameters);
  if (Answer.has_error())
    return Answer;
  if (!Answer.value().isObject() || !Answer.value()[List].isArray())
    return unknownForm(Method);
  for (const Json::Value &Entry : Answer.value()[List])
    if (!Entry.isObject())
      return unknownForm(Method);
  return Answer;
}

Table rowsOf(const std::vector<std::string> &Columns, const Json::Value &List) {
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

Output success(const Table &Table, const Command &Command) {
  return {ExitCode::Ok, formatTable(Table, Command.Format), ""};
}

} // namespace burdockstream::ctl::detail
