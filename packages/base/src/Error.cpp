#include "burdockstream/base/Error.h"

#include "burdockstream/base/NameTable.h"

namespace burdockstream::base {

namespace {

constexpr NameTable<ErrorKind, 9> ErrorNames({{
    {ErrorKind::InvalidArgument, "invalid_argument"},
    {ErrorKind::NotFound, "not_found"},
    {ErrorKind::AlreadyExists, "already_exists"},
    {ErrorKind::Conflict, "conflict"},
    {ErrorKind::PermissionDenied, "permission_denied"},
    {ErrorKind::Unavailable, "unavailable"},
    {ErrorKind::OutcomeUnknown, "outcome_unknown"},
    {ErrorKind::Corrupt, "corrupt"},
    {ErrorKind::LimitExceeded, "limit_exceeded"},
}});

} // namespace

std::string_view toString(ErrorKind Kind) { return ErrorNames.name(Kind); }

} // namespace burdockstream::base
