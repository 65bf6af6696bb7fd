// Follows the configuration records in the store, once: one read unless the
// records are known up to a revision, then a watch until it ends.
#ifndef BURDOCKSTREAM_DAEMON_RECORDWATCH_H
#define BURDOCKSTREAM_DAEMON_RECORDWATCH_H

#include "burdockstream/messages/Messages.h"
#include "burdockstream/store/StoreClient.h"

#include <functional>
#include <memory>
#include <string>

namespace burdockstream::daemon {

inline constexpr const char *RecordsPrefix = "/burdockstream/records/";

// Converts an entry of the store. Precondition: Entry.Key starts with
// RecordsPrefix. Thread safety: any thread.
messages::RecordEntry toRecordEntry(const store::KeyValue &Entry);

struct RecordWatchHooks {
  std::function<void(const messages::RecordEntry &)> OnRecord;
  // Every record up to this revision has been delivered.
  std::function<void(base::Revision)> OnRevision;
  // The read failed or the watch has ended; it may be started again.
  std::function<void()> OnEnd;
};

class RecordWatch {
public:
  // Client must outlive the watch. Thread safety: loop thread only, for all
  // methods.
  RecordWatch(store::StoreClient &InitClient, RecordWatchHooks InitHooks);

  // Begins to follow the records from revision From on; zero reads all of them
  // first. A watch under way is replaced.
  void start(base::Revision From);

  // Ends the watch, so that it no longer counts as a call at the store.
  void stop();

private:
  void onRead(const base::Result<store::RangeReply> &Reply);
  void openWatch(base::Revision From);

  store::StoreClient &Client;
  RecordWatchHooks Hooks;
  std::unique_ptr<store::Watch> Stream;
  // Tells the answer to the current start() from that to an earlier one.
  std::shared_ptr<bool> Current;
};

} // namespace burdockstream::daemon

#endif
