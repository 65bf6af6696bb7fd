#include "burdockstream/flowd/AgentEntries.h"

#include "burdockstream/base/JsonText.h"
#include "burdockstream/flowd/FlowSettings.h"

#include <utility>

namespace burdockstream::flowd {

namespace {

std::optional<std::string> parseName(const Json::Value &Root,
                                     const char *Field) {
  if (!Root.isObject() || !Root[Field].isString())
    return std::nullopt;
  std::string Name = Root[Field].asString();
  if (Name.empty() || Name.size() > MaxNameBytes)
    return std::nullopt;
  return Name;
}

} // namespace

std::string formatEntryKey(base::SocketAddress Agent) {
  return std::string(AgentKeyPrefix) + base::toString(Agent);
}

std::string formatEntryValue(const flows::AgentEntry &Entry) {
  Json::Value Value;
  Value["service"] = Entry.Service;
  Value["failure_domain"] = Entry.FailureDomain;
  if (Entry.Ended)
    Value["ended"] = true;
  if (Entry.Restarting)
    Value["restarting"] = true;
  return base::compactJson(Value);
}

std::optional<base::SocketAddress> parseEntryKey(std::string_view Key) {
  if (!Key.starts_with(AgentKeyPrefix))
    return std::nullopt;
  const auto Address =
      base::parseSocketAddress(Key.substr(AgentKeyPrefix.size()));
  // An agent has one key only: with a second one, such as a port with a leading
  // zero, the removal of either would remove the agent.
  if (Address.has_error() || formatEntryKey(Address.value()) != Key)
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
  auto Service = parseName(Root, "service");
  auto FailureDomain = parseName(Root, "failure_domain");
  if (!Address || !Service || !FailureDomain)
    return base::makeError(base::ErrorKind::Corrupt,
                           std::string(Key) +
                               " is not a valid agent entry; remove the key");
  const auto IsTrue = [&](const char *Field) {
    return Root[Field].isBool() && Root[Field].asBool();
  };
  return flows::AgentEntry{*Address, std::move(*Service),
                           std::move(*FailureDomain), IsTrue("ended"),
                           IsTrue("restarting")};
}

} // namespace burdockstream::flowd
