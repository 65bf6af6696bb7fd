#include "StoredRecord.h"

#include "ResponseTable.h"
#include "burdockstream/base/JsonText.h"
#include "burdockstream/records/RecordParser.h"

namespace burdockstream::ctl::detail {

base::Result<StoredRecord> fetchRecord(const Hooks &Hooks,
                                       const std::string &Service) {
  Json::Value Parameters;
  Parameters["service"] = Service;
  const auto Response = Hooks.Call("record.get", Parameters);
  if (Response.has_error())
    return Response.error();
  const Json::Value &Value = Response.value();
  if (!Value.isObject() || !Value["body"].isString() ||
      !Value["revision"].isInt64())
    return unexpectedFormat("record.get");
  StoredRecord Record;
  Record.Body = Value["body"].asString();
  auto Config = records::parseRecord(Record.Body, Service);
  if (Config.has_error())
    return Config.error();
  Record.Config = std::move(Config).value();
  Record.Config.StoreRevision = Value["revision"].asInt64();
  return Record;
}

std::string prettyPrintRecord(const std::string &Body,
                              const std::string &Source) {
  const auto Document = base::JsonDocument::parse(Body, Source);
  return Document.has_error() ? Body + "\n"
                              : base::prettyJson(Document.value().root());
}

} // namespace burdockstream::ctl::detail
