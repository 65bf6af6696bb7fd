// Records that enforce at-most-once execution of non-idempotent requests. A
// record is created before its request is sent to an endpoint or another agent,
// and is kept until 4 s after the request's deadline.
#ifndef BURDOCKSTREAM_REQUESTS_REQUESTRECORDS_H
#define BURDOCKSTREAM_REQUESTS_REQUESTRECORDS_H

#include "CallerLayer.h"
#include "DeadlineIndex.h"

#include "burdockstream/messages/Messages.h"

#include <map>
#include <string>
#include <vector>

namespace burdockstream::requests {

// Largest tolerated offset between the wall clocks of callers, agents and
// endpoints.
inline constexpr int64_t ClockBoundMilliseconds = 2000;
// How long a record outlives its deadline: the clock bound plus 2 s for copies
// of the request that are still in transit.
inline constexpr int64_t RecordGraceMilliseconds = 4000;

// A caller's request message that awaits the response, and the block that it
// requested.
struct Waiter {
  ExchangeKey Exchange;
  std::optional<coap::Block> Block2;
};

// Identifies a non-idempotent request. Request ids are unique per caller only.
struct RecordKey {
  base::SocketAddress Caller;
  std::string RequestId;
  // clang-tidy 14 reports the comparison with 0 that the compiler generates.
  // NOLINTBEGIN(modernize-use-nullptr,readability-identifier-naming)
  friend auto operator<=>(const RecordKey &, const RecordKey &) = default;
  // NOLINTEND(modernize-use-nullptr,readability-identifier-naming)
};

enum class RecordState : uint8_t {
  Queued,   // accepted here and not yet started
  Running,  // started; Runner is responsible for its result
  Answered, // completed; Answer is the response
  Unknown,  // the outcome is unknown; it may have run
  Refused   // did not run; Answer is the refusal response
};

struct RequestRecord {
  base::BucketIndex Bucket = 0;
  int64_t Issued = 0;   // Unix milliseconds
  int64_t Deadline = 0; // Unix milliseconds
  RecordState State = RecordState::Queued;
  base::DaemonId Runner;
  coap::CoapMessage Answer;
  std::vector<Waiter> Waiters;
  // For imported refusals only. Until this time every request with this key is
  // taken for a copy of the refused message and gets the refusal again. Copies
  // of messages refused here are recognized by their message id instead.
  base::TimePoint RefusedUntil = base::TimePoint::min();
};

// Not thread-safe. Pointers and references to records are valid until the next
// call of a non-const method other than find.
class RequestRecords {
public:
  explicit RequestRecords(base::DaemonId InitSelf) : Self(InitSelf) {}

  // Returns the record, or nullptr if there is none.
  RequestRecord *find(const RecordKey &Key);

  // Adds or replaces a record and sets its timers.
  RequestRecord &put(const RecordKey &Key, RequestRecord Record, base::Now Now);

  size_t size() const { return Records.size(); }

  // Returns the bucket's records for its new owner. Queued requests are
  // exported as running at this agent, because they finish here.
  std::vector<messages::RequestRecord>
  exportBucket(base::BucketIndex Bucket) const;

  // Merges a record of another agent unless it has expired or the local record
  // takes precedence. Returns its key if it replaced a local record and is
  // final, so that waiters must be answered.
  std::optional<RecordKey> import(base::BucketIndex Bucket,
                                  const messages::RequestRecord &Record,
                                  base::Now Now);

  // Returns the wire representation of a record.
  messages::RequestRecord toWire(const RecordKey &Key,
                                 const RequestRecord &Record) const;

  // Removes the bucket's records that have no waiters and are final or run at
  // another agent.
  void dropBucket(base::BucketIndex Bucket);

  // Returns the keys of all records that are running at Runner.
  std::vector<RecordKey> runningAt(base::DaemonId Runner) const;

  // Removes expired records. Returns the keys of records that are running at
  // another agent although their deadline has passed.
  std::vector<RecordKey> tick(base::Now Now);
  // Returns the time at which tick must be called next, or base::Never.
  base::TimePoint nextDeadline() const;

private:
  base::DaemonId Self;
  std::map<RecordKey, RequestRecord> Records;
  DeadlineIndex<RecordKey> Ends;
  DeadlineIndex<RecordKey> Deadlines;
};

} // namespace burdockstream::requests

#endif
