#include "OwnersStore.h"

#include <glog/logging.h>
#include <utility>

namespace burdockstream::daemon {

using ownership::StoreOutcome;
using ownership::StoreResult;

namespace {

constexpr const char *OwnersPrefix = "/burdockstream/owners/";

StoreResult failedResult(uint64_t Operation, const base::Error &Cause) {
  const bool NotApplied = Cause.Kind == base::ErrorKind::Unavailable;
  return {Operation,
          NotApplied ? StoreOutcome::Unavailable : StoreOutcome::Unknown,
          0,
          {}};
}

// Adds the decoded record and its revision to Result. If the record cannot be
// decoded, the result is Unknown, as if the read had failed.
StoreResult withRecord(StoreResult Result, const store::KeyValue &Current) {
  auto Record = ownership::decodeOwnersRecord(Current.Value);
  if (Record.has_error()) {
    LOG(ERROR) << Current.Key << " is not a valid ownership record: "
               << Record.error().Message;
    return {Result.Operation, StoreOutcome::Unknown, 0, {}};
  }
  Result.Record = std::move(Record).value();
  Result.StoreRevision = Current.ModRevision;
  return Result;
}

StoreResult readResult(uint64_t Operation,
                       const base::Result<store::RangeReply> &Reply) {
  if (Reply.has_error())
    return failedResult(Operation, Reply.error());
  StoreResult Result{Operation, StoreOutcome::Success, 0, {}};
  if (Reply.value().Values.empty())
    return Result;
  return withRecord(Result, Reply.value().Values.front());
}

StoreResult swapResult(uint64_t Operation,
                       const base::Result<store::CasReply> &Reply) {
  if (Reply.has_error())
    return failedResult(Operation, Reply.error());
  if (Reply.value().Succeeded)
    return {Operation, StoreOutcome::Success, Reply.value().StoreRevision, {}};
  StoreResult Conflict{Operation, StoreOutcome::Conflict, 0, {}};
  if (!Reply.value().Current)
    return Conflict;
  return withRecord(Conflict, *Reply.value().Current);
}

} // namespace

OwnersStore::OwnersStore(store::StoreClient &InitClient,
                         const std::string &Service, Callback InitOnResult)
    : Client(InitClient), Key(OwnersPrefix + Service),
      OnResult(std::move(InitOnResult)) {}

void OwnersStore::perform(const nodes::ReadOwners &Action) {
  Client.readKey(Key, [this, Id = Action.Operation](
                          const base::Result<store::RangeReply> &Reply) {
    OnResult(readResult(Id, Reply));
  });
}

void OwnersStore::perform(const nodes::SwapOwners &Action) {
  const store::CasRequest Request{Key,
                                  ownership::encodeOwnersRecord(Action.Record),
                                  Action.Expected, store::NoLease};
  Client.compareAndSwap(Request,
                        [this, Id = Action.Operation](
                            const base::Result<store::CasReply> &Reply) {
                          OnResult(swapResult(Id, Reply));
                        });
}

} // namespace burdockstream::daemon
