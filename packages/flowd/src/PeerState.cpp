#include "burdockstream/flowd/PeerState.h"

#include "burdockstream/base/JsonText.h"
#include "burdockstream/flowd/AgentEntries.h"

namespace burdockstream::flowd {

std::string serializePeerState(const PeerState &State) {
  Json::Value Root;
  Root["revision"] = Json::Int64(State.Revision);
  Root["routes"] = State.Routes;
  Root["agents"] = Json::arrayValue;
  for (const flows::AgentEntry &Each : State.Agents) {
    Json::Value Entry;
    Entry["key"] = formatEntryKey(Each.Agent);
    Entry["value"] = formatEntryValue(Each);
    Root["agents"].append(Entry);
  }
  return base::compactJson(Root);
}

base::Result<PeerState> parsePeerState(std::string_view Text,
                                       const std::string &Source) {
  const auto Document = base::JsonDocument::parse(Text, Source);
  if (Document.has_error())
    return Document.error();
  const Json::Value &Root = Document.value().root();
  if (!Root.isObject() || !Root["revision"].isInt64() ||
      !Root["routes"].isString() || !Root["agents"].isArray())
    return base::makeError(base::ErrorKind::Corrupt,
                           Source + ": malformed balancer state; check that "
                                    "the peer runs the same version");
  PeerState State;
  State.Revision = Root["revision"].asInt64();
  State.Routes = Root["routes"].asString();
  for (const Json::Value &Each : Root["agents"]) {
    if (!Each.isObject() || !Each["key"].isString() ||
        !Each["value"].isString())
      continue;
    auto Entry = parseEntry(Each["key"].asString(), Each["value"].asString());
    if (Entry.has_value())
      State.Agents.push_back(std::move(Entry.value()));
  }
  return State;
}

} // namespace burdockstream::flowd
