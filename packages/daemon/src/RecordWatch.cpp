#include "RecordWatch.h"

#include <string_view>
#include <utility>

namespace burdockstream::daemon {

messages::RecordEntry toRecordEntry(const store::KeyValue &Entry) {
  const std::string Service =
      Entry.Key.substr(std::string_view(RecordsPrefix).size());
  return {Service, Entry.ModRevision, Entry.Value};
}

RecordWatch::RecordWatch(store::StoreClient &InitClient,
                         RecordWatchHooks InitHooks)
    : Client(InitClient), Hooks(std::move(InitHooks)) {}

void RecordWatch::start(base::Revision From) {
  stop();
  if (From > 0) {
    openWatch(From);
    return;
  }
  CurrentRead = std::make_shared<bool>(true);
  Client.readPrefix(RecordsPrefix,
                    [this, Weak = std::weak_ptr<bool>(CurrentRead)](
                        const base::Result<store::RangeReply> &Reply) {
                      if (Weak.lock())
                        onRead(Reply);
                    });
}

void RecordWatch::stop() {
  CurrentRead.reset();
  Stream.reset();
}

void RecordWatch::onRead(const base::Result<store::RangeReply> &Reply) {
  if (Reply.has_error()) {
    Hooks.OnEnd();
    return;
  }
  for (const store::KeyValue &Entry : Reply.value().Values)
    Hooks.OnRecord(toRecordEntry(Entry));
  Hooks.OnRevision(Reply.value().StoreRevision);
  openWatch(Reply.value().StoreRevision + 1);
}

void RecordWatch::openWatch(base::Revision From) {
  Stream = Client.watch(
      {RecordsPrefix, From},
      [this](const store::WatchEvent &Event) {
        if (!Event.Deleted) // a retired record is replaced by a tombstone,
                            // never deleted
          Hooks.OnRecord(toRecordEntry(Event.Entry));
        Hooks.OnRevision(Event.Entry.ModRevision);
      },
      [this](const base::Error &) { Hooks.OnEnd(); });
}

} // namespace burdockstream::daemon
