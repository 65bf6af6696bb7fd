// Runs a command. Files, balancers and time are behind hooks, so the program
// connects the network and a test connects fakes.
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

struct Hooks {
  std::function<base::Result<std::string>(const std::string &Path)> ReadFile;
  // Calls a method of the administration API at the first balancer that
  // answers.
  std::function<admin::RpcResult(const std::string &Method,
                                 const Json::Value &Parameters)>
      Call;
  // Calls a read method without parameters at each of Servers, all at once and
  // for Limit at most, and returns the results in the same order.
  std::function<std::vector<admin::RpcResult>(
      const std::vector<base::SocketAddress> &Servers,
      const std::string &Method, base::Duration Limit)>
      CallEach;
  // Fetches the JSON document at Path from each of Servers, all at once, and
  // returns the results in the same order.
  std::function<std::vector<base::Result<Json::Value>>(
      const std::vector<base::SocketAddress> &Servers, const std::string &Path)>
      FetchEach;
  std::function<base::TimePoint()> Now;
  std::function<void(base::Duration)> Wait;
};

// What the program prints and returns.
struct Output {
  ExitCode Code = ExitCode::Ok;
  std::string Out;
  std::string Err;
};

// Runs Command. Every hook must be set. Thread safety: one thread at a time.
Output runCommand(const Command &Command, const Hooks &Hooks);

// Formats Error as the output of a failed command. Thread safety: any thread.
Output failure(const base::Error &Error);

} // namespace burdockstream::ctl

#endif
