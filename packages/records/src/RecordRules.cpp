#include "burdockstream/records/RecordRules.h"

#include "burdockstream/records/RecordParser.h"

namespace burdockstream::records {

namespace {

using base::ErrorKind;
using base::makeError;

base::Result<void> success() { return boost::outcome_v2::success(); }

} // namespace

base::Result<void> checkReplacement(const ServiceConfig &Current,
                                    const ServiceConfig &Proposed) {
  if (Current.Service != Proposed.Service)
    return makeError(ErrorKind::InvalidArgument,
                     "service: the name never changes; write '" +
                         Current.Service + "' or create a new service");
  if (Current.Buckets != Proposed.Buckets)
    return makeError(ErrorKind::Conflict,
                     "buckets: the count never changes; write schema version 2 "
                     "with buckets " +
                         std::to_string(Current.Buckets));
  const bool KeepsSettings =
      Proposed.SchemaVersion != 1 || Proposed.Retired || Current.Retired;
  const auto Unsupported = settingsUnsupportedBySchema1(Current);
  if (!KeepsSettings && !Unsupported.empty())
    return makeError(ErrorKind::Conflict,
                     "schema_version: a record of schema version 1 would drop "
                     "'" +
                         Unsupported.front() +
                         "' of the current record; write schema version 2");
  return success();
}

base::Result<void> checkTeam(const ServiceConfig *Current,
                             const ServiceConfig &Proposed,
                             std::string_view WriterTeam) {
  const std::string &Owner = Current ? Current->Team : Proposed.Team;
  if (Owner != WriterTeam)
    return makeError(ErrorKind::PermissionDenied,
                     "team: the record of " + Proposed.Service +
                         " belongs to team " + Owner +
                         "; use that team's "
                         "token");
  if (Proposed.Team != WriterTeam)
    return makeError(ErrorKind::PermissionDenied,
                     "team: a record cannot be passed to another team; write "
                     "team '" +
                         Owner + "'");
  return success();
}

base::Result<void> checkAddress(const RecordSet &Known,
                                const ServiceConfig &Proposed) {
  if (Proposed.Retired)
    return success();
  for (const auto &[Service, Record] : Known.all())
    if (Service != Proposed.Service && !Record.Config.Retired &&
        Record.Config.Address == Proposed.Address)
      return makeError(ErrorKind::AlreadyExists,
                       "address: " + base::toString(Proposed.Address) +
                           " belongs to the service " + Service +
                           "; choose another address");
  return success();
}

bool sameSettings(const ServiceConfig &A, const ServiceConfig &B) {
  ServiceConfig Copy = A;
  Copy.Nonce = B.Nonce;
  Copy.AddressSince = B.AddressSince;
  Copy.StoreRevision = B.StoreRevision;
  return Copy == B;
}

base::Result<void> checkWrite(const RecordSet &Known,
                              const ServiceConfig &Proposed,
                              std::string_view WriterTeam) {
  const StoredRecord *Existing = Known.findByName(Proposed.Service);
  const ServiceConfig *Current = Existing ? &Existing->Config : nullptr;
  if (!Current && Proposed.Retired)
    return makeError(ErrorKind::NotFound, "retired: there is no service " +
                                              Proposed.Service +
                                              " to retire; correct the name");
  auto Outcome = checkTeam(Current, Proposed, WriterTeam);
  if (Outcome.has_value() && Current)
    Outcome = checkReplacement(*Current, Proposed);
  if (Outcome.has_value())
    Outcome = checkAddress(Known, Proposed);
  return Outcome;
}

} // namespace burdockstream::records
