// Parses and checks the command line of burdockstreamctl.
#ifndef BURDOCKSTREAM_CTL_COMMAND_H
#define BURDOCKSTREAM_CTL_COMMAND_H

#include "burdockstream/base/Error.h"
#include "burdockstream/base/Ids.h"
#include "burdockstream/base/SocketAddress.h"
#include "burdockstream/base/Time.h"
#include "burdockstream/ctl/Table.h"

#include <optional>
#include <string>
#include <vector>

namespace burdockstream::ctl {

// The commands of burdockstreamctl.
enum class Verb {
  RecordPut,
  RecordGet,
  RecordList,
  RecordRetire,
  RecordValidate,
  RecordMigrate,
  Status,
  Endpoints,
  Drain,
  Metrics,
  FlowStatus,
  FlowRoutes,
  FlowTargets,
  FlowTrace,
};

// The values of the command line flags, before any check.
struct FlagValues {
  bool Json = false;
  std::string Server; // ip:port,...
  std::string TokenFile;
  int64_t IfRevision = -1; // -1: the flag is not set
  int32_t TimeoutMilliseconds = 8'000;
  bool Wait = false;
  int32_t WaitTimeoutMilliseconds = 10'000;
  bool Undo = false;
};

// A checked command line.
struct Command {
  ctl::Verb Verb = ctl::Verb::Status;
  // The words after the name of the command: files, a service name, socket
  // addresses or a metric name prefix.
  std::vector<std::string> Arguments;
  ctl::Format Format = ctl::Format::Table;
  // Control addresses of balancers, in the order in which they are tried.
  // Empty only for commands that need no server.
  std::vector<base::SocketAddress> Servers;
  std::string TokenFile;
  // The stored revision that a write requires, 0 for a new record; absent: the
  // write is unconditional.
  std::optional<base::Revision> IfRevision;
  base::Duration Timeout = std::chrono::seconds(8); // of each call
  // How long to wait at most until a written record is in force at every
  // balancer; absent: do not wait.
  std::optional<base::Duration> Wait;
  bool Undo = false; // with Verb::Drain: stop draining the endpoint
};

// Builds a command from Words, the positional arguments after the program name,
// and Flags. Fails with InvalidArgument if the command is unknown, an argument
// or a flag is invalid, or a flag does not apply to the command. Thread safety:
// any thread.
base::Result<Command> parseCommand(const std::vector<std::string> &Words,
                                   const FlagValues &Flags);

// Returns the help text that lists commands and exit codes. Thread safety: any
// thread.
std::string usageText();

// Parses argv with gflags and then with parseCommand(). gflags itself prints a
// message and exits the process for --help and for an unknown flag. Thread
// safety: call once, from main().
base::Result<Command> parseCommandLine(int Argc, char **Argv);

} // namespace burdockstream::ctl

#endif
