#include "burdockstream/flowd/AgentEntries.h"

#include "burdockstream/base/JsonText.h"

namespace burdockstream::flowd {

std::string formatEntryKey(base::SocketAddress Agent) {
  return std::string(AgentKeyPrefix) + base::toString(Agent);
}

std::string formatEntryValue(const flows::AgentEntry &Entry) {
  Json::Value Value;
  Value["service"] = Entry.Service;
  Value["failure_domain"] = Entry.FailureDomain;
  if (Entry.Ended)
    Value["ended"] = true;
  return base::compactJson(Value);
}

std::optional<base::SocketAddress> parseEntryKey(std::string_view Key) {
  if (!Key.starts_with(AgentKeyPrefix))
    return std::nullopt;
  const auto Address =
      base::parseSocketAddress(Key.substr(AgentKeyPrefix.size()));
  if (Address.has_error())
    return std::nullopt;
  return Address.value();
}

base::Result<flows::AgentEntry> parseEntry(std::string_view Key,
                                           std::string_view Value) {
  const auto Address = parseEntryKey(Key);
  const auto Document = base::JsonDocument::parse(Value, std::string(Key));
  if (Document.has_error())
    return Document.error();
  const Json::Value &Root = Document.value().root();
  if (!Address || !Root.isObject() || !Root["service"].isString() ||
      !Root["failure_domain"].isString())
    return base::makeError(base::ErrorKind::Corrupt,
                           std::string(Key) +
                               " is not a valid agent entry; remove the key");
  return flows::AgentEntry{*Address, Root["service"].asString(),
                           Root["failure_domain"].asString(),
                           Root["ended"].isBool() && Root["ended"].asBool()};
}

} // namespace burdockstream::flowd
