// Writes a configuration record: reads the records, checks the rules, replaces
// the record by compare-and-swap, and retries a write whose response
// was lost. No other code writes records or retries writes.
#ifndef BURDOCKSTREAM_DAEMON_RECORDWRITER_H
#define BURDOCKSTREAM_DAEMON_RECORDWRITER_H

#include "burdockstream/base/Random.h"
#include "burdockstream/messages/Messages.h"
#include "burdockstream/records/RecordSet.h"
#include "burdockstream/store/StoreClient.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace burdockstream::daemon {

// A request to write or retire one record.
struct RecordWrite {
  std::string Team; // team that requests the write
  std::string Body; // JSON text of the record; ignored when Retire is set
  std::string Service;
  bool Retire = false;
  std::optional<base::Revision> IfRevision; // 0: the record must not exist
};

// The outcome of a write.
struct RecordWriteResult {
  messages::RecordEntry Entry; // the record in the store
  bool Changed = true; // false: the record already had the same settings
  // Other services whose records name the same address, which happens if two
  // writers claim it concurrently.
  std::vector<std::string> ContestedWith;
};

class RecordWriter {
public:
  using Callback = std::function<void(base::Result<RecordWriteResult>)>;
  using StoredRecordCallback =
      std::function<void(const messages::RecordEntry &)>;

  // InitClient and InitRandom must outlive the writer and its writes.
  // InitOnStoredRecord is called for each version of the written record that
  // the writer reads from or writes to the store, before the result of the
  // write is reported. Thread safety: loop thread only, for all methods.
  RecordWriter(store::StoreClient &InitClient, base::RandomSource &InitRandom,
               StoredRecordCallback InitOnStoredRecord)
      : Client(InitClient), Random(InitRandom),
        OnStoredRecord(std::move(InitOnStoredRecord)) {}

  // Performs Write and reports the resulting record through Done. If the stored
  // record already has the requested settings, nothing is written regardless of
  // IfRevision, so that a client can repeat a write. Errors:
  // - Conflict if the stored revision is not the expected one (the message has
  //   both), or if the stored record is invalid and IfRevision is not set
  // - Unavailable if the store could not be read, so that nothing was written
  // - OutcomeUnknown if the store did not respond to any attempt of the write
  // - NotFound if the record to retire does not exist
  // - those of the checks of the record and of the team's permission
  void write(const RecordWrite &Write, Callback Done);

private:
  struct PendingWrite;

  void onRead(const std::shared_ptr<PendingWrite> &Pending,
              const base::Result<store::RangeReply> &Reply);
  base::Result<bool> prepare(PendingWrite &Pending,
                             const store::RangeReply &Reply);
  void compareAndSwap(const std::shared_ptr<PendingWrite> &Pending);
  void onCompareAndSwap(const std::shared_ptr<PendingWrite> &Pending,
                        const base::Result<store::CasReply> &Reply);
  void onWritten(const std::shared_ptr<PendingWrite> &Pending,
                 base::Revision Revision);

  store::StoreClient &Client;
  base::RandomSource &Random;
  StoredRecordCallback OnStoredRecord;
};

} // namespace burdockstream::daemon

#endif
