// Follows the configuration records in the store: reads all of them, unless
// they are known up to a revision, then watches for changes. It does not
// restart after a failure.
#ifndef BURDOCKSTREAM_DAEMON_RECORDWATCH_H
#define BURDOCKSTREAM_DAEMON_RECORDWATCH_H

#include "burdockstream/messages/Messages.h"
#include "burdockstream/store/StoreClient.h"

#include <functional>
#include <memory>
#include <string>

namespace burdockstream::daemon {

inline constexpr const char *RecordsPrefix = "/burdockstream/records/";

// Converts a key and value of the store. Precondition: Entry.Key starts with
// RecordsPrefix. Thread safety: any thread.
messages::RecordEntry toRecordEntry(const store::KeyValue &Entry);

// Callbacks of a RecordWatch, all called on the loop thread.
struct RecordWatchHooks {
  // Called for each record that is read or has changed.
  std::function<void(const messages::RecordEntry &)> OnRecord;
  // All changes up to this revision have been passed to OnRecord.
  std::function<void(base::Revision)> OnRevision;
  // The read has failed or the watch has ended. start() may be called again.
  std::function<void()> OnEnd;
};

class RecordWatch {
public:
  // Client must outlive the watch. Thread safety: loop thread only, for all
  // methods.
  RecordWatch(store::StoreClient &InitClient, RecordWatchHooks InitHooks);

  // Follows the records from revision From on; 0 reads all of them first.
  // Replaces a read or watch in progress.
  void start(base::Revision From);

  // Ends the watch, so that it no longer occupies a call at the store. The
  // response to a read in progress is ignored.
  void stop();

private:
  void onRead(const base::Result<store::RangeReply> &Reply);
  void openWatch(base::Revision From);

  store::StoreClient &Client;
  RecordWatchHooks Hooks;
  std::unique_ptr<store::Watch> Stream;
  // Set while the read of the latest start() is valid; a response to an earlier
  // read finds it expired and is ignored.
  std::shared_ptr<bool> CurrentRead;
};

} // namespace burdockstream::daemon

#endif
