#include "RequestRecords.h"

#include <glog/logging.h>

#include <algorithm>

namespace burdockstream::requests {

namespace {

// How long copies of a refused message may still be in transit.
constexpr base::Duration RefusalRetention = std::chrono::seconds(5);

messages::Bytes encodeAnswer(const coap::CoapMessage &Answer) {
  auto Bytes = coap::serializeMessage(Answer);
  CHECK(Bytes.has_value()) << "cannot serialize recorded response: "
                           << Bytes.error().Message;
  return std::move(Bytes.value());
}

base::TimePoint toMonotonic(int64_t WallMilliseconds, base::Now Now) {
  return Now.Monotonic +
         std::chrono::milliseconds(WallMilliseconds - Now.Wall.Milliseconds);
}

RequestRecord fromWire(base::BucketIndex Bucket,
                       const messages::RequestRecord &Wire, base::Now Now) {
  RequestRecord Record;
  Record.Bucket = Bucket;
  Record.Issued = Wire.IssuedMilliseconds;
  Record.Deadline = Wire.DeadlineMilliseconds;
  Record.Runner = Wire.Runner;
  Record.State = Wire.State == messages::RunState::Running
                     ? RecordState::Running
                     : RecordState::Unknown;
  if (Wire.State != messages::RunState::Answered)
    return Record;
  const auto Answer = coap::parseMessage(Wire.Answer);
  // The request has run, so the record is kept even if its answer cannot be
  // parsed.
  if (Answer.has_error())
    return Record;
  Record.Answer = Answer.value();
  const bool Refused =
      Record.Answer.MessageCode == coap::Code::ServiceUnavailable;
  Record.State = Refused ? RecordState::Refused : RecordState::Answered;
  if (Refused)
    Record.RefusedUntil = Now.Monotonic + RefusalRetention;
  return Record;
}

// Returns whether a state reported by another agent replaces the local record.
// A local refusal is replaced by any state, because the caller may have retried
// at another agent.
bool supersedes(const RequestRecord &Known, RecordState Incoming,
                base::DaemonId Self) {
  switch (Known.State) {
  case RecordState::Refused:
    return true;
  case RecordState::Queued:
    return false;
  case RecordState::Running:
    return Known.Runner != Self && Incoming != RecordState::Running;
  case RecordState::Unknown:
    return Incoming == RecordState::Answered;
  case RecordState::Answered:
    return false;
  }
  return false;
}

bool isFinished(RecordState State) {
  return State != RecordState::Queued && State != RecordState::Running;
}

} // namespace

RequestRecord *RequestRecords::find(const RecordKey &Key) {
  const auto Found = Records.find(Key);
  return Found == Records.end() ? nullptr : &Found->second;
}

RequestRecord &RequestRecords::put(const RecordKey &Key, RequestRecord Record,
                                   base::Now Now) {
  Ends.set(Key, toMonotonic(Record.Deadline + RecordGraceMilliseconds, Now));
  Deadlines.set(Key, toMonotonic(Record.Deadline, Now));
  return Records[Key] = std::move(Record);
}

messages::RequestRecord
RequestRecords::toWire(const RecordKey &Key,
                       const RequestRecord &Record) const {
  messages::RequestRecord Wire;
  Wire.Caller = Key.Caller;
  Wire.RequestId = Key.RequestId;
  Wire.IssuedMilliseconds = Record.Issued;
  Wire.DeadlineMilliseconds = Record.Deadline;
  Wire.Runner = Record.Runner;
  switch (Record.State) {
  case RecordState::Queued:
    Wire.Runner = Self;
    [[fallthrough]];
  case RecordState::Running:
    Wire.State = messages::RunState::Running;
    break;
  case RecordState::Unknown:
    Wire.State = messages::RunState::Unknown;
    break;
  case RecordState::Answered:
  case RecordState::Refused:
    Wire.State = messages::RunState::Answered;
    Wire.Answer = encodeAnswer(Record.Answer);
    break;
  }
  return Wire;
}

std::vector<messages::RequestRecord>
RequestRecords::exportBucket(base::BucketIndex Bucket) const {
  std::vector<messages::RequestRecord> Wire;
  for (const auto &[Key, Record] : Records)
    if (Record.Bucket == Bucket)
      Wire.push_back(toWire(Key, Record));
  return Wire;
}

std::optional<RecordKey>
RequestRecords::import(base::BucketIndex Bucket,
                       const messages::RequestRecord &Wire, base::Now Now) {
  if (Now.Wall.Milliseconds >
      Wire.DeadlineMilliseconds + RecordGraceMilliseconds)
    return std::nullopt;
  const RecordKey Key{Wire.Caller, Wire.RequestId};
  RequestRecord Record = fromWire(Bucket, Wire, Now);
  RequestRecord *Known = find(Key);
  // This agent ran the request but no longer has its record, so the result is
  // in transit or lost.
  if (Known == nullptr && Record.State == RecordState::Running &&
      Record.Runner == Self)
    Record.State = RecordState::Unknown;
  if (Known == nullptr) {
    put(Key, std::move(Record), Now);
    return std::nullopt;
  }
  if (!supersedes(*Known, Record.State, Self))
    return std::nullopt;
  Record.Waiters = std::move(Known->Waiters);
  const bool Finished = isFinished(Record.State);
  put(Key, std::move(Record), Now);
  return Finished ? std::optional(Key) : std::nullopt;
}

void RequestRecords::dropBucket(base::BucketIndex Bucket) {
  std::erase_if(Records, [&](const auto &Entry) {
    const RequestRecord &Record = Entry.second;
    const bool RunsElsewhere =
        Record.State == RecordState::Running && Record.Runner != Self;
    const bool Remove = Record.Bucket == Bucket && Record.Waiters.empty() &&
                        (isFinished(Record.State) || RunsElsewhere);
    if (Remove) {
      Ends.clear(Entry.first);
      Deadlines.clear(Entry.first);
    }
    return Remove;
  });
}

std::vector<RecordKey> RequestRecords::runningAt(base::DaemonId Runner) const {
  std::vector<RecordKey> Keys;
  for (const auto &[Key, Record] : Records)
    if (Record.State == RecordState::Running && Record.Runner == Runner)
      Keys.push_back(Key);
  return Keys;
}

std::vector<RecordKey> RequestRecords::tick(base::Now Now) {
  std::vector<RecordKey> Overdue;
  while (const auto Key = Deadlines.popDue(Now.Monotonic)) {
    const RequestRecord &Record = Records.at(*Key);
    if (Record.State == RecordState::Running && Record.Runner != Self)
      Overdue.push_back(*Key);
  }
  while (const auto Key = Ends.popDue(Now.Monotonic)) {
    const int64_t End = Records.at(*Key).Deadline + RecordGraceMilliseconds;
    // The wall clock may have been set back since the timer was set.
    if (Now.Wall.Milliseconds < End)
      Ends.set(*Key, toMonotonic(End, Now));
    else
      Records.erase(*Key);
  }
  return Overdue;
}

base::TimePoint RequestRecords::nextDeadline() const {
  return std::min(Ends.next(), Deadlines.next());
}

} // namespace burdockstream::requests
