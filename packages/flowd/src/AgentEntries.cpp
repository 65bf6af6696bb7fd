#include "burdockstream/flowd/AgentEntries.h"

#include "burdockstream/base/JsonText.h"

namespace burdockstream::flowd {

std::string entryKey(base::SocketAddress Agent) {
  return std::string(AgentPrefix) + base::toString(Agent);
}

std::string entryValue(const flows::AgentEntry &Entry) {
  Json::Value Value;
  Value["service"] = Entry.Service;
  Value["failure_domain"] = Entry.FailureDomain;
  if (Entry.Ended)
    Value["ended"] = true;
  return base::compactJson(Value);
}

std::optional<base::SocketAddress> agentOfKey(std::string_view Key) {
  if (!Key.starts_with(AgentPrefix))
    return std::nullopt;
  const auto Address = base::parseSocketAddress(Key.substr(AgentPrefix.size()));
  if (Address.has_error())
    return std::nullopt;
  return Address.value();
}

base::Result<flows::AgentEntry> readEntry(std::string_view Key,
                                          std::string_view Value) {
  const auto Address = agentOfKey(Key);
  const auto Document = base::JsonDocument::parse(Value, std::string(Key));
  if (Document.has_error())
    return Document.error();
  const Json::Value &Root = Document.value().root();
  if (!Address || !Root.isObject() || !Root["service"].isString() ||
      !Root["failure_domain"].isString())
    return base::makeError(base::ErrorKind::Corrupt,
                           std::string(Key) +
                               " is no agent's entry; remove it");
  return flows::AgentEntry{*Address, Root["service"].asString(),
                           Root["failure_domain"].asString(),
                           Root["ended"].isBool() && Root["ended"].asBool()};
}

} // namespace burdockstream::flowd
