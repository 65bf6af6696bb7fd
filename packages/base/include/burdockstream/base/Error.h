// Typed errors. A user's error has a kind and a message that names the remedy;
// a bug in burdockstream itself is a failed glog CHECK instead.
#ifndef BURDOCKSTREAM_BASE_ERROR_H
#define BURDOCKSTREAM_BASE_ERROR_H

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>
#include <string>
#include <string_view>
#include <utility>

namespace burdockstream::base {

enum class ErrorKind {
  InvalidArgument,  // the input is malformed; correct it
  NotFound,         // the named object does not exist
  AlreadyExists,    // an object with this name exists already
  Conflict,         // a compare-and-swap lost against another writer
  PermissionDenied, // the token does not allow the operation
  Unavailable,      // the peer or the store does not answer; try again later
  OutcomeUnknown,   // the operation may have taken effect; read it back
  Corrupt,          // a message failed authentication or decoding
  LimitExceeded,    // a size or rate limit was passed
};

// Returns the stable name of Kind, as used in JSON output and logs. Thread
// safety: any thread.
std::string_view toString(ErrorKind Kind);

struct Error {
  ErrorKind Kind = ErrorKind::InvalidArgument;
  std::string Message;
};

// A value or an Error. Reading the wrong side terminates the process: it is a
// bug.
template <typename T>
using Result =
    boost::outcome_v2::basic_result<T, Error,
                                    boost::outcome_v2::policy::terminate>;

// Shortens the return of an error: `return makeError(ErrorKind::NotFound,
// "...")`.
inline Error makeError(ErrorKind Kind, std::string Message) {
  return Error{Kind, std::move(Message)};
}

} // namespace burdockstream::base

#endif
