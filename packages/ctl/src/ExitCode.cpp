#include "burdockstream/ctl/ExitCode.h"

#include <array>

namespace burdockstream::ctl {

namespace {

constexpr std::array<ExitCodeInfo, 9> Codes = {{
    {ExitCode::Ok, "ok", "the command succeeded"},
    {ExitCode::Usage, "usage", "the command line is wrong"},
    {ExitCode::InvalidInput, "invalid_input", "a record or an answer is wrong"},
    {ExitCode::NotFound, "not_found", "the service or file does not exist"},
    {ExitCode::Conflict, "conflict",
     "another record or another writer is in the way; see the message"},
    {ExitCode::PermissionDenied, "permission_denied",
     "the token is wrong, or its team may not change this record"},
    {ExitCode::Unavailable, "unavailable",
     "no server or no store answered; nothing was changed"},
    {ExitCode::OutcomeUnknown, "outcome_unknown",
     "the write may have taken effect; run the command again"},
    {ExitCode::NotInForce, "not_in_force",
     "the record is written, but --wait ended before every balancer had it"},
}};

} // namespace

std::span<const ExitCodeInfo> exitCodes() { return Codes; }

ExitCode exitCodeOf(base::ErrorKind Kind) {
  switch (Kind) {
  case base::ErrorKind::InvalidArgument:
  case base::ErrorKind::Corrupt:
  case base::ErrorKind::LimitExceeded:
    return ExitCode::InvalidInput;
  case base::ErrorKind::NotFound:
    return ExitCode::NotFound;
  case base::ErrorKind::AlreadyExists:
  case base::ErrorKind::Conflict:
    return ExitCode::Conflict;
  case base::ErrorKind::PermissionDenied:
    return ExitCode::PermissionDenied;
  case base::ErrorKind::Unavailable:
    return ExitCode::Unavailable;
  case base::ErrorKind::OutcomeUnknown:
    return ExitCode::OutcomeUnknown;
  }
  return ExitCode::InvalidInput;
}

} // namespace burdockstream::ctl
