// Watches of StoreStandIn, and the expiry of leases.
#include "burdockstream/base/JsonText.h"
#include "burdockstream/store/EtcdJson.h"
#include "burdockstream/testing/StoreStandIn.h"

#include <utility>

namespace burdockstream::testing {

namespace etcd = store::etcd;

namespace {

std::string eventLine(bool Deleted, const store::KeyValue &Entry) {
  Json::Value Event;
  Event["type"] = Deleted ? "DELETE" : "PUT";
  Event["kv"]["key"] = store::encodeBase64(Entry.Key);
  Event["kv"]["value"] = store::encodeBase64(Entry.Value);
  Event["kv"]["mod_revision"] = std::to_string(Entry.ModRevision);
  Json::Value Answer;
  Answer["result"]["header"]["revision"] = std::to_string(Entry.ModRevision);
  Answer["result"]["events"].append(Event);
  return base::compactJson(Answer);
}

std::string createdLine(base::Revision Revision) {
  Json::Value Answer;
  Answer["result"]["header"]["revision"] = std::to_string(Revision);
  Answer["result"]["created"] = true;
  return base::compactJson(Answer);
}

} // namespace

void StoreStandIn::openWatch(const Json::Value &Body,
                             const std::shared_ptr<http::Responder> &Out) {
  const Json::Value &Create = Body["create_request"];
  const Watcher NewWatcher{store::decodeBase64(Create["key"].asString()),
                           store::decodeBase64(Create["range_end"].asString()),
                           Out};
  Out->sendLine(createdLine(CurrentRevision));
  const base::Revision Start = etcd::toInteger(Create["start_revision"]);
  for (const Change &Earlier : History)
    if (Start > 0 && Earlier.Entry.ModRevision >= Start &&
        Earlier.Entry.Key >= NewWatcher.Begin &&
        Earlier.Entry.Key < NewWatcher.End)
      Out->sendLine(eventLine(Earlier.Deleted, Earlier.Entry));
  Watchers.push_back(NewWatcher);
}

void StoreStandIn::recordChange(const Change &NewChange) {
  History.push_back(NewChange);
  Watchers.remove_if(
      [](const Watcher &Receiver) { return Receiver.Out->isClosed(); });
  for (const Watcher &Receiver : Watchers)
    if (NewChange.Entry.Key >= Receiver.Begin &&
        NewChange.Entry.Key < Receiver.End)
      Receiver.Out->sendLine(eventLine(NewChange.Deleted, NewChange.Entry));
}

void StoreStandIn::closeWatches() {
  for (const Watcher &Receiver : Watchers)
    Receiver.Out->abort();
  Watchers.clear();
}

gboolean StoreStandIn::onLeaseTimer(gpointer Data) {
  static_cast<StoreStandIn *>(Data)->expireLeases();
  return G_SOURCE_CONTINUE;
}

void StoreStandIn::expireLeases() {
  const gint64 Now = g_get_monotonic_time();
  std::erase_if(Leases,
                [&](const auto &Item) { return Item.second.ExpiresAt < Now; });
  for (auto It = Entries.begin(); It != Entries.end();) {
    const store::LeaseId AttachedLease = It->second.Lease;
    if (AttachedLease == store::NoLease || Leases.count(AttachedLease) != 0) {
      ++It;
      continue;
    }
    const store::KeyValue Removed{It->first, "", ++CurrentRevision};
    It = Entries.erase(It);
    recordChange({true, Removed});
  }
}

} // namespace burdockstream::testing
