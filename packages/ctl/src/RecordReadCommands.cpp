#include "Commands.h"
#include "ResponseTable.h"
#include "StoredRecord.h"
#include "burdockstream/base/JsonText.h"
#include "burdockstream/records/RecordParser.h"

namespace burdockstream::ctl::detail {

Output getRecord(const Command &Command, const Hooks &Hooks) {
  const std::string &Service = Command.Arguments[0];
  const auto Stored = fetchRecord(Hooks, Service);
  if (Stored.has_error())
    return errorOutput(Stored.error());
  const auto &[Config, Body] = Stored.value();
  // The revision is printed as a comment, so that record put accepts the
  // output.
  if (Command.Format == Format::Table)
    return {ExitCode::Ok,
            "// revision " + std::to_string(Config.StoreRevision) + "\n" +
                prettyPrintRecord(Body, Service),
            ""};
  Json::Value Root(Json::objectValue);
  Root["revision"] = Json::Int64{Config.StoreRevision};
  Root["record"] = base::JsonDocument::parse(Body, Service).value().root();
  return {ExitCode::Ok, base::prettyJson(Root), ""};
}

Output listRecords(const Command &Command, const Hooks &Hooks) {
  const auto Response =
      callForList(Hooks, "record.list", Json::objectValue, "records");
  if (Response.has_error())
    return errorOutput(Response.error());
  return tableOutput(makeTable({"service", "team", "address", "schema_version",
                                "revision", "retired", "serves_address"},
                               Response.value()["records"]),
                     Command);
}

Output validateRecords(const Command &Command, const Hooks &Hooks) {
  Table Table{{"file", "service", "schema", "valid"}, {}};
  Output Result;
  for (const std::string &File : Command.Arguments) {
    const auto Text = Hooks.ReadFile(File);
    const auto Parsed = Text.has_error()
                            ? base::Result<records::ServiceConfig>(Text.error())
                            : records::parseRecord(Text.value(), File);
    if (Parsed.has_error()) {
      Result.Err += Parsed.error().Message + "\n";
      if (Result.Code == ExitCode::Ok)
        Result.Code = exitCodeOf(Parsed.error().Kind);
      Table.Rows.push_back({File, Json::Value(), Json::Value(), false});
      continue;
    }
    Table.Rows.push_back(
        {File, Parsed.value().Service, Parsed.value().SchemaVersion, true});
  }
  Result.Out = formatTable(Table, Command.Format);
  return Result;
}

Output migrateRecord(const Command &Command, const Hooks &Hooks) {
  const std::string &File = Command.Arguments[0];
  const auto Text = Hooks.ReadFile(File);
  if (Text.has_error())
    return errorOutput(Text.error());
  const auto Migrated = records::migrateRecord(Text.value(), File);
  if (Migrated.has_error())
    return errorOutput(Migrated.error());
  return {ExitCode::Ok, prettyPrintRecord(Migrated.value(), File), ""};
}

} // namespace burdockstream::ctl::detail
