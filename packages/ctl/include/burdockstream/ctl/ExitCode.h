// The exit codes of burdockstreamctl. Operators' scripts depend on the numbers,
// so they must not change.
#ifndef BURDOCKSTREAM_CTL_EXITCODE_H
#define BURDOCKSTREAM_CTL_EXITCODE_H

#include "burdockstream/base/Error.h"

#include <span>
#include <string_view>

namespace burdockstream::ctl {

enum class ExitCode {
  Ok = 0,
  Usage = 1, // gflags also exits with 1 for an unknown flag
  InvalidInput = 2,
  NotFound = 3,
  Conflict = 4,
  PermissionDenied = 5,
  Unavailable = 6,
  OutcomeUnknown = 7,
  NotInForce = 8, // --wait ended before every balancer had the record
};

struct ExitCodeInfo {
  ExitCode Code;
  std::string_view Name;
  std::string_view Description;
};

// Returns every exit code in ascending order. Thread safety: any thread.
std::span<const ExitCodeInfo> exitCodes();

// Returns the exit code of a command that failed with an error of this kind.
// Thread safety: any thread.
ExitCode exitCodeOf(base::ErrorKind Kind);

} // namespace burdockstream::ctl

#endif
