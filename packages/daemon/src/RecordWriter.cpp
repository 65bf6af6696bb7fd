#include "RecordWriter.h"

#include "RecordWatch.h"
#include "burdockstream/records/AddressClaim.h"
#include "burdockstream/records/Nonce.h"
#include "burdockstream/records/RecordParser.h"
#include "burdockstream/records/RecordRules.h"

#include <glog/logging.h>
#include <map>
#include <utility>

namespace burdockstream::daemon {

using base::ErrorKind;
using base::makeError;
using base::Result;

namespace {

// Limits how often a write is sent if its response is lost. With a store
// timeout of 1 s and one read before and one after, a write succeeds, fails or
// is reported as unknown within 5 s.
constexpr int MaxWriteAttempts = 3;

base::Error conflict(const std::string &Service, base::Revision Expected,
                     base::Revision Current) {
  return makeError(ErrorKind::Conflict,
                   Service + " is at revision " + std::to_string(Current) +
                       ", not at " + std::to_string(Expected) +
                       "; read the record, merge your change and write it with "
                       "if_revision " +
                       std::to_string(Current));
}

} // namespace

struct RecordWriter::PendingWrite {
  RecordWrite Write;
  Callback Done;
  std::string Nonce;
  base::Revision Expected = 0;
  std::string Text;
  bool ClaimsAddress = false; // no replaced version had the address
  int Attempts = 0;
  RecordWriteResult Result;
};

namespace {

// The records read from the store.
struct ParsedRecords {
  records::RecordSet Set;
  std::map<std::string, base::Revision> Invalid; // revisions by service
};

// Parses all records. Those that cannot be parsed are logged and listed as
// invalid.
ParsedRecords parseRecords(const store::RangeReply &Reply) {
  ParsedRecords Records;
  for (const store::KeyValue &Entry : Reply.Values) {
    const messages::RecordEntry Record = toRecordEntry(Entry);
    const auto Parsed =
        Records.Set.apply(Record.Service, Record.StoreRevision, Record.Body);
    if (!Parsed.has_error())
      continue;
    LOG(ERROR) << Parsed.error().Message;
    Records.Invalid[Record.Service] = Record.StoreRevision;
  }
  return Records;
}

// Returns the configuration that Write asks for, given that of the stored
// record or nullptr if there is none.
Result<records::ServiceConfig>
proposedConfig(const RecordWrite &Write,
               const records::ServiceConfig *Current) {
  if (Write.Retire && !Current)
    return makeError(ErrorKind::NotFound, "there is no record of " +
                                              Write.Service +
                                              "; check the name");
  if (Write.Retire) {
    records::ServiceConfig Retired = *Current;
    Retired.Retired = true;
    return Retired;
  }
  auto Parsed = records::parseRecord(Write.Body, "record");
  if (Parsed.has_value() && Parsed.value().Service != Write.Service)
    return makeError(ErrorKind::InvalidArgument,
                     "the record is for service " + Parsed.value().Service +
                         ", but the request names " + Write.Service +
                         "; use the same name");
  return Parsed;
}

// Returns the revision that the write replaces, 0 for a new record. An invalid
// record is replaced only if the request states its revision, because its team
// and bucket count are unknown and cannot be checked.
Result<base::Revision> expectedRevision(const RecordWrite &Write,
                                        const ParsedRecords &Records,
                                        const records::ServiceConfig *Current) {
  base::Revision Read = Current ? Current->StoreRevision : 0;
  const auto Invalid = Records.Invalid.find(Write.Service);
  if (Invalid != Records.Invalid.end()) {
    Read = Invalid->second;
    if (!Write.IfRevision)
      return makeError(ErrorKind::Conflict,
                       "the stored record of " + Write.Service +
                           " is invalid; to replace it, repeat the request "
                           "with if_revision " +
                           std::to_string(Read));
  }
  if (Write.IfRevision.value_or(Read) != Read)
    return conflict(Write.Service, *Write.IfRevision, Read);
  return Read;
}

std::vector<std::string> contestingServices(const records::RecordSet &Records,
                                            const std::string &Service) {
  std::vector<std::string> Names;
  if (const records::StoredRecord *Own = Records.findByName(Service))
    for (const records::ServiceConfig *Other :
         Records.servicesInConflictWith(Own->Config))
      Names.push_back(Other->Service);
  return Names;
}

} // namespace

void RecordWriter::write(const RecordWrite &Write, Callback Done) {
  const auto Pending = std::make_shared<PendingWrite>();
  Pending->Write = Write;
  Pending->Done = std::move(Done);
  Pending->Nonce = records::makeNonce(Random);
  Client.readPrefix(RecordsPrefix,
                    [this, Pending](const Result<store::RangeReply> &Reply) {
                      onRead(Pending, Reply);
                    });
}

void RecordWriter::onRead(const std::shared_ptr<PendingWrite> &Pending,
                          const Result<store::RangeReply> &Reply) {
  if (Reply.has_error()) {
    Pending->Done(makeError(
        ErrorKind::Unavailable,
        "nothing was written, the store does not answer; try again later"));
    return;
  }
  const auto NeedsWrite = prepare(*Pending, Reply.value());
  if (NeedsWrite.has_error())
    Pending->Done(NeedsWrite.error());
  else if (NeedsWrite.value())
    compareAndSwap(Pending);
  else
    Pending->Done(Pending->Result);
}

// Checks the write against the records in the store. Returns true if the record
// must be written, or false if it is up to date; Pending.Result is then
// complete.
Result<bool> RecordWriter::prepare(PendingWrite &Pending,
                                   const store::RangeReply &Reply) {
  const RecordWrite &Write = Pending.Write;
  const ParsedRecords Records = parseRecords(Reply);
  const records::StoredRecord *Stored = Records.Set.findByName(Write.Service);
  const records::ServiceConfig *Current = Stored ? &Stored->Config : nullptr;
  if (Stored)
    OnStoredRecord({Write.Service, Current->StoreRevision, Stored->Body});
  auto Proposed = proposedConfig(Write, Current);
  if (Proposed.has_error())
    return Proposed.error();
  records::ServiceConfig &Config = Proposed.value();
  const auto Permitted = records::checkTeam(Current, Config, Write.Team);
  if (Permitted.has_error())
    return Permitted.error();
  if (Current && records::sameSettings(Config, *Current)) {
    Pending.Result = {{Write.Service, Current->StoreRevision, Stored->Body},
                      false,
                      contestingServices(Records.Set, Write.Service)};
    return false;
  }
  const auto Expected = expectedRevision(Write, Records, Current);
  if (Expected.has_error())
    return Expected.error();
  const auto Checked = records::checkWrite(Records.Set, Config, Write.Team);
  if (Checked.has_error())
    return Checked.error();
  Config.Nonce = Pending.Nonce;
  Config.AddressSince = records::inheritedClaimRevision(Current, Config);
  auto Text = records::formatRecord(Config);
  if (Text.has_error())
    return Text.error();
  Pending.Expected = Expected.value();
  Pending.ClaimsAddress = Config.AddressSince == 0 && !Config.Retired;
  Pending.Text = std::move(Text).value();
  return true;
}

void RecordWriter::compareAndSwap(
    const std::shared_ptr<PendingWrite> &Pending) {
  ++Pending->Attempts;
  const store::CasRequest Request{RecordsPrefix + Pending->Write.Service,
                                  Pending->Text, Pending->Expected,
                                  store::NoLease};
  Client.compareAndSwap(Request,
                        [this, Pending](const Result<store::CasReply> &Reply) {
                          onCompareAndSwap(Pending, Reply);
                        });
}

void RecordWriter::onCompareAndSwap(
    const std::shared_ptr<PendingWrite> &Pending,
    const Result<store::CasReply> &Reply) {
  const std::string &Service = Pending->Write.Service;
  if (Reply.has_error()) {
    // Retrying the same compare-and-swap is safe: the record contains
    // a nonce, by which the store client recognizes an earlier attempt that
    // took effect.
    if (Pending->Attempts < MaxWriteAttempts)
      compareAndSwap(Pending);
    else
      Pending->Done(makeError(
          ErrorKind::OutcomeUnknown,
          "the store did not answer, so the record of " + Service +
              " may or may not be written; repeat the request, which changes "
              "nothing if it is"));
    return;
  }
  if (Reply.value().Succeeded) {
    onWritten(Pending, Reply.value().StoreRevision);
    return;
  }
  base::Revision Current = 0;
  if (const auto &Other = Reply.value().Current) {
    Current = Other->ModRevision;
    OnStoredRecord(toRecordEntry(*Other));
  }
  Pending->Done(conflict(Service, Pending->Expected, Current));
}

// Reports a written record. Two writers that claim an address concurrently do
// not see each other's record in their checks, so a claim is checked again
// after the write: the later writer then sees the earlier record.
void RecordWriter::onWritten(const std::shared_ptr<PendingWrite> &Pending,
                             base::Revision Revision) {
  Pending->Result.Entry = {Pending->Write.Service, Revision, Pending->Text};
  OnStoredRecord(Pending->Result.Entry);
  if (!Pending->ClaimsAddress) {
    Pending->Done(Pending->Result);
    return;
  }
  Client.readPrefix(
      RecordsPrefix, [Pending](const Result<store::RangeReply> &Reply) {
        if (Reply.has_value())
          Pending->Result.ContestedWith = contestingServices(
              parseRecords(Reply.value()).Set, Pending->Write.Service);
        Pending->Done(Pending->Result);
      });
}

} // namespace burdockstream::daemon
