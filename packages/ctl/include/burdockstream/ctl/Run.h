// Runs a parsed command. Access to files, balancers and time goes through
// hooks, so that tests can replace them with fakes.
#ifndef BURDOCKSTREAM_CTL_RUN_H
#define BURDOCKSTREAM_CTL_RUN_H

#include "burdockstream/admin/RpcMethod.h"
#include "burdockstream/base/Error.h"
#include "burdockstream/base/SocketAddress.h"
#include "burdockstream/base/Time.h"
#include "burdockstream/ctl/Command.h"
#include "burdockstream/ctl/ExitCode.h"

#include <functional>
#include <string>
#include <vector>

namespace burdockstream::ctl {

// The access of a command to files, balancers and time.
struct Hooks {
  // Returns the content of a file.
  std::function<base::Result<std::string>(const std::string &Path)> ReadFile;
  // Calls a method of the administration API at the first balancer that
  // responds.
  std::function<admin::RpcResult(const std::string &Method,
                                 const Json::Value &Parameters)>
      Call;
  // Calls a read method without parameters at each of Servers in parallel, for
  // Limit at most, and returns the results in the same order.
  std::function<std::vector<admin::RpcResult>(
      const std::vector<base::SocketAddress> &Servers,
      const std::string &Method, base::Duration Limit)>
      CallEach;
  // Fetches the JSON document at Path from each of Servers in parallel and
  // returns the results in the same order.
  std::function<std::vector<base::Result<Json::Value>>(
      const std::vector<base::SocketAddress> &Servers, const std::string &Path)>
      FetchEach;
  std::function<base::TimePoint()> Now; // monotonic
  // Returns after the given time.
  std::function<void(base::Duration)> Sleep;
};

// The output and the exit code of a command.
struct Output {
  ExitCode Code = ExitCode::Ok;
  std::string Out; // for standard output
  std::string Err; // for standard error
};

// Runs Command and returns its output; errors are part of it. Precondition:
// every hook is set. Thread safety: one thread at a time.
Output runCommand(const Command &Command, const Hooks &Hooks);

// Returns the output of a command that failed with Error. Thread safety: any
// thread.
Output errorOutput(const base::Error &Error);

} // namespace burdockstream::ctl

#endif
